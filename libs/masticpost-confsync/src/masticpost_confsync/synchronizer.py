"""Keeps the text in force on this instance up to date.

A few relays per failure domain watch the head object and push a new generation to the
members of their failure domain. The membership's probes also carry each member's
generation; an instance that sees a higher one requests the text from that peer.
Whatever the source, a text is applied only if its generation is higher than the
current one.
"""

import asyncio
import collections.abc
import random
import time

import aiohttp
import attrs
import mode
from loguru import logger
from masticpost_common import codec, findings, rendezvous
from masticpost_peers import hub, membership, messages, probes
from masticpost_store import client
from masticpost_text import model, parse

from masticpost_confsync import head

RELAYS_PER_DOMAIN = 2
# Longest pause between two watches of the head; each pause is at least half of it.
MAX_WATCH_PAUSE_S = 0.5
POLL_INTERVAL_S = 20.0
RELAY_POLL_INTERVAL_S = 2.0
# Peers whose texts are compared at the start if the object API is out of reach.
COMPARE_PEERS = 3
REQUEST_TIMEOUT_S = 0.5
START_RETRY_S = 0.1
# Age up to which contact with the object API or a member shows that it is reachable.
FRESHNESS_LIMIT_S = 10.0
# Share of the members that must be reachable when the object API is not.
REACHABLE_SHARE = 0.5


@messages.message("text-ask")
@attrs.frozen(kw_only=True)
class TextRequest:
    """Requests the text of a peer if its generation is higher than `above`."""

    above: int


@messages.message("text-news")
@attrs.frozen(kw_only=True)
class TextUpdate:
    """The generation of the sender; `stored` is None if it has no newer text."""

    generation: int
    stored: head.StoredText | None = None


@attrs.frozen(kw_only=True)
class TextInForce:
    """The text in force: the stored generation and its parsed form."""

    stored: head.StoredText
    text: model.Text

    @property
    def generation(self) -> int:
        """Number of the generation."""
        return self.stored.generation


Listener = collections.abc.Callable[[TextInForce], None]


