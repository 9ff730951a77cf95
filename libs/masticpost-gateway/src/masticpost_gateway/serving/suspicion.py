"""Whether a request may be to blame for upstreams that ended while they ran it."""

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import crashes
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import endings


class Suspicion:
    """Tells of the crashes under one request.

    Parameters
    ----------
    known : crashes.Crashes
        Filled with the crashes.
    ends : endings.Endings
        Finds out whether an upstream's run has ended.
    call : call.Call
        The request.
    """

    def __init__(
        self, *, known: crashes.Crashes, ends: endings.Endings, call: calls.Call
    ) -> None:
        self.known = known
        self.ends = ends
        self.call = call

    def unanswered(
        self,
        upstream: model.Upstream,
        sent_at: float,
        *,
        had_begun: bool,
        is_cut: bool,
    ) -> None:
        """Note a try without a whole answer, which the end of the run may explain.

        Parameters
        ----------
        sent_at : float
            When it was sent, monotonic seconds.
        had_begun : bool
            Whether a part of the answer had come.
        is_cut : bool
            Whether the connection was cut; else the upstream was silent.
        """
        at = clock.now()

        def ended() -> None:
            self._crashed(upstream, at, had_begun=had_begun)

        self.ends.doubt(upstream, sent_at, ended, is_cut=is_cut)

    def _crashed(self, upstream: model.Upstream, at: float, *, had_begun: bool) -> None:
        name, born_ms, address = upstream.incarnation
        run = f"{name}/{born_ms}/{address}"
        crash = crashes.Crash(run=run, at=at, had_begun=had_begun)
        fingerprint = self.call.fingerprint
        if not self.known.crashed(fingerprint, crash):
            return
        logger.bind(
            event="suspect",
            id=self.call.head.request_id,
            fingerprint=fingerprint,
            upstream=upstream.name,
            had_begun=had_begun,
            crashes=self.known.crashes_of(fingerprint),
        ).warning("an upstream has ended under a request")
