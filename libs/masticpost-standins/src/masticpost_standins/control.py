"""Base of the stand-ins, with a control port to set faults and read counts."""

import asyncio
import collections.abc
import ssl
import typing

import attrs
import msgspec
from aiohttp import web

Action = collections.abc.Callable[[bytes], collections.abc.Awaitable[object]]

# Time for handlers of a stand-in that stops.
SHUTDOWN_TIMEOUT_S = 0.1


class StandIn:
    """Base class of the stand-ins, with a service port and a control port.

    Parameters
    ----------
    cfg : attrs class
        Behaviour of the stand-in; fixed.
    faults : attrs class
        Injected faults; set through the control port.
    counts : attrs class
        Counters of events; read through the control port.
    """

    def __init__(
        self, *, cfg: typing.Any, faults: typing.Any, counts: typing.Any
    ) -> None:
        self.cfg = cfg
        self.faults = faults
        self.counts = counts
        self.actions: dict[str, Action] = {}
        self.tls: ssl.SSLContext | None = None
        self._runners: list[web.AppRunner] = []

    def make_app(self) -> web.Application:
        """Return the application of the service port."""
        raise NotImplementedError

    async def start(self, host: str, port: int, control_port: int) -> None:
        """Listen on both ports."""
        await self._listen(self.make_app(), host, port, self.tls)
        await self._listen(self._control_app(), host, control_port, None)

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(
        self,
        app: web.Application,
        host: str,
        port: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        site = web.TCPSite(runner, host, port, backlog=1024, ssl_context=tls)
        await site.start()
        self._runners.append(runner)

    def _control_app(self) -> web.Application:
        app = web.Application(client_max_size=8_000_000)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/faults", self._get_faults)
        app.router.add_get("/counts", self._get_counts)
        app.router.add_post("/act/{name}", self._run_action)
        return app

    async def _set_faults(self, req: web.Request) -> web.Response:
        kind = type(self.faults)
        changed = msgspec.json.decode(await req.read(), type=dict[str, msgspec.Raw])
        fields = attrs.fields_dict(kind)
        for name, raw in changed.items():
            setattr(self.faults, name, msgspec.json.decode(raw, type=fields[name].type))
        return _json(self.faults)

    async def _get_faults(self, req: web.Request) -> web.Response:
        return _json(self.faults)

    async def _get_counts(self, req: web.Request) -> web.Response:
        return _json(self.counts)

    async def _run_action(self, req: web.Request) -> web.Response:
        action = self.actions[req.match_info["name"]]
        return _json(await action(await req.read()))


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def abort(req: web.Request) -> typing.NoReturn:
    """Cut the connection without a response."""
    if req.transport is not None:
        req.transport.abort()
    raise ConnectionResetError


async def hang() -> typing.NoReturn:
    """Wait forever, so that the call gets no response."""
    await asyncio.Event().wait()
    raise AssertionError
