"""Health checks of engines, which count as requests to one that names a rate."""

import asyncio

from masticpost_common import clock
from masticpost_rates import waiting
from masticpost_text import model

from masticpost_entry import ratelimits, runtime

# Health checks leave the permits to requests of callers.
PRIORITY = 1_000_000
PERMIT_WAIT_S = 1.0


async def is_healthy(rt: runtime.Runtime, up: model.Upstream) -> bool:
    """Return whether an engine is healthy; True if it may not be asked in time."""
    if not await _may_ask(rt, up):
        return True
    return await rt.clients.engines.is_healthy(up.url.rstrip("/"))


async def _may_ask(rt: runtime.Runtime, up: model.Upstream) -> bool:
    run = ratelimits.run_of(up)
    if not rt.cluster.rates.is_limited(run):
        return True
    wait = waiting.PermitWait(rates=rt.cluster.rates, priority=PRIORITY)
    until = clock.now() + PERMIT_WAIT_S
    try:
        while clock.now() < until:
            found = await wait.turn((run,), until)
            if found is not None:
                return found[1].is_valid()
            await asyncio.sleep(wait.pause_s(PERMIT_WAIT_S))
    except waiting.NoPermitInTimeError:
        return False
    return False
