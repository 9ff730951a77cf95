"""One call to a plain service at a place: sent, counted, and its permit returned."""

import time
import uuid

from masticpost_upstream import faults, plain, pool

from masticpost_entry import routing, runtime

MIN_TIMEOUT_S = 0.001


async def send(
    rt: runtime.Runtime,
    place: routing.Place,
    need: routing.Need,
    req: plain.PlainRequest,
    timeout_s: float,
) -> plain.PlainAnswer:
    """Return the service's answer; raises `faults.UpstreamError`."""
    target = pool.Target(
        upstream=place.upstream.name,
        url=place.upstream.url.rstrip("/"),
        attempt_id=uuid.uuid4().hex,
        deadline_s=max(MIN_TIMEOUT_S, timeout_s),
    )
    started = time.monotonic()
    routing.begin(rt, place, need)
    try:
        routing.check_permit(place)
        answer = await rt.clients.services.call(target, req)
    except faults.UpstreamError as exc:
        routing.fail(rt, place, need, exc)
        raise
    except BaseException:
        routing.cancel(rt, place)
        raise
    routing.succeed(rt, place, time.monotonic() - started)
    return answer
