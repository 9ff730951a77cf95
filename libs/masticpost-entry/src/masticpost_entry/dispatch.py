"""Sends one call to an upstream of a plain service."""

import time
import uuid

from masticpost_upstream import faults, plain, pool

from masticpost_entry import acquisition, routing, runtime

MIN_TIMEOUT_S = 0.001


async def send(
    rt: runtime.Runtime,
    selection: routing.Selection,
    requirements: routing.Requirements,
    req: plain.PlainRequest,
    timeout_s: float,
) -> plain.PlainAnswer:
    """Return the service's answer; records the outcome and releases the permit.

    Parameters
    ----------
    rt : runtime.Runtime
        Runtime of the instance.
    selection : routing.Selection
        Upstream to call.
    requirements : routing.Requirements
        What the upstream was selected for.
    req : plain.PlainRequest
        Request to send.
    timeout_s : float
        Time limit in seconds.

    Raises
    ------
    faults.UpstreamError
        When the call fails.
    """
    target = pool.Target(
        upstream=selection.upstream.name,
        url=selection.upstream.url.rstrip("/"),
        attempt_id=uuid.uuid4().hex,
        deadline_s=max(MIN_TIMEOUT_S, timeout_s),
    )
    started = time.monotonic()
    routing.record_dispatch(rt, selection, requirements)
    try:
        acquisition.check_permit(selection)
        answer = await rt.clients.services.call(target, req)
    except faults.UpstreamError as exc:
        routing.record_failure(rt, selection, requirements, exc)
        raise
    except BaseException:
        routing.record_cancellation(rt, selection)
        raise
    routing.record_success(rt, selection, time.monotonic() - started)
    return answer
