"""The instances of one deployment: how they find each other and exchange messages."""

import asyncio
import time

import attrs
import mode
from loguru import logger
from masticpost_peers import hub, keys, membership

from masticpost_gateway import source

JOIN_PERIOD_S = 0.5
REJOIN_PERIOD_S = 5.0
REGISTER_PERIOD_S = 1.0
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class MeshSettings:
    """How an instance takes part.

    Attributes
    ----------
    address : str
        ``host:port`` at which the others reach it.
    seeds : tuple of str
        Addresses to ask first; some may be out of date.
    secret : str
        Signs the messages; the same on every instance.
    """

    address: str
    seeds: tuple[str, ...] = ()
    secret: str = attrs.field(repr=False)


class Mesh(mode.Service):
    """Membership and messages of one instance.

    Parameters
    ----------
    name : str
        Name of this instance.
    domain : str
        Its failure domain.
    cfg : MeshSettings
        Addresses and secret.
    store : source.Source
        Where instances register.
    """

    def __init__(
        self, *, name: str, domain: str, cfg: MeshSettings, store: source.Source
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = store
        self.me = source.InstanceEntry(name=name, address=cfg.address, domain=domain)
        started = int(time.time() * MS_PER_S)
        self.hub = hub.Hub(
            name=name,
            incarnation=started,
            address=cfg.address,
            ring=keys.KeyRing(secrets=[cfg.secret]),
        )
        self.members = membership.Membership(
            peers=self.hub, domain=domain, advertise=cfg.address, seed=started
        )

    def names(self) -> set[str]:
        """Return the names of the living instances, this one included."""
        return {member.name for member in self.members.alive()}

    def others(self) -> list[membership.Member]:
        """Return the other living instances."""
        return [m for m in self.members.alive() if m.name != self.me.name]

    async def broadcast(self, body: object) -> None:
        """Send a one-way message to all other living instances."""
        others = [member.address for member in self.others() if member.started]
        if others:
            await self.hub.broadcast(others, body)

    async def on_start(self) -> None:
        """Listen, then look for the others."""
        await self.hub.start()
        await self.members.start()

    async def on_stop(self) -> None:
        """Tell the others and close."""
        await self.members.leave()
        await self.members.stop()
        await self.hub.stop()

    @mode.Service.task
    async def join(self) -> None:
        """Ask seeds, then registered instances, until others are known."""
        while not self.should_stop:
            if not self.others():
                await self._join_seeds()
            alone = not self.others()
            await asyncio.sleep(JOIN_PERIOD_S if alone else REJOIN_PERIOD_S)

    @mode.Service.task
    async def register(self) -> None:
        """Enter this instance in the store, then learn of those that seeds miss."""
        while (await self.store.register(self.me)).is_err():
            await asyncio.sleep(REGISTER_PERIOD_S)
        while not self.should_stop:
            found = await self.store.instances()
            if found.is_ok():
                self._add(found.unwrap())
                if self.others():
                    return
            await asyncio.sleep(REGISTER_PERIOD_S)

    def _add(self, entries: list[source.InstanceEntry]) -> None:
        for entry in entries:
            self.members.add_listed(entry.name, entry.address, entry.domain)
        logger.bind(event="mesh", listed=len(entries)).info("instances listed")

    async def _join_seeds(self) -> None:
        seeds = [seed for seed in self.cfg.seeds if seed != self.cfg.address]
        for seed in seeds:
            if await self.members.join(seed):
                return