class TextSynchronizer(mode.Service):
    """Applies the highest generation of the text that this instance has received.

    Parameters
    ----------
    store : client.Client
        The object API.
    peers : hub.Hub
        Messages between instances.
    members : membership.Membership
        The members, from which relays are chosen, and their generations.
    """

    def __init__(
        self,
        *,
        store: client.Client,
        peers: hub.Hub,
        members: membership.Membership,
    ) -> None:
        super().__init__()
        self.store = store
        self.peers = peers
        self.members = members
        self.in_force: TextInForce | None = None
        # Whether the text was compared with the object API or with several peers.
        self.is_verified = False
        self.rejected_generation = 0
        self._listeners: list[Listener] = []
        self._last_store_contact = time.monotonic()
        self._members_at_contact: set[str] = set()
        self._is_fetching = False
        self._random = random.Random(peers.name)
        peers.handle(TextRequest, self._on_request)
        peers.handle(TextUpdate, self._on_update)
        members.listen(self._on_member)

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each text that is put in force from now on."""
        self._listeners.append(listener)

    @property
    def generation(self) -> int:
        """Number of the generation in force, 0 if there is none."""
        return self.in_force.generation if self.in_force else 0

    def is_current(self) -> bool:
        """Return whether this instance may assume that it has the latest text.

        It may if it has reached the object API within `FRESHNESS_LIMIT_S`, or if it has
        reached in that time at least half of the members that were alive at its last
        contact with the object API: then the object API itself is down and no edit can
        have been accepted. A minority that cannot reach the object API may be
        partitioned from edits and takes no new work, even long after it has removed
        the other members.
        """
        if not self.is_verified or self.in_force is None:
            return False
        if time.monotonic() - self._last_store_contact < FRESHNESS_LIMIT_S:
            return True
        if time.monotonic() - self.store.last_success < FRESHNESS_LIMIT_S:
            return True
        reached = (
            self.members.recently_reached(FRESHNESS_LIMIT_S) & self._members_at_contact
        )
        return len(reached) >= REACHABLE_SHARE * len(self._members_at_contact)

    def apply_if_newer(self, stored: head.StoredText) -> bool:
        """Put a text in force if its generation is higher and it is valid.

        Returns False if it is not put in force.
        """
        if stored.generation <= max(self.generation, self.rejected_generation):
            return False
        try:
            parsed = parse.parse(stored.raw, source=f"generation {stored.generation}")
        except findings.FindingsError as exc:
            logger.error("generation {} is not valid: {}", stored.generation, exc)
            self.rejected_generation = stored.generation
            return False
        self.in_force = TextInForce(stored=stored, text=parsed.text)
        logger.info("generation {} in force", stored.generation)
        self.members.set_generation(stored.generation)
        for listener in self._listeners:
            listener(self.in_force)
        if self._is_relay():
            self.add_future(self._push(stored))
        return True

    def _is_relay(self) -> bool:
        me = self.members.me
        names = [m.name for m in self.members.alive() if m.domain == me.domain]
        return me.name in rendezvous.ranked(names, "text")[:RELAYS_PER_DOMAIN]

    async def _push(self, stored: head.StoredText) -> None:
        me = self.members.me
        update = TextUpdate(generation=stored.generation, stored=stored)
        for member in self.members.alive():
            if member.domain == me.domain and member.name != me.name:
                await self.peers.send(member.address, update)

    @mode.Service.task
    async def start_up(self) -> None:
        """Get a text and verify it against the object API or several peers."""
        while not self.should_stop and not self.is_verified:
            if await self._read_head() or await self._compare_with_peers():
                self.is_verified = self.in_force is not None
                self._record_members()
            await asyncio.sleep(START_RETRY_S)

    async def _compare_with_peers(self) -> bool:
        others = [m for m in self.members.alive() if m.name != self.peers.name]
        chosen = self._random.sample(others, min(COMPARE_PEERS, len(others)))
        replies = await asyncio.gather(*(self._fetch_from_peer(m) for m in chosen))
        needed = min(COMPARE_PEERS, max(2, len(others)))
        return sum(replies) >= needed

    @mode.Service.task
    async def follow_head(self) -> None:
        """Watch the head while this instance is a relay."""
        while not self.should_stop:
            if self._is_relay():
                await self._watch_once()
                await asyncio.sleep(MAX_WATCH_PAUSE_S * self._random.uniform(0.5, 1.0))
            else:
                await asyncio.sleep(RELAY_POLL_INTERVAL_S)

    async def _watch_once(self) -> None:
        found = await head.read(self.store)
        if found.is_err():
            return
        self._record_store_contact()
        current = found.unwrap()
        version = current.version if current else "0"
        if current is not None:
            self.apply_if_newer(current.stored)
        try:
            async for obj in self.store.watch(head.HEAD_NAME, version):
                self._record_store_contact()
                self.apply_if_newer(head.decode(obj.value))
        except (aiohttp.ClientError, TimeoutError, OSError, codec.DecodeError):
            return

    @mode.Service.task
    async def poll_head(self) -> None:
        """Read the head periodically, in case a watch or a push misses a change."""
        while not self.should_stop:
            relay = self._is_relay()
            await asyncio.sleep(RELAY_POLL_INTERVAL_S if relay else POLL_INTERVAL_S)
            await self._read_head()

    async def _read_head(self) -> bool:
        found = await head.read(self.store)
        if found.is_err():
            return False
        self._record_store_contact()
        current = found.unwrap()
        if current is not None:
            self.apply_if_newer(current.stored)
        return True

    def _record_store_contact(self) -> None:
        self._last_store_contact = time.monotonic()
        self._record_members()

    def _record_members(self) -> None:
        self._members_at_contact = {member.name for member in self.members.alive()}

    def _on_member(self, member: probes.Member) -> None:
        if member.generation > self.generation and not self._is_fetching:
            self._is_fetching = True
            self.add_future(self._fetch_and_clear(member))

    async def _fetch_and_clear(self, member: probes.Member) -> None:
        try:
            await self._fetch_from_peer(member)
        finally:
            self._is_fetching = False

    async def _fetch_from_peer(self, member: probes.Member) -> bool:
        """Get a newer text from a peer.

        Returns False if the peer does not answer or has no text at all.
        """
        req = TextRequest(above=self.generation)
        try:
            update = await self.peers.call(member.address, req, REQUEST_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return False
        if update.stored is not None:
            self.apply_if_newer(update.stored)
        return update.generation > 0

    async def _on_request(
        self, envelope: messages.Envelope, req: TextRequest
    ) -> TextUpdate:
        if self.in_force is None or self.generation <= req.above:
            return TextUpdate(generation=self.generation)
        return TextUpdate(generation=self.generation, stored=self.in_force.stored)

    async def _on_update(self, envelope: messages.Envelope, update: TextUpdate) -> None:
        if update.stored is not None:
            self.apply_if_newer(update.stored)
