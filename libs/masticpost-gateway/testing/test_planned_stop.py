"""A planned stop: every request that was taken gets an answer within the grace."""

import asyncio

import pytest
from masticpost_common import clock
from support import gatewaykit as kit

GRACE_S = 4.0
PATHS = ("/lookup/", "/book/", "/chat/")
LONG = {"timeout_s": 60.0, "objective_s": 20.0}


async def hang(req, writer):
    await asyncio.sleep(60)


def call(dep, path, **extra):
    body = None if path == "/lookup/" else b"p"
    method = "GET" if body is None else "POST"
    return dep.call(path, method=method, body=body, **extra)


def configuration():
    kinds = (kit.LOOKUP, kit.BOOK, kit.CHAT)
    return kit.configuration(
        routes=tuple(
            kit.route(name=row.name, path_prefix=row.path_prefix, kind=row.kind, **LONG)
            for row in kinds
        )
    )


async def stop(instance):
    """Stop an instance as after SIGTERM; return how long that took."""
    began = clock.now()
    await instance.drain()
    await instance.stop()
    return clock.now() - began


# Guards against requests cut without an answer when the grace ends: the wait for
# handlers at the end had no limit, since 0 means none, so that the process was killed.
@pytest.mark.parametrize("path", PATHS)
async def test_request_that_is_at_work_at_the_end_of_the_grace_is_answered(path):
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", hang)
        await dep.configure(configuration())
        instance = await dep.add_node(grace_s=GRACE_S)
        waiting = asyncio.create_task(call(dep, path, Request_Deadline_Ms="60000"))
        await kit.until(lambda: worker.requests)
        took_s = await stop(instance)
        dep.nodes.clear()
        reply = await waiting
        assert took_s < GRACE_S
        assert reply.status == 502
        assert reply.is_complete


async def test_stream_that_has_begun_is_cut_at_the_end_of_the_grace():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(100, pause_s=0.1))
        await dep.configure(configuration())
        instance = await dep.add_node(grace_s=GRACE_S)
        waiting = asyncio.create_task(call(dep, "/chat/", Request_Deadline_Ms="60000"))
        await asyncio.sleep(0.5)
        assert await stop(instance) < GRACE_S
        dep.nodes.clear()
        reply = await waiting
        assert reply.status == 200
        assert not reply.is_complete


@pytest.mark.parametrize("path", PATHS)
async def test_request_that_is_not_sent_by_the_end_of_the_grace_is_not_run(path):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.not_run(503, Retry_After="0.5"))
        await dep.configure(configuration())
        instance = await dep.add_node(grace_s=GRACE_S)
        waiting = asyncio.create_task(call(dep, path, Request_Deadline_Ms="60000"))
        await asyncio.sleep(0.3)
        assert await stop(instance) < GRACE_S
        dep.nodes.clear()
        assert (await waiting).status in (502, 503)


# Guards against a request that is passed on late in the grace: its head came in time,
# but its body did not.
@pytest.mark.parametrize("path", ["/book/", "/chat/"])
async def test_request_whose_body_comes_late_in_the_grace_is_refused_as_not_run(path):
    async def late_body():
        yield b"first"
        await asyncio.sleep(3.1)
        yield b"last"

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.configure(configuration())
        instance = await dep.add_node(grace_s=2 * GRACE_S)
        waiting = asyncio.create_task(
            dep.call(path, method="POST", body=late_body(), Request_Deadline_Ms="60000")
        )
        await asyncio.sleep(0.1)
        await stop(instance)
        dep.nodes.clear()
        reply = await waiting
        assert reply.status == 503
        assert reply.headers["Retry-After"]
        assert not worker.requests
