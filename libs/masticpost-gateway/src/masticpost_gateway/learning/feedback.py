"""What the answers to a request tell of upstreams, versions, sessions and speeds."""

import math

from masticpost_common import clock

from masticpost_gateway import shared
from masticpost_gateway.learning import paces
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import answer
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model


class Feedback:
    """Notes the results of one request's tries.

    Parameters
    ----------
    parts : shared.Shared
        Parts of the instance.
    call : call.Call
        The request.
    """

    def __init__(self, *, parts: shared.Shared, call: calls.Call) -> None:
        self.shared = parts
        self.call = call

    def good(self, opened: answer.OpenAnswer) -> None:
        """Count a whole answer for the upstream and its version."""
        opened.health.record_success(clock.now())
        self.ran(opened.upstream.version)
        self.shared.trials.note(
            self.call.service.name, opened.upstream.version, is_good=True
        )

    def bad(self, opened: answer.OpenAnswer, reason: str) -> None:
        """Count a failed answer for the upstream.

        Only what the upstream itself reports speaks against its version: a crash cuts
        many answers at once and says little about the software.
        """
        opened.health.record_failure(clock.now(), reason)
        if opened.is_failure:
            self.shared.trials.note(
                self.call.service.name, opened.upstream.version, is_good=False
            )

    def begin(self, upstream: model.Upstream) -> paces.Pace:
        """Return the pace of the answer that an upstream is asked for."""
        pace = paces.Pace(
            service=self.call.service.name,
            version=upstream.version,
            sent_at=clock.now(),
            objective_s=self.call.route.objective_s,
            longest_gap_s=self.call.route.gap_s or math.inf,
            is_whole=not self.call.route.kind.is_stream,
        )
        self.shared.trials.begin(pace)
        return pace

    def end(self, pace: paces.Pace) -> None:
        """Note that an answer is over, whole or not."""
        self.shared.trials.end(pace, clock.now())

    def whole(self, pace: paces.Pace) -> None:
        """Count the time in which a whole answer came."""
        pace.add(1, clock.now())
        self.shared.trials.note_pace(pace)

    def came(self, opened: answer.OpenAnswer, events: int, waited_s: float) -> None:
        """Note events of a stream, and the wait for them since the last ones."""
        pace = opened.pace
        if pace.events:
            self._write_speed(opened, events, waited_s)
        pace.add(events, clock.now())
        if pace.is_known:
            self.shared.trials.note_pace(pace)

    def stream_ended(self, pace: paces.Pace) -> None:
        """Count the pace of a stream that is whole, however short."""
        self.shared.trials.note_pace(pace)

    def _write_speed(
        self, opened: answer.OpenAnswer, events: int, waited_s: float
    ) -> None:
        speed = self.shared.places.pace.of(self.call.service.name, opened.level)
        speed.saw_write(events * self.call.service.tokens_per_event, waited_s)

    def ran(self, version: str) -> None:
        """Note the version that runs the request's session."""
        self.shared.sessions.ran(
            self.call.service.name, self.call.head.session, version, clock.now()
        )

    def sent(self, upstream: str, reading: placement.Reading) -> None:
        """Note that a prompt will be read, so that what begins like it follows it."""
        for key, part in zip(reading.keys(), reading.prompt.parts, strict=True):
            self.shared.loads.place(upstream, key, part.tokens)

    def read(self, opened: answer.OpenAnswer, reading: placement.Reading) -> None:
        """Note that the prompt was read, since the answer has begun."""
        self.shared.loads.read(opened.work)
        took_s = opened.head_at - opened.sent_at
        speed = self.shared.places.pace.of(reading.service, reading.model)
        if not opened.is_failure:
            speed.saw_read(opened.unread_tokens, took_s)
