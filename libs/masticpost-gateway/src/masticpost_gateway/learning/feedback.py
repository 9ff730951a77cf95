"""What the answers to a request tell of upstreams, versions, sessions and speeds."""

from masticpost_common import clock

from masticpost_gateway import shared
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import answer
from masticpost_gateway.serving import call as calls


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

    def good(self, opened: answer.Opened) -> None:
        """Count a whole answer for the upstream and its version."""
        opened.health.succeeded(clock.now())
        self.ran(opened.upstream.version)
        self.shared.trials.note(
            self.call.service.name, opened.upstream.version, is_good=True
        )

    def bad(self, opened: answer.Opened, reason: str) -> None:
        """Count a failed answer for the upstream.

        Only what the upstream itself reports speaks against its version: a crash cuts
        many answers at once and says little about the software.
        """
        opened.health.failed(clock.now(), reason)
        if opened.is_failure:
            self.shared.trials.note(
                self.call.service.name, opened.upstream.version, is_good=False
            )

    def gap(self, opened: answer.Opened, gap_s: float) -> None:
        """Count the mean pause between events for the upstream's version."""
        self.shared.trials.note_gap(
            self.call.service.name, opened.upstream.version, gap_s
        )

    def pace(self, opened: answer.Opened, events_read: int, took_s: float) -> None:
        """Note the time in which a model wrote some events."""
        speed = self.shared.places.pace.of(self.call.service.name, opened.level)
        speed.saw_write(events_read * self.call.service.tokens_per_event, took_s)

    def ran(self, version: str) -> None:
        """Note the version that runs the request's session."""
        self.shared.sessions.ran(
            self.call.service.name, self.call.head.session, version, clock.now()
        )

    def sent(self, upstream: str, reading: placement.Reading) -> None:
        """Note that a prompt will be read, so that what begins like it follows it."""
        for key, part in zip(reading.keys(), reading.prompt.parts, strict=True):
            self.shared.loads.place(upstream, key, part.tokens)

    def read(self, opened: answer.Opened, reading: placement.Reading) -> None:
        """Note that the prompt was read, since the answer has begun."""
        self.shared.loads.read(opened.work)
        took_s = opened.head_at - opened.sent_at
        speed = self.shared.places.pace.of(reading.service, reading.model)
        if not opened.is_failure:
            speed.saw_read(opened.unread_tokens, took_s)
