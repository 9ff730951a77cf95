"""What this instance believes of the store's records, how new and how old it is.

Records come from this instance's own watches and from other instances. A kind is
replaced only by a state that is at least as new; the configuration in force never
goes back to an older version.
"""

import collections.abc
import math

import attrs
from loguru import logger

from masticpost_gateway.state import model, source, table

LAPSE_GRACE_S = 2.2
OUTAGE_AFTER_S = 1.5

Listener = collections.abc.Callable[[source.Kind], None]


@attrs.frozen(kw_only=True)
class Advance:
    """What a view took over when it moved from revision `since` to `at`."""

    kind: source.Kind
    since: int
    at: int
    changed: tuple[source.Entry, ...]
    removed: tuple[str, ...]


AdvanceListener = collections.abc.Callable[[Advance], None]


@attrs.define(kw_only=True)
class View:
    """The entries of one kind.

    Attributes
    ----------
    at : int
        Revision of the store up to which the view is complete; -1 before the first.
    changed_at : int
        Revision up to which it was complete when an entry last changed.
    confirmed_at : float
        Monotonic time at which the store was last known to hold nothing newer.
    """

    kind: source.Kind
    entries: dict[str, source.Entry] = attrs.field(factory=dict)
    at: int = -1
    changed_at: int = -1
    confirmed_at: float = -math.inf

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was confirmed."""
        return now - self.confirmed_at


@attrs.define(kw_only=True)
class Lapsed:
    """An upstream whose entry went while the store was away.

    It is used until `until` (monotonic seconds), by when a living one is back.
    """

    record: model.Upstream
    until: float


class RecordCache:
    """All views of one instance."""

    def __init__(self) -> None:
        self.views = {kind: View(kind=kind) for kind in source.Kind}
        self.table: table.Table | None = None
        self.lapsed: dict[str, Lapsed] = {}
        self.regained_at = -math.inf
        self._listeners: list[Listener] = []
        self._advance_listeners: list[AdvanceListener] = []

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each kind that changed."""
        self._listeners.append(listener)

    def on_advance(self, listener: AdvanceListener) -> None:
        """Call `listener` with what a view took over, after each change."""
        self._advance_listeners.append(listener)

    def confirm(self, kind: source.Kind, confirmed_at: float) -> None:
        """Note that the view of `kind` was complete at a monotonic time."""
        view = self.views[kind]
        view.confirmed_at = max(view.confirmed_at, confirmed_at)

    def regained(self, now: float) -> None:
        """Note that the store is back after an outage."""
        self.regained_at = max(now, self.regained_at)
        for lapsed in self.lapsed.values():
            lapsed.until = self.regained_at + LAPSE_GRACE_S

    def replace(
        self, kind: source.Kind, listing: source.Listing, confirmed_at: float
    ) -> None:
        """Take a whole state of a kind, unless a newer one is known."""
        view = self.views[kind]
        if listing.at < view.at:
            return
        new = {entry.name: entry for entry in listing.entries}
        gone = [name for name in view.entries if name not in new]
        changed = [e for e in listing.entries if self._is_news(view, e)]
        for name in gone:
            self._remove(view, name, confirmed_at)
        for entry in changed:
            self._put(view, entry)
        self._advance(view, listing.at, confirmed_at, changed, gone)

    def apply(
        self, kind: source.Kind, changes: source.Changes, confirmed_at: float
    ) -> None:
        """Take the changes since an earlier state, unless a newer one is known."""
        view = self.views[kind]
        if changes.at < view.at:
            return
        before = dict(view.entries)
        for event in changes.events:
            if event.is_removed:
                self._remove(view, event.entry.name, confirmed_at)
            elif self._is_news(view, event.entry):
                self._put(view, event.entry)
        changed = [e for name, e in view.entries.items() if before.get(name) is not e]
        gone = [name for name in before if name not in view.entries]
        self._advance(view, changes.at, confirmed_at, changed, gone)

    def upstreams(self, now: float) -> list[model.Upstream]:
        """Return the registered upstreams and those that may have lapsed only."""
        found = [
            entry.record
            for entry in self.views[source.Kind.UPSTREAMS].entries.values()
            if entry.record is not None
        ]
        if self.lapsed:
            self._expire(now)
            found += [lapsed.record for lapsed in self.lapsed.values()]
        return found

    def domains_out(self) -> set[str]:
        """Return the failure domains whose upstreams get nothing new."""
        return set(self.views[source.Kind.DOMAINS_OUT].entries)

    def roll_out(self, service: str) -> model.RollOut | None:
        """Return the roll-out that was ordered for a service."""
        entry = self.views[source.Kind.ROLL_OUTS].entries.get(service)
        return entry.record if entry is not None else None

    def _advance(
        self,
        view: View,
        at: int,
        confirmed_at: float,
        changed: list[source.Entry],
        gone: list[str],
    ) -> None:
        since, view.at = view.at, at
        self.confirm(view.kind, confirmed_at)
        if not (changed or gone or since < 0):
            return
        view.changed_at = at
        self._notify(view.kind)
        step = Advance(
            kind=view.kind,
            since=since,
            at=at,
            changed=tuple(changed),
            removed=tuple(gone),
        )
        for listener in self._advance_listeners:
            listener(step)

    def _is_news(self, view: View, entry: source.Entry) -> bool:
        known = view.entries.get(entry.name)
        return known is None or known.revision != entry.revision

    def _put(self, view: View, entry: source.Entry) -> None:
        view.entries[entry.name] = entry
        if view.kind is source.Kind.UPSTREAMS:
            self.lapsed.pop(entry.name, None)
        if isinstance(entry.record, model.Configuration):
            self._put_configuration(entry.record)
        logger.bind(
            event="belief", kind=view.kind.value, name=entry.name, rev=entry.revision
        ).info("changed" if entry.record is not None else "cannot be read")

    def _put_configuration(self, cfg: model.Configuration) -> None:
        if self.table is not None and cfg.version < self.table.cfg.version:
            return
        self.table = table.Table(cfg=cfg)

    def _remove(self, view: View, name: str, now: float) -> None:
        entry = view.entries.pop(name, None)
        if entry is None:
            return
        record = entry.record
        until = self.regained_at + LAPSE_GRACE_S
        is_serving = isinstance(record, model.Upstream) and not record.is_draining
        if is_serving and now < until:
            self.lapsed[name] = Lapsed(record=record, until=until)
        logger.bind(
            event="belief",
            kind=view.kind.value,
            name=name,
            rev=entry.revision,
            lapsed=name in self.lapsed,
        ).info("removed")

    def _expire(self, now: float) -> None:
        for name in [n for n, row in self.lapsed.items() if row.until <= now]:
            del self.lapsed[name]

    def _notify(self, kind: source.Kind) -> None:
        for listener in self._listeners:
            listener(kind)
