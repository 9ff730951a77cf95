"""HTTP pages for operators: metrics, status and burn counts of an instance."""

import collections.abc
import typing

import attrs
from aiohttp import web
from masticpost_common import codec, registry

from masticpost_gateway.reporting import requestmetrics, routeexplanation, status

JSON = "application/json"


@attrs.frozen(kw_only=True)
class Page:
    """A rendered page."""

    content_type: str
    body: bytes


class Parts(status.Parts, typing.Protocol):
    """The components of an instance that its pages show."""

    metrics: requestmetrics.RequestMetrics


Query = collections.abc.Mapping[str, str]
Writer = collections.abc.Callable[[Parts, Query], Page]
PAGES: registry.Registry[Writer] = registry.Registry(kind="page")


@PAGES.register("/metrics")
def metrics(parts: Parts, _query: Query) -> Page:
    """Return every metric in the Prometheus text format."""
    return Page(content_type=requestmetrics.CONTENT_TYPE, body=parts.metrics.render())


@PAGES.register("/status")
def status_page(parts: Parts, _query: Query) -> Page:
    """Return the status of the instance, a JSON `status.Status`."""
    return Page(content_type=JSON, body=codec.to_json(status.of(parts)))


@PAGES.register("/burn")
def burn(parts: Parts, _query: Query) -> Page:
    """Return the counts for the burn report, a JSON list of `burn.SeriesReport`."""
    return Page(content_type=JSON, body=codec.to_json(parts.metrics.burn.report()))


@PAGES.register("/route")
def route(parts: Parts, query: Query) -> Page:
    """Return where a request would go, a JSON `routeexplanation.RouteExplanation`."""
    return Page(
        content_type=JSON, body=codec.to_json(routeexplanation.of(parts, query))
    )


# Pages that answer a question in the query, and no other method.
QUESTIONS = frozenset(("/route",))


def respond(
    parts: Parts, path: str, *, method: str = "GET", query: Query | None = None
) -> web.Response:
    """Return the response to a request for a page; 404 if there is no such page."""
    if path not in PAGES.names():
        available = ", ".join(PAGES.names())
        return web.Response(status=404, text=f"no page {path}; there are {available}\n")
    if path in QUESTIONS and method != "GET":
        return web.Response(
            status=405, headers={"Allow": "GET"}, text=f"{path} is only for GET\n"
        )
    try:
        page = PAGES.get(path)(parts, query or {})
    except routeexplanation.QueryError as exc:
        return web.Response(status=400, text=f"{exc}\n")
    return web.Response(body=page.body, headers={"Content-Type": page.content_type})
