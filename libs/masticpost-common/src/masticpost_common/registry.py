"""Registries that decorators fill: one per kind of behaviour that varies."""

import collections.abc
import typing

T = typing.TypeVar("T")


class UnknownEntryError(LookupError):
    """No entry of that name; the message lists the names that exist."""


class Registry(typing.Generic[T]):
    """Named implementations of one behaviour.

    Parameters
    ----------
    kind : str
        What the entries are, used in error messages.
    """

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Return a decorator that adds its argument under `name`."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry, or raise `UnknownEntryError`."""
        if name not in self._entries:
            known = ", ".join(self.names())
            raise UnknownEntryError(f"unknown {self.kind} {name!r}; known: {known}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def entries(self) -> list[T]:
        """Return the registered entries in order of their names."""
        return [self._entries[name] for name in self.names()]
