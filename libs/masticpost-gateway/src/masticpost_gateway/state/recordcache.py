"""Cache of the store's records, with the revision and the age of each kind.

Records come from this instance's own watches of the store and from other instances. The
entries of a kind are replaced only by a state that is at least as new, and the active
configuration never goes back to an older version.
"""

import collections.abc
import math

import attrs
from loguru import logger

from masticpost_gateway.state import model, source, table

# Time after an outage of the store during which a removed upstream is still used.
LAPSE_GRACE_S = 2.2
# Minimum duration of a failure of the store that counts as an outage.
MIN_OUTAGE_S = 1.5

Listener = collections.abc.Callable[[source.Kind], None]


@attrs.frozen(kw_only=True)
class Advance:
    """The only changes of a view after revision `since`, up to revision `at`."""

    kind: source.Kind
    since: int
    at: int
    changed: tuple[source.Entry, ...]
    removed: tuple[str, ...]


AdvanceListener = collections.abc.Callable[[Advance], None]


@attrs.define(kw_only=True)
class View:
    """The cached entries of one kind.

    Attributes
    ----------
    at : int
        Revision of the store up to which the view is complete; -1 before the first
        state has arrived.
    changed_at : int
        Value of `at` after the last change of an entry.
    confirmed_at : float
        Monotonic time in seconds at which the view was last known to be up to date.
    """

    kind: source.Kind
    entries: dict[str, source.Entry] = attrs.field(factory=dict)
    at: int = -1
    changed_at: int = -1
    confirmed_at: float = -math.inf

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was last known to be up to date."""
        return now - self.confirmed_at


@attrs.define(kw_only=True)
class LapsedUpstream:
    """An upstream whose registration may have expired during an outage of the store.

    It is used until `until` (monotonic seconds); an upstream that is alive has
    registered again by then.
    """

    record: model.Upstream
    until: float


class RecordCache:
    """The cached records of all kinds, and the look-up table of the configuration.

    Attributes
    ----------
    table : table.Table or None
        Look-up of the active configuration; None before the first one has arrived.
    lapsed : dict of str to LapsedUpstream
        Upstreams that are used though their entries were removed, by name.
    recovered_at : float
        Monotonic time in seconds at which the store was back after its last outage.
    """

    def __init__(self) -> None:
        self.views = {kind: View(kind=kind) for kind in source.Kind}
        self.table: table.Table | None = None
        self.lapsed: dict[str, LapsedUpstream] = {}
        self.recovered_at = -math.inf
        self._listeners: list[Listener] = []
        self._advance_listeners: list[AdvanceListener] = []

    @property
    def era(self) -> int:
        """Newest era of the store of which records are cached."""
        return max(source.era_of(view.at) for view in self.views.values())

    def listen(self, listener: Listener) -> None:
        """Call `listener` with the kind whenever entries of a kind have changed."""
        self._listeners.append(listener)

    def on_advance(self, listener: AdvanceListener) -> None:
        """Call `listener` with the changes whenever entries of a view have changed."""
        self._advance_listeners.append(listener)

    def confirm(self, kind: source.Kind, confirmed_at: float) -> None:
        """Note that the view of `kind` was up to date at a monotonic time."""
        view = self.views[kind]
        view.confirmed_at = max(view.confirmed_at, confirmed_at)

    def note_store_recovery(self, now: float) -> None:
        """Note that the store is back after an outage, and extend the grace period."""
        self.recovered_at = max(now, self.recovered_at)
        for row in self.lapsed.values():
            row.until = self.recovered_at + LAPSE_GRACE_S

    def replace(
        self, kind: source.Kind, listing: source.Listing, confirmed_at: float
    ) -> None:
        """Replace all entries of a kind, unless the cached state is newer."""
        view = self.views[kind]
        if listing.at < view.at:
            return
        new = {entry.name: entry for entry in listing.entries}
        removed = [name for name in view.entries if name not in new]
        changed = [e for e in listing.entries if self._is_changed(view, e)]
        for name in removed:
            self._remove(view, name, confirmed_at)
        for entry in changed:
            self._put(view, entry)
        self._advance(view, listing.at, confirmed_at, changed, removed)

    def apply(
        self, kind: source.Kind, changes: source.Changes, confirmed_at: float
    ) -> None:
        """Apply changes since an earlier state, unless the cached state is newer."""
        view = self.views[kind]
        if changes.at < view.at:
            return
        before = dict(view.entries)
        for event in changes.events:
            if event.is_removed:
                self._remove(view, event.entry.name, confirmed_at)
            elif self._is_changed(view, event.entry):
                self._put(view, event.entry)
        changed = [e for name, e in view.entries.items() if before.get(name) is not e]
        removed = [name for name in before if name not in view.entries]
        self._advance(view, changes.at, confirmed_at, changed, removed)

    def upstreams(self, now: float) -> list[model.Upstream]:
        """Return the registered upstreams and those that may just have lapsed."""
        upstreams = [
            entry.record
            for entry in self.views[source.Kind.UPSTREAMS].entries.values()
            if entry.record is not None
        ]
        if self.lapsed:
            self._expire(now)
            upstreams += [row.record for row in self.lapsed.values()]
        return upstreams

    def domains_out(self) -> set[str]:
        """Return the failure domains whose upstreams get no new requests."""
        return set(self.views[source.Kind.DOMAINS_OUT].entries)

    def roll_out(self, service: str) -> model.RollOut | None:
        """Return the roll-out of a service, None if there is no order for one."""
        entry = self.views[source.Kind.ROLL_OUTS].entries.get(service)
        return entry.record if entry is not None else None

    def _advance(
        self,
        view: View,
        at: int,
        confirmed_at: float,
        changed: list[source.Entry],
        removed: list[str],
    ) -> None:
        view.at = at
        self.confirm(view.kind, confirmed_at)
        since = view.changed_at
        if not (changed or removed or since < 0):
            return
        view.changed_at = at
        self._notify(view.kind)
        advance = Advance(
            kind=view.kind,
            since=since,
            at=at,
            changed=tuple(changed),
            removed=tuple(removed),
        )
        for listener in self._advance_listeners:
            listener(advance)

    def _is_changed(self, view: View, entry: source.Entry) -> bool:
        cached = view.entries.get(entry.name)
        return cached is None or cached.revision != entry.revision

    def _put(self, view: View, entry: source.Entry) -> None:
        view.entries[entry.name] = entry
        if view.kind is source.Kind.UPSTREAMS:
            self.lapsed.pop(entry.name, None)
        if isinstance(entry.record, model.Configuration):
            self._put_configuration(entry.record)
        logger.bind(
            event="belief", kind=view.kind.value, name=entry.name, rev=entry.revision
        ).info("record changed" if entry.record is not None else "cannot decode record")

    def _put_configuration(self, cfg: model.Configuration) -> None:
        if self.table is not None and cfg.version < self.table.cfg.version:
            return
        self.table = table.Table(cfg=cfg)

    def _remove(self, view: View, name: str, now: float) -> None:
        entry = view.entries.pop(name, None)
        if entry is None:
            return
        record = entry.record
        until = self.recovered_at + LAPSE_GRACE_S
        is_serving = isinstance(record, model.Upstream) and not record.is_draining
        if is_serving and now < until:
            self.lapsed[name] = LapsedUpstream(record=record, until=until)
        logger.bind(
            event="belief",
            kind=view.kind.value,
            name=name,
            rev=entry.revision,
            lapsed=name in self.lapsed,
        ).info("record removed")

    def _expire(self, now: float) -> None:
        for name in [n for n, row in self.lapsed.items() if row.until <= now]:
            del self.lapsed[name]

    def _notify(self, kind: source.Kind) -> None:
        for listener in self._listeners:
            listener(kind)
