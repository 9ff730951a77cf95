"""A store wrapper that counts calls by operation and result."""

import asyncio
import collections.abc
import typing

import prometheus_client
import result

from masticpost_gateway.state import model, source

T = typing.TypeVar("T")
GOOD = "good"
# The caller did not wait for the answer any longer.
ABANDONED = "abandoned"


class CountedStore:
    """Forwards calls to another `source.Source` and counts them.

    Parameters
    ----------
    store : source.Source
        The store to which calls are forwarded.
    registry : prometheus_client.CollectorRegistry
        Registry to which the counter is added.
    """

    def __init__(
        self,
        *,
        store: source.Source,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self.store = store
        self._calls = prometheus_client.Counter(
            "masticpost_gateway_store_calls",
            "Calls to the store by what was called and how it ended.",
            ["call", "result"],
            registry=registry,
        )

    async def list_all(
        self, kind: source.Kind
    ) -> result.Result[source.Listing, source.Fault]:
        """Return all entries of a kind."""
        return await self._count(f"list {kind.value}", self.store.list_all(kind))

    async def watch(
        self, kind: source.Kind, at: int, wait_s: float
    ) -> result.Result[source.Changes, source.Fault]:
        """Return the changes after revision `at`, waiting up to `wait_s` seconds."""
        call = self.store.watch(kind, at, wait_s)
        return await self._count(f"watch {kind.value}", call)

    async def update_roll_out(
        self, entry: source.Entry, order: model.RollOut
    ) -> result.Result[source.Entry, source.Fault]:
        """Write the state of a roll-out."""
        return await self._count("decide", self.store.update_roll_out(entry, order))

    async def register(
        self, me: source.InstanceEntry
    ) -> result.Result[None, source.Fault]:
        """Register this instance."""
        return await self._count("register", self.store.register(me))

    async def instances(
        self,
    ) -> result.Result[list[source.InstanceEntry], source.Fault]:
        """Return the registered instances."""
        return await self._count("instances", self.store.instances())

    async def quarantined(
        self,
    ) -> result.Result[list[source.QuarantineEntry], source.Fault]:
        """Return the quarantined causes."""
        return await self._count("quarantined", self.store.quarantined())

    async def put_quarantined(
        self, row: source.QuarantineEntry
    ) -> result.Result[None, source.Fault]:
        """Add a quarantined cause or replace its entry."""
        return await self._count("keep", self.store.put_quarantined(row))

    async def remove_quarantined(self, key: str) -> result.Result[None, source.Fault]:
        """Remove a quarantined cause."""
        return await self._count("drop", self.store.remove_quarantined(key))

    async def close(self) -> None:
        """Close the store's connections."""
        await self.store.close()

    async def _count(
        self,
        name: str,
        call: collections.abc.Awaitable[result.Result[T, source.Fault]],
    ) -> result.Result[T, source.Fault]:
        try:
            outcome = await call
        except asyncio.CancelledError:
            self._calls.labels(name, ABANDONED).inc()
            raise
        label = GOOD if outcome.is_ok() else outcome.unwrap_err().kind.value
        self._calls.labels(name, label).inc()
        return outcome
