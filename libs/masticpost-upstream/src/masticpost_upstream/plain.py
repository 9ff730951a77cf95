"""Calls to plain services, whose requests and answers are passed through."""

import collections.abc
import ssl

import aiohttp
import attrs

from masticpost_upstream import bodies, faults, limits, pool

MAX_ANSWER_BYTES = 1_000_000
ECHO_HEADER = "X-Request-Id"
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")


@attrs.frozen(kw_only=True)
class PlainRequest:
    """A request to a plain service.

    `idempotency_key` is empty if an idempotent call has none.
    """

    method: str
    path: str
    query: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainClient:
    """HTTP client of the plain services.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for https upstreams; None for the default context.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self.pool = pool.Pool(tls=tls, keep_alive=False)

    async def call(self, target: pool.Target, req: PlainRequest) -> PlainAnswer:
        """Forward the request and return the complete answer.

        Any HTTP status below 500 except 429 is the service's answer. A non-idempotent
        call uses a connection of its own: if the service closed an idle keep-alive
        connection at the moment of the call, it would not be known whether it ran.

        Raises
        ------
        faults.UpstreamError
            `REFUSED` if nothing was sent; `CUT` or `TIMEOUT` if the call may have run.
        """
        url = f"{target.url}{req.path}"
        if req.query:
            url += f"?{req.query}"
        with pool.translated_errors(target):
            async with self.pool.request(
                target, req.method, url, data=req.body, headers=_headers(target, req)
            ) as resp:
                # The connection ends beyond the limit, as with a body without end.
                limits.renew(resp, MAX_ANSWER_BYTES)
                body = await bodies.read(resp)
        return _check_answer(target, resp, body)


def _headers(target: pool.Target, req: PlainRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in req.headers.items()
        if name.lower() in FORWARDED_HEADERS
    }
    headers[ECHO_HEADER] = target.attempt_id
    if req.idempotency_key:
        headers["Idempotency-Key"] = req.idempotency_key
    return headers


def _check_answer(
    target: pool.Target, resp: aiohttp.ClientResponse, body: bytes
) -> PlainAnswer:
    echoed = resp.headers.get(ECHO_HEADER)
    if echoed is not None and echoed != target.attempt_id:
        raise pool.call_error(target, faults.FaultKind.MISMATCHED, echoed)
    if resp.status == 429:
        raise pool.call_error(target, faults.FaultKind.OVERLOADED, resp.status)
    if resp.status >= 500:
        raise pool.call_error(target, faults.FaultKind.FAILED, resp.status)
    return PlainAnswer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", "application/octet-stream"),
        body=body,
    )
