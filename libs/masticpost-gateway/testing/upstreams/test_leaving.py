"""Leave announcements and Retry-After hold-offs in responses of upstreams."""

import asyncio
import math

import attrs
import multidict
import pytest
from masticpost_gateway.serving import headers
from masticpost_gateway.state import model, source
from masticpost_gateway.upstreams import leaving
from support import gatewaykit as kit

UPSTREAM = model.Upstream(
    name="w1",
    service="desk",
    address="127.0.0.1:1",
    domain="a",
    version="v1",
    slots=4,
    born_ms=7,
)
RESTARTED = attrs.evolve(UPSTREAM, born_ms=8)


def _fields(name, text):
    return multidict.CIMultiDictProxy(multidict.CIMultiDict({name: text}))


def answer_head(**changes):
    fields = {
        "request_id": "r",
        "is_signed": True,
        "is_not_run": False,
        "confidence": None,
    }
    return headers.AnswerHead(**{**fields, **changes})


def notices_after(status, head, at=100.0):
    notices = leaving.Notices()
    notices.record_response(UPSTREAM, status, head, "r", at)
    return notices


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_leaving_upstream_is_not_ready_until_it_restarts(status):
    notices = notices_after(status, answer_head(is_leaving=True))
    assert notices.ready_at(UPSTREAM, 200.0) == math.inf
    assert notices.ready_at(RESTARTED, 200.0) <= 200.0


def test_notice_in_a_misdirected_response_is_ignored():
    notices = notices_after(421, answer_head(is_leaving=True, retry_after_s=9.0))
    assert notices.ready_at(UPSTREAM, 100.0) <= 100.0


@pytest.mark.parametrize(
    ("status", "retry_after_s", "until"),
    [
        (503, 2.5, 102.5),
        (503, 0.0, 100.0),
        (503, None, 100.0),
        (503, 1e9, 100.0 + leaving.MAX_HOLD_OFF_S),
        (429, 2.5, 100.0),
        (500, 2.5, 100.0),
    ],
)
def test_hold_off_lasts_as_long_as_retry_after_says(status, retry_after_s, until):
    notices = notices_after(status, answer_head(retry_after_s=retry_after_s))
    assert max(100.0, notices.ready_at(UPSTREAM, 100.0)) == until


def test_a_shorter_hold_off_does_not_end_a_longer_one():
    notices = notices_after(503, answer_head(retry_after_s=5.0))
    notices.record_response(UPSTREAM, 503, answer_head(retry_after_s=0.5), "r", 101.0)
    assert notices.ready_at(UPSTREAM, 101.0) == 105.0


def test_hold_off_ends_with_the_run_of_the_upstream():
    notices = notices_after(503, answer_head(retry_after_s=5.0))
    assert notices.ready_at(RESTARTED, 100.0) <= 100.0


def test_old_notices_are_removed():
    notices = notices_after(200, answer_head(is_leaving=True))
    other = attrs.evolve(UPSTREAM, name="w2")
    notices.record_response(
        other, 200, answer_head(is_leaving=True), "r", 101 + leaving.RETENTION_S
    )
    assert len(notices) == 1


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("-1", None),
        ("soon", None),
        ("", None),
        ("nan", None),
        ("inf", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_retry_after_is_parsed_as_seconds(text, seconds):
    head = headers.read_answer(_fields("Retry-After", text), headers.HeaderNames())
    assert head.retry_after_s == seconds


@pytest.mark.parametrize(
    ("text", "is_leaving"), [("1", True), ("0", False), ("", False)]
)
def test_leave_announcement_is_parsed(text, is_leaving):
    head = headers.read_answer(_fields("Upstream-Leaving", text), headers.HeaderNames())
    assert head.is_leaving is is_leaving


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
async def test_leaving_upstream_gets_no_more_requests_from_this_instance(path):
    header = {"Upstream_Leaving": "1"}
    scripts = {"/lookup/": kit.answers(**header), "/chat/": kit.streams(2, **header)}
    async with kit.Deployment() as dep:
        upstream = await dep.add_worker("w1", scripts[path])
        await dep.configure()
        await dep.add_node()
        first = await dep.call(path, method="POST", body=b"p")
        assert first.status == 200
        await dep.add_worker(
            "w2", kit.streams(2) if path == "/chat/" else kit.answers()
        )
        await kit.until(lambda: len(dep.nodes[0].records.upstreams(0.0)) == 2)
        for _ in range(8):
            assert (await dep.call(path, method="POST", body=b"p")).status == 200
        assert len(upstream.requests) == 1


async def test_leaving_upstream_stays_excluded_when_its_entry_is_removed_and_restored():
    async with kit.Deployment() as dep:
        upstream = await dep.add_worker("w1", kit.answers(Upstream_Leaving="1"))
        await dep.configure()
        instance = await dep.add_node()
        await dep.call("/lookup/")
        await dep.store.put(source.Kind.UPSTREAMS, "w1", None)
        await kit.until(lambda: not instance.records.upstreams(0.0))
        await dep.store.put(source.Kind.UPSTREAMS, "w1", upstream.record())
        await kit.until(lambda: instance.records.upstreams(0.0))
        assert (await dep.call("/lookup/")).status == 503
        assert len(upstream.requests) == 1


async def test_caller_gets_the_retry_after_of_an_upstream_in_hold_off():
    async with kit.Deployment() as dep:
        full = await dep.add_worker("w1", kit.not_run(503, Retry_After="1.7"))
        await dep.configure()
        await dep.add_node()
        await dep.call("/lookup/")
        replies = [await dep.call("/lookup/") for _ in range(5)]
        assert {reply.status for reply in replies} == {503}
        assert len(full.requests) == 1
        waits_s = [float(reply.headers["Retry-After"]) for reply in replies]
        assert all(1.0 < wait_s <= 1.7 for wait_s in waits_s)
        assert waits_s == sorted(waits_s, reverse=True)


async def test_request_waits_for_a_hold_off_that_ends_in_time():
    refused = []

    async def script(req, writer):
        if refused:
            await kit.answers()(req, writer)
            return
        refused.append(req)
        await kit.not_run(503, Retry_After="0.1")(req, writer)

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        await dep.call("/lookup/")
        assert (await dep.call("/lookup/")).status == 200


async def test_cut_stream_is_not_resumed_at_an_upstream_that_leaves():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(6, cut_after=2, Upstream_Leaving="1"))
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p")
        assert not reply.is_complete
        assert len(dep.workers[0].requests) == 1


async def test_queued_request_is_not_sent_to_an_upstream_that_is_leaving():
    release = asyncio.Event()

    async def script(req, writer):
        await release.wait()
        writer.write(kit.response(req, Upstream_Leaving="1"))

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        service = model.Service(name="desk", max_connections=2)
        await dep.configure(kit.configuration(services=(service,)))
        await dep.add_node()
        calls = [asyncio.create_task(dep.call("/lookup/")) for _ in range(4)]
        await kit.until(lambda: len(worker.requests) == 2)
        release.set()
        replies = await asyncio.gather(*calls)
        assert sorted(reply.status for reply in replies) == [200, 200, 503, 503]
        assert len(worker.requests) == 2
