"""Discovers new peers and leaving upstreams from the platform's list of instances."""

import asyncio
import time

import mode
from masticpost_entry import runtime
from masticpost_store import instances

POLL_INTERVAL_S = 0.7
# Shards may be owned after this time even if this instance is not on the list.
START_OWNING_AFTER_S = 3.0
PEER_SERVICE = "masticpost"
UPSTREAM_SERVICE = "upstreams"


class InstanceDiscovery(mode.Service):
    """Polls the list and updates the membership and the routing.

    Parameters
    ----------
    rt : runtime.Runtime
        State of the instance: its members and its leaving upstreams are updated.
    instance_list : instances.InstanceListClient
        Client of the platform's list.
    seeds : list of str
        Addresses of peers to join first, regardless of the list.
    """

    def __init__(
        self,
        *,
        rt: runtime.Runtime,
        instance_list: instances.InstanceListClient,
        seeds: list[str],
    ) -> None:
        super().__init__()
        self.rt = rt
        self.instance_list = instance_list
        self.seeds = seeds

    async def on_stop(self) -> None:
        """Close the client."""
        await self.instance_list.close()

    @mode.Service.task
    async def poll_loop(self) -> None:
        """Poll until the service stops."""
        await asyncio.gather(*(self.rt.cluster.members.join(s) for s in self.seeds))
        started = time.monotonic()
        while not self.should_stop:
            is_listed = await self._join_listed_peers()
            if is_listed or time.monotonic() - started > START_OWNING_AFTER_S:
                self.rt.cluster.shards.start_owning()
            await self._update_leaving_upstreams()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _join_listed_peers(self) -> bool:
        """Join the listed peers; return whether this instance is listed too.

        The list lags: while this instance is missing from it, its peers may be missing
        too.
        """
        listed = await self.instance_list.read(PEER_SERVICE)
        if listed.is_err():
            return False
        members = self.rt.cluster.members
        for row in listed.unwrap():
            if row.leaving or row.name == members.me.name:
                continue
            if members.get(row.name) is None and await members.join(row.address):
                members.add_listed(row.name, row.address, row.domain)
        return any(row.name == members.me.name for row in listed.unwrap())

    async def _update_leaving_upstreams(self) -> None:
        """Update the leaving upstreams; unchanged if the list cannot be read."""
        listed = await self.instance_list.read(UPSTREAM_SERVICE)
        if listed.is_err():
            return
        self.rt.leaving_upstreams = {
            row.address for row in listed.unwrap() if row.leaving
        }
