"""Rates that upstreams name in their answers, over several instances."""

import asyncio

import pytest
from masticpost_common import clock
from support import gatewaykit as kit
from support import rateload

CHAT_BODY = b"p"
INSTANCES = 8
# Time in which an upstream's first answers make its rate known, in seconds.
SETTLE_S = 1.5


async def call(dep, path, via=0, **extra):
    body = CHAT_BODY if path == "/chat/" else None
    method = "POST" if body else "GET"
    return await dep.call(path, method=method, body=body, via=via, **extra)


def scripts(rate):
    """Return the script of an upstream that names a rate, by path."""
    named = {} if rate is None else {"Upstream_Rate": rate}
    return {"/lookup/": kit.answers(**named), "/chat/": kit.streams(3, **named)}


async def add_limited(dep, name, rate, path):
    """Add an upstream that names a rate; return its arrivals."""
    arrivals = rateload.Arrivals(rate=rate)
    script = scripts(str(rate))[path]

    async def counted(req, writer):
        arrivals.times.append(clock.now())
        await script(req, writer)

    await dep.add_worker(name, counted)
    return arrivals


async def add_nodes(dep, count=INSTANCES):
    """Add instances that know each other."""
    first = await dep.add_node("i0")
    for number in range(1, count):
        await dep.add_node(f"i{number}", seeds=(first.cfg.mesh.address,))
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
async def test_rate_that_an_upstream_names_is_on_the_pages(path):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", scripts("2.5")[path])
        await dep.configure()
        instance = await dep.add_node()
        assert (await call(dep, path)).status == 200
        rows = instance.shared.rates.statuses()
        assert [(r.upstream, r.rate, r.told_by) for r in rows] == [("w1", 2.5, "one")]
        rendered = instance.metrics.render().decode()
        assert 'masticpost_gateway_upstream_rate{upstream="w1"} 2.5' in rendered


@pytest.mark.parametrize("text", ["nan", "-1", "1e400", "many", "0", "\xb2"])
async def test_what_is_no_rate_is_never_an_error_to_the_caller(text):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", scripts(text)["/lookup/"])
        await dep.configure()
        instance = await dep.add_node()
        assert (await call(dep, "/lookup/")).status == 200
        assert not instance.shared.rates.statuses()


# Guards against upstreams that got 19 requests in 4 s, and more, from eight instances
# after they had named a rate of 2.3 a second (issue 30, LIMIT).
@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
async def test_upstreams_get_no_more_than_the_rates_they_name_from_all_instances(path):
    async with kit.Deployment() as dep:
        limited = [
            await add_limited(dep, f"w{rate}", rate, path) for rate in (0.5, 1, 2.3, 30)
        ]
        await dep.add_worker("sound", scripts(None)[path])
        await dep.configure()
        await add_nodes(dep)
        started = clock.now()
        replies = await rateload.send_steadily(
            lambda number, via: call(dep, path, via),
            per_s=80,
            for_s=SETTLE_S + 1.5 * rateload.WINDOW_S,
            instances=INSTANCES,
        )
        assert {reply.status for reply in replies} == {200}
        most = {row.rate: row.most(started + SETTLE_S) for row in limited}
        allowed = {row.rate: row.allowed for row in limited}
        assert all(most[rate] <= allowed[rate] for rate in most), (most, allowed)


# Guards against requests turned away although upstreams named a rate that was not used.
@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
async def test_named_rates_are_used_and_the_rest_is_rejected_at_once(path):
    async with kit.Deployment() as dep:
        limited = [
            await add_limited(dep, f"w{rate}-{copy}", rate, path)
            for rate in (1, 4, 20)
            for copy in range(2)
        ]
        await dep.configure()
        await add_nodes(dep)
        started = clock.now()
        for_s = SETTLE_S + 2 * rateload.WINDOW_S
        replies = await rateload.send_steadily(
            lambda number, via: call(dep, path, via),
            per_s=75,
            for_s=for_s,
            instances=INSTANCES,
        )
        assert {reply.status for reply in replies} == {200, 503}
        refused = [reply for reply in replies if reply.status == 503]
        assert all(float(reply.headers["Retry-After"]) > 0 for reply in refused)
        since = started + SETTLE_S
        used = {
            row.rate: row.used(since, since + 2 * rateload.WINDOW_S) for row in limited
        }
        assert all(row.most(since) <= row.allowed for row in limited)
        owed = rateload.owed_share(limited, len(replies), for_s)
        assert all(share >= owed for share in used.values()), used


async def test_more_urgent_requests_get_what_is_left_of_the_rates():
    routes = (
        kit.route(name="urgent", path_prefix="/urgent/", priority=0),
        kit.route(name="later", path_prefix="/later/", priority=5),
    )
    paths = ("/urgent/", "/later/", "/later/")
    async with kit.Deployment() as dep:
        await add_limited(dep, "w1", 10, "/lookup/")
        await dep.configure(kit.configuration(routes=routes))
        await add_nodes(dep, 4)
        replies = await rateload.send_steadily(
            lambda number, via: call(dep, paths[number % 3], via),
            per_s=16,
            for_s=6.0,
            instances=4,
        )
        urgent = [reply.status == 200 for reply in replies[::3]]
        later = [reply.status == 200 for reply in replies[1::3]]
        assert sum(urgent) >= 0.9 * len(urgent)
        assert sum(later) <= 0.6 * len(later)


async def test_instance_that_was_not_told_hears_of_the_rate_from_another():
    async with kit.Deployment() as dep:
        await add_limited(dep, "w1", 3, "/lookup/")
        await dep.configure()
        await add_nodes(dep, 3)
        assert (await call(dep, "/lookup/", 0)).status == 200
        await kit.until(lambda: all(n.shared.rates.statuses() for n in dep.nodes))
        late = await dep.add_node("late", seeds=(dep.nodes[0].cfg.mesh.address,))
        await kit.until(late.shared.rates.statuses)
        rows = late.shared.rates.statuses()
        assert [(r.upstream, r.rate, r.told_by) for r in rows] == [("w1", 3, "i0")]


async def test_end_of_the_rate_is_heard_by_all_and_lifts_the_limit():
    is_limited = True

    async def script(req, writer):
        named = {"Upstream_Rate": "5"} if is_limited else {}
        await kit.answers(**named)(req, writer)

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", script)
        await dep.configure()
        await add_nodes(dep, 3)
        await call(dep, "/lookup/")
        await kit.until(lambda: all(n.shared.rates.statuses() for n in dep.nodes))
        is_limited = False
        await asyncio.sleep(0.5)
        await call(dep, "/lookup/")
        await kit.until(lambda: not any(n.shared.rates.statuses() for n in dep.nodes))
        replies = [await call(dep, "/lookup/", via % 3) for via in range(60)]
        assert {reply.status for reply in replies} == {200}


async def test_limited_upstream_is_neither_ejected_nor_cold():
    async with kit.Deployment() as dep:
        await add_limited(dep, "w1", 2, "/lookup/")
        await dep.configure()
        await add_nodes(dep, 2)
        await rateload.send_steadily(
            lambda number, via: call(dep, "/lookup/", via),
            per_s=40,
            for_s=2.0,
            instances=2,
        )
        now = clock.now()
        upstream = dep.nodes[0].records.upstreams(now)[0]
        for instance in dep.nodes:
            chooser = instance.shared.chooser
            assert not chooser.health_of(upstream).is_ejected(now)
            assert not chooser.is_cold(upstream, now)
