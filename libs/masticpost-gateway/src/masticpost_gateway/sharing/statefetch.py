"""Whole states of the cached records, requested from other instances."""

import asyncio
import random

import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import hub, messages

from masticpost_gateway.sharing import mesh, replication
from masticpost_gateway.state import isolation, recordcache, source, timing, watching

# Age from which the cached records of a kind count as stale.
STALE_AFTER_S = 5.0
FIRST_FETCH_PERIOD_S = 0.05
# Upper limit of ages in messages and log lines, in place of infinity.
MAX_REPORTED_AGE_S = 1e6


class StateFetch(mode.Service):
    """Fetches the records of other instances, and answers their requests.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    records : recordcache.RecordCache
        Records to answer with and to replace.
    watch : watching.StoreWatch
        This instance's own watch of the store.
    isolation : isolation.Isolation
        Notified of contact with instances whose records are fresh.
    limits : timing.Timing
        Time limits.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        records: recordcache.RecordCache,
        watch: watching.StoreWatch,
        isolation: isolation.Isolation,
        limits: timing.Timing,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.records = records
        self.watch = watch
        self.isolation = isolation
        self.limits = limits
        self._fetching: set[source.Kind] = set()
        self._encoded: dict[
            source.Kind, tuple[int, list[replication.ReplicatedEntry]]
        ] = {}
        peers.hub.handle(replication.StateRequest, self._on_request)

    async def _on_request(
        self, envelope: messages.Envelope, body: replication.StateRequest
    ) -> replication.ReplicatedState:
        view = self.records.views[body.kind]
        return replication.ReplicatedState(
            kind=body.kind,
            at=view.at,
            age_s=min(view.age_s(clock.now()), MAX_REPORTED_AGE_S),
            entries=self._encode_view(view),
        )

    def _encode_view(self, view: recordcache.View) -> list[replication.ReplicatedEntry]:
        """Return a view's entries, encoded; the result is cached.

        Many instances request the same view when they start together.
        """
        at, rows = self._encoded.get(view.kind, (-1, []))
        if at != view.changed_at:
            rows = [replication.encode_entry(entry) for entry in view.entries.values()]
            self._encoded[view.kind] = (view.changed_at, rows)
        return rows

    async def fetch(self, sender: str, kind: source.Kind) -> None:
        """Replace the records of a kind with those of another instance, if newer."""
        member = self.peers.members.get(sender)
        if member is None or kind in self._fetching:
            return
        self._fetching.add(kind)
        req = replication.StateRequest(kind=kind)
        try:
            state = await self.peers.hub.call(member.address, req, self.limits.fetch_s)
        except hub.PeerUnreachableError as exc:
            logger.bind(event="relay", kind=kind.value).warning(
                "cannot fetch records from another instance: {}", exc
            )
            return
        finally:
            self._fetching.discard(kind)
        is_first = self.records.views[kind].at < 0
        may_wait = is_first and self.watch.may_answer_soon(kind, clock.now())
        if state.at < 0 or (may_wait and state.age_s > STALE_AFTER_S):
            # The store or another instance may have a newer state.
            return
        entries = tuple(replication.decode_entry(kind, row) for row in state.entries)
        listing = source.Listing(entries=entries, at=state.at)
        self.records.replace(kind, listing, clock.now() - state.age_s)
        if state.age_s <= STALE_AFTER_S:
            self.isolation.note_contact(clock.now())

    @mode.Service.task
    async def fetch_first(self) -> None:
        """Fetch from other instances all kinds of which no state is cached yet.

        A seed is contacted in about half of the rounds, since seeds query the store at
        once; any other instance may have received the records in the meantime.
        """
        while not self.should_stop:
            missing = [k for k, view in self.records.views.items() if view.at < 0]
            if not missing:
                return
            candidates = random.choice((self.peers.seeds(), self.peers.others()))
            candidates = candidates or self.peers.others()
            if candidates:
                name = random.choice(candidates).name
                await asyncio.gather(*(self.fetch(name, kind) for kind in missing))
            await asyncio.sleep(FIRST_FETCH_PERIOD_S)
