"""What is noted of each send: work at the upstream, retry budget, evidence."""

import attrs
from masticpost_common import clock

from masticpost_gateway import shared
from masticpost_gateway.learning import feedback, paces
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import call as calls
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import health


@attrs.define(kw_only=True)
class Dispatch:
    """A send that was begun; `at` is in monotonic seconds."""

    upstream: model.Upstream
    level: str
    health: health.Health
    pace: paces.Pace
    at: float
    reading: placement.Reading | None
    work: loads.Work | None = None
    unread_tokens: int = 0


class Dispatches:
    """Notes the sends of one request.

    Parameters
    ----------
    parts : shared.Shared
        Parts of the instance.
    call : call.Call
        The request.
    notes : feedback.Feedback
        Told of each send.
    """

    def __init__(
        self, *, parts: shared.Shared, call: calls.Call, notes: feedback.Feedback
    ) -> None:
        self.shared = parts
        self.call = call
        self.notes = notes
        self.count = 0

    def begin(
        self, upstream: model.Upstream, level: str, reading: placement.Reading | None
    ) -> Dispatch:
        """Note a send before it is made."""
        now = clock.now()
        if self.count:
            self.shared.retries.repeated(self.call.service.name, now)
        self.count += 1
        row = self.shared.chooser.health_of(upstream)
        row.outstanding += 1
        sent = Dispatch(
            upstream=upstream,
            level=level,
            health=row,
            pace=self.notes.begin(upstream),
            at=now,
            reading=reading,
        )
        if reading is not None:
            places = self.shared.places
            sent.unread_tokens = places.unread_tokens(upstream.name, reading)
            read_s = places.read_s(upstream.name, reading)
            sent.work = self.shared.loads.begin(upstream.name, read_s)
            self.notes.sent(upstream.name, reading)
        return sent

    def end(
        self, row: health.Health, work: loads.Work | None, pace: paces.Pace
    ) -> None:
        """Note that a send is over, however it ended."""
        row.outstanding -= 1
        if work is not None:
            self.shared.loads.end(work)
        self.notes.end(pace)

    def take_back(self, now: float) -> None:
        """Forget a send that has reached no upstream: it spends no retry budget."""
        self.count -= 1
        if self.count:
            self.shared.retries.not_arrived(self.call.service.name, now)
