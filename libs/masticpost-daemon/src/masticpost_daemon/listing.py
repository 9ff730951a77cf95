"""Follows the platform's list: new peers, and upstreams that leave."""

import asyncio

import mode
from masticpost_entry import runtime
from masticpost_store import instances

POLL_S = 1.0
PEER_SERVICE = "masticpost"
UPSTREAM_SERVICE = "upstreams"


class Listing(mode.Service):
    """Polls the list and tells the membership and the routing.

    Parameters
    ----------
    rt : runtime.Runtime
        Gets the addresses of leaving upstreams.
    source : instances.InstanceList
        The platform's list.
    seeds : list of str
        Peers to ask first, whatever the list says.
    """

    def __init__(
        self,
        *,
        rt: runtime.Runtime,
        source: instances.InstanceList,
        seeds: list[str],
    ) -> None:
        super().__init__()
        self.rt = rt
        self.source = source
        self.seeds = seeds

    async def on_stop(self) -> None:
        """Close the client."""
        await self.source.close()

    @mode.Service.task
    async def follow(self) -> None:
        """Poll until the service stops."""
        await asyncio.gather(*(self.rt.agreed.members.join(s) for s in self.seeds))
        while not self.should_stop:
            await self._read_peers()
            await self._read_upstreams()
            await asyncio.sleep(POLL_S)

    async def _read_peers(self) -> None:
        listed = await self.source.read(PEER_SERVICE)
        if listed.is_err():
            return
        members = self.rt.agreed.members
        for row in listed.unwrap():
            if row.leaving or row.name == members.me.name:
                continue
            if members.get(row.name) is None and await members.join(row.address):
                members.add_listed(row.name, row.address, row.domain)

    async def _read_upstreams(self) -> None:
        listed = await self.source.read(UPSTREAM_SERVICE)
        if listed.is_err():
            return
        self.rt.leaving_upstreams = {
            row.address for row in listed.unwrap() if row.leaving
        }
