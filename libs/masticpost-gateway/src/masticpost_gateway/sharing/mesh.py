"""Membership of the instances of one deployment, and messages between them."""

import asyncio
import collections.abc
import time

import attrs
import mode
from loguru import logger
from masticpost_common import rendezvous
from masticpost_peers import hub, keys, membership, probes

from masticpost_gateway.state import source

JOIN_PERIOD_S = 0.5
REJOIN_PERIOD_S = 5.0
REGISTER_PERIOD_S = 1.0
# Number of instances that register in the store.
REGISTERED_INSTANCES = 3
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class MeshSettings:
    """Settings of an instance for the communication with the others.

    Attributes
    ----------
    address : str
        ``host:port`` at which the others reach it.
    seeds : tuple of str
        Addresses to contact first; some may be out of date.
    secret : str
        Key that signs the messages; the same on every instance.
    serves_others : bool
        Whether the instance may be chosen for tasks that serve all instances.
    """

    address: str
    seeds: tuple[str, ...] = ()
    serves_others: bool = True
    secret: str = attrs.field(repr=False)


class Mesh(mode.Service):
    """Membership list and message transport of one instance.

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
    era : callable, optional
        Returns the era of the store, which forgets registrations when it changes.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        cfg: MeshSettings,
        store: source.Source,
        era: collections.abc.Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__()
        self.era = era
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
            peers=self.hub,
            domain=domain,
            advertise=cfg.address,
            seed=started,
            serves_others=cfg.serves_others,
        )
        self._alive: list[probes.Member] = []
        self._names: frozenset[str] = frozenset()
        self._domains: dict[str, str] = {}
        self._others: list[probes.Member] = []
        self._chosen: dict[tuple[str, int], list[probes.Member]] = {}

    def names(self) -> frozenset[str]:
        """Return the names of the instances that are alive, this one included."""
        self._refresh()
        return self._names

    def domains(self) -> dict[str, str]:
        """Return the failure domain of each instance that is alive, by name."""
        self._refresh()
        return self._domains

    def others(self) -> list[probes.Member]:
        """Return the other instances that are alive."""
        self._refresh()
        return self._others

    def seeds(self) -> list[probes.Member]:
        """Return the other instances that are alive and whose addresses are seeds."""
        return [m for m in self.others() if m.address in self.cfg.seeds]

    @property
    def is_seed(self) -> bool:
        """Whether this instance is a seed, or has no other seed to contact."""
        others = [seed for seed in self.cfg.seeds if seed != self.cfg.address]
        return not others or self.cfg.address in self.cfg.seeds

    def _refresh(self) -> None:
        """Rebuild the derived lists if the members have changed."""
        alive = self.members.alive()
        if alive is self._alive:
            return
        self._alive = alive
        self._names = frozenset(member.name for member in alive)
        self._domains = {member.name: member.domain for member in alive}
        self._others = [m for m in alive if m.name != self.me.name]
        self._chosen = {}

    def chosen(self, purpose: str, count: int) -> list[probes.Member]:
        """Return `count` live instances for a purpose, spread over the failure domains.

        Instances with the same member list return the same ones. Those that may not
        serve others are chosen only if there are too few that may.
        """
        self._refresh()
        cached = self._chosen.get((purpose, count))
        if cached is None:
            cached = self._chosen[purpose, count] = self._choose(purpose, count)
        return cached

    def _choose(self, purpose: str, count: int) -> list[probes.Member]:
        alive = self.members.alive()
        serving = [member for member in alive if member.serves_others]
        candidates = serving if len(serving) >= count else alive
        by_name = {member.name: member for member in candidates}
        per_domain: dict[str, int] = {}
        rows = []
        for rank, name in enumerate(rendezvous.ranked(by_name, purpose)):
            domain = by_name[name].domain
            per_domain[domain] = per_domain.get(domain, 0) + 1
            rows.append((per_domain[domain], rank, name))
        return [by_name[name] for _, _, name in sorted(rows)[:count]]

    async def broadcast(self, body: object) -> None:
        """Send a one-way message to all other instances that are alive."""
        others = [member.address for member in self.others() if member.started]
        if others:
            await self.hub.broadcast(others, body)

    async def on_start(self) -> None:
        """Listen for messages, then start to look for the others."""
        await self.hub.start()
        await self.members.start()

    async def on_stop(self) -> None:
        """Announce that this instance leaves, and close."""
        await self.members.leave()
        await self.members.stop()
        await self.hub.stop()

    @mode.Service.task
    async def join(self) -> None:
        """Contact the seeds while no other instance is known."""
        while not self.should_stop:
            if not self.others():
                await self._join_seeds()
            alone = not self.others()
            await asyncio.sleep(JOIN_PERIOD_S if alone else REJOIN_PERIOD_S)

    @mode.Service.task
    async def register(self) -> None:
        """Register in the store if chosen, and read the registered instances if alone.

        The registered instances serve those whose seeds are out of date.
        """
        await asyncio.sleep(REGISTER_PERIOD_S)
        registered_in: int | None = None
        while not self.should_stop:
            chosen = [
                member.name for member in self.chosen("register", REGISTERED_INSTANCES)
            ]
            era = self.era()
            if registered_in != era and self.me.name in chosen:
                is_ok = (await self.store.register(self.me)).is_ok()
                registered_in = era if is_ok else registered_in
            if not self.others():
                outcome = await self.store.instances()
                self._add_listed(outcome.unwrap_or([]))
            await asyncio.sleep(REGISTER_PERIOD_S)

    def _add_listed(self, entries: list[source.InstanceEntry]) -> None:
        for entry in entries:
            self.members.add_listed(entry.name, entry.address, entry.domain)
        logger.bind(event="mesh", listed=len(entries)).info(
            "read the registered instances"
        )

    async def _join_seeds(self) -> None:
        seeds = [seed for seed in self.cfg.seeds if seed != self.cfg.address]
        for seed in seeds:
            if await self.members.join(seed):
                return
