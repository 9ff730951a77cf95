"""Choice of the upstream for an attempt, with a permit if it names a rate."""

from masticpost_rates import permits, waiting

from masticpost_gateway import shared
from masticpost_gateway.routing import choice
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model


class Picker:
    """Picks upstreams for one attempt of a request, which may wait for a permit.

    Parameters
    ----------
    parts : shared.Shared
        Components of the instance that all requests use.
    call : call.Call
        The request.
    """

    def __init__(self, *, parts: shared.Shared, call: calls.Call) -> None:
        self.chooser = parts.chooser
        self.wait = waiting.PermitWait(rates=parts.rates, priority=call.priority)
        call.held_by = self.wait.held_by

    async def pick(
        self,
        required: choice.Requirements,
        until: float,
        *,
        preferred: model.Upstream | None = None,
    ) -> model.Upstream | None:
        """Return an upstream to send to at once, None if none is ready.

        Parameters
        ----------
        until : float
            Monotonic time in seconds until which the request can wait.
        preferred : model.Upstream or None
            The upstream to use if it is still ready, None for the best one.

        Raises
        ------
        waiting.NoPermitInTimeError
            The upstreams are at the rates that they name for too long.
        """
        upstream = preferred or self.chooser.pick(required)
        while upstream is not None:
            permit = await self.wait.acquire(upstream.run_key)
            if self._may_send(upstream, required, permit):
                return upstream
            upstream = self.chooser.pick(required)
        held = {row.run_key: row for row in self.chooser.held_upstreams(required)}
        found = await self.wait.turn(held, until)
        if found is None:
            return None
        run, permit = found
        upstream = held[run]
        return upstream if self._may_send(upstream, required, permit) else None

    def pause_s(self, longest_s: float) -> float:
        """Return how long to wait before the next look, in seconds."""
        return self.wait.pause_s(longest_s)

    def _may_send(
        self,
        upstream: model.Upstream,
        required: choice.Requirements,
        permit: permits.Permit | None,
    ) -> bool:
        """Return whether a permit is valid and its upstream still ready."""
        if permit is None or not permit.is_valid():
            return False
        return self.chooser.confirm(upstream, required)
