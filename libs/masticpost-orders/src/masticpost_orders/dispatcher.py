"""Sends engines orders to load and unload versions, as the operators' text requires.

One instance sends orders at a time: the owner of the orders' shard, while it holds the
lease of that shard. The position of its takeover in the shard's log is the fencing
token. Engines that do not check the token are protected by a delay: a new owner sends
them its first order when the lease of the previous owner and the time-out of its last
order have expired. The loaded versions are read back, so that the next round corrects
what a late order has undone.
"""

import asyncio
import ssl
import time

import mode
from loguru import logger
from masticpost_confsync import synchronizer
from masticpost_shards import directory, owner
from masticpost_text import model

from masticpost_orders import client

ORDERS_KEY = "orders"
ROUND_INTERVAL_S = 1.0
# Reads per round of engines that are known to have loaded the right versions.
ROUTINE_READS_PER_ROUND = 24
# Most reads per round of the other engines.
MAX_UNCONFIRMED_READS = 100
# Time for which a version must be unwanted on an engine before it is unloaded.
UNLOAD_AFTER_S = 5.0
# Time without loads after an engine answered "try later".
BUSY_PAUSE_S = 2.0
# Wait after a takeover for orders of the previous owner, if the engine does not check
# fencing tokens.
TAKEOVER_WAIT_S = owner.LEASE_S + client.DELIVERY_TIMEOUT_S


class OrderDispatcher(mode.Service):
    """Compares the engines with the text and sends orders, if this instance may.

    Parameters
    ----------
    shards : directory.Directory
        The shards; the owner of the orders' shard sends orders.
    texts : synchronizer.TextSynchronizer
        The text in force.
    tls : ssl.SSLContext, optional
        Context for https engines.
    """

    def __init__(
        self,
        *,
        shards: directory.Directory,
        texts: synchronizer.TextSynchronizer,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self.shards = shards
        self.texts = texts
        self.client = client.OrderClient(tls=tls)
        self.orders_sent = 0
        self._next_load = 0.0
        self._next_index = 0
        self._confirmed: dict[str, tuple[str, ...]] = {}
        self._unwanted_since: dict[tuple[str, str], float] = {}

    async def on_stop(self) -> None:
        """Close the client."""
        await self.client.close()

    def lease(self) -> owner.ShardOwner | None:
        """Return the owned shard of the orders if its lease is held, else None."""
        own = self.shards.owners.get(self.shards.shard_of(ORDERS_KEY))
        if own is None or not own.is_serving:
            return None
        own.needs_lease = True
        return own if own.holds_lease else None

    @mode.Service.task
    async def run_rounds(self) -> None:
        """Run a round every `ROUND_INTERVAL_S` until the service stops."""
        while not self.should_stop:
            await asyncio.sleep(ROUND_INTERVAL_S)
            if self.lease() is not None and self.texts.in_force is not None:
                await self._run_round(self.texts.in_force.text)

    async def _run_round(self, text: model.Text) -> None:
        engines = self._engines_to_read(text)
        replies = await asyncio.gather(
            *(self.client.loaded(up.url.rstrip("/")) for up in engines)
        )
        for up, loaded in zip(engines, replies, strict=True):
            if loaded is None:
                continue
            orders = self._orders(text, up, loaded)
            if not orders and not self._has_pending_unloads(up):
                self._confirmed[up.name] = _wanted_versions(text, up)
            for order in orders:
                await self._dispatch(up, order)

    def _engines_to_read(self, text: model.Text) -> list[model.Upstream]:
        """Return the engines to read in this round.

        Engines that are not known to have loaded their versions come first. A few of
        the others follow in turn, to detect an engine that has lost a version.
        """
        engines = [up for up in text.upstreams.values() if _is_engine(text, up)]
        names = {up.name for up in engines}
        for name in [name for name in self._confirmed if name not in names]:
            del self._confirmed[name]
        unconfirmed = [
            up
            for up in engines
            if self._confirmed.get(up.name) != _wanted_versions(text, up)
        ]
        rest = [up for up in engines if up not in unconfirmed]
        return unconfirmed[:MAX_UNCONFIRMED_READS] + self._next_in_turn(rest)

    def _next_in_turn(self, engines: list[model.Upstream]) -> list[model.Upstream]:
        count = min(ROUTINE_READS_PER_ROUND, len(engines))
        picked = [engines[(self._next_index + i) % len(engines)] for i in range(count)]
        self._next_index += count
        return picked

    def _has_pending_unloads(self, up: model.Upstream) -> bool:
        return any(name == up.name for name, _ in self._unwanted_since)

    def _orders(
        self, text: model.Text, up: model.Upstream, loaded: list[client.ModelRow]
    ) -> list[client.Order]:
        """Return the orders for an engine: loads by falling share, then unloads."""
        names = {row.id for row in loaded}
        wanted = [text.versions[name] for name in up.serves if name not in names]
        wanted = [ver for ver in wanted if ver.state != "withdrawn"]
        wanted.sort(key=lambda ver: -ver.share)
        loads = [
            client.Order(
                version=ver.name, is_load=True, weights=_weights_url(text, ver.name)
            )
            for ver in wanted
        ]
        return loads + self._unloads(text, up, loaded)

    def _unloads(
        self, text: model.Text, up: model.Upstream, loaded: list[client.ModelRow]
    ) -> list[client.Order]:
        """Return unloads of versions that the engine has not had to serve for a while.

        Only adapters that an order loaded and versions of the text are unloaded.
        """
        now = time.monotonic()
        orders = []
        names = {row.id for row in loaded if row.parent or row.id in text.versions}
        for name in sorted(names):
            key = (up.name, name)
            if name in up.serves:
                self._unwanted_since.pop(key, None)
                continue
            since = self._unwanted_since.setdefault(key, now)
            if now - since >= UNLOAD_AFTER_S:
                orders.append(client.Order(version=name, is_load=False))
        return orders

    async def _dispatch(self, up: model.Upstream, order: client.Order) -> None:
        """Send an order if the lease is held and the load rate permits it.

        The weight store limits the rate of loads.
        """
        now = time.monotonic()
        if order.is_load and now < self._next_load:
            return
        own = self.lease()
        if own is None or not self._may_send(own, up, now):
            return
        if order.is_load:
            rate = max(0.001, self.texts.in_force.text.weight_loads_s)
            self._next_load = now + 1.0 / rate
        outcome = await self.client.send(up.url.rstrip("/"), order, own.epoch)
        self.orders_sent += 1
        logger.bind(
            upstream=up.name,
            version=order.version,
            load=order.is_load,
            epoch=own.epoch,
            outcome=outcome.value,
        ).info("order sent")
        if outcome is client.Outcome.BUSY:
            self._next_load = now + BUSY_PAUSE_S

    def _may_send(self, own: owner.ShardOwner, up: model.Upstream, now: float) -> bool:
        if up.checks_fencing or own.is_first_owner:
            return True
        return now >= own.owned_since + TAKEOVER_WAIT_S


def _wanted_versions(text: model.Text, up: model.Upstream) -> tuple[str, ...]:
    """Return the versions that an engine must have loaded."""
    versions = [text.versions[name] for name in up.serves if name in text.versions]
    return tuple(sorted(ver.name for ver in versions if ver.state != "withdrawn"))


def _is_engine(text: model.Text, up: model.Upstream) -> bool:
    return any(name in text.versions for name in up.serves)


def _weights_url(text: model.Text, version: str) -> str:
    return f"{text.weights_url.rstrip('/')}/weights/{version}"
