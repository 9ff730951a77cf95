"""Registries of interchangeable implementations, filled by decorators."""

import collections.abc
import typing

T = typing.TypeVar("T")


class UnknownEntryError(LookupError):
    """No entry has that name; the message lists the registered names."""


class Registry(typing.Generic[T]):
    """Named implementations of one behaviour.

    Parameters
    ----------
    kind : str
        What the entries are; part of the error messages.
    """

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Return a decorator that registers its argument under `name`.

        Raises
        ------
        ValueError
            By the decorator, if `name` is registered already.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry registered under `name`; raises `UnknownEntryError`."""
        if name not in self._entries:
            names = ", ".join(self.names())
            raise UnknownEntryError(f"unknown {self.kind} {name!r}; known: {names}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def entries(self) -> list[T]:
        """Return the registered entries, sorted by name."""
        return [self._entries[name] for name in self.names()]
