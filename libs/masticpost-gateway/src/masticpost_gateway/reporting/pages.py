"""HTTP pages for operators: metrics, status and burn counts of an instance."""

import collections.abc
import typing

import attrs
from aiohttp import web
from masticpost_common import codec, registry

from masticpost_gateway.reporting import requestmetrics, status

JSON = "application/json"


@attrs.frozen(kw_only=True)
class Page:
    """A rendered page."""

    content_type: str
    body: bytes


class Parts(status.Parts, typing.Protocol):
    """The components of an instance that its pages show."""

    metrics: requestmetrics.RequestMetrics


Writer = collections.abc.Callable[[Parts], Page]
PAGES: registry.Registry[Writer] = registry.Registry(kind="page")


@PAGES.register("/metrics")
def metrics(parts: Parts) -> Page:
    """Return every metric in the Prometheus text format."""
    return Page(content_type=requestmetrics.CONTENT_TYPE, body=parts.metrics.render())


@PAGES.register("/status")
def status_page(parts: Parts) -> Page:
    """Return the status of the instance, a JSON `status.Status`."""
    return Page(content_type=JSON, body=codec.to_json(status.of(parts)))


@PAGES.register("/burn")
def burn(parts: Parts) -> Page:
    """Return the counts for the burn report, a JSON list of `burn.SeriesReport`."""
    return Page(content_type=JSON, body=codec.to_json(parts.metrics.burn.report()))


def respond(parts: Parts, path: str) -> web.Response:
    """Return the response to a request for a page; 404 if there is no such page."""
    if path not in PAGES.names():
        available = ", ".join(PAGES.names())
        return web.Response(status=404, text=f"no page {path}; there are {available}\n")
    page = PAGES.get(path)(parts)
    return web.Response(body=page.body, headers={"Content-Type": page.content_type})
