"""The page that tells where a request would go now, without sending or counting it."""

import aiohttp
import attrs
from masticpost_bench import procs
from masticpost_common import clock, codec
from masticpost_gateway import node
from masticpost_gateway.reporting import routeexplanation
from masticpost_gateway.routing import choice
from masticpost_gateway.state import model, source
from masticpost_rates import upstreamrates
from support import gatewaykit as kit

PROMPT = {"parts": "shared:900,own:100", "tokens_in": "1000", "tokens_out": "200"}
URGENT = attrs.evolve(kit.CHAT, name="urgent", path_prefix="/urgent/", priority=0)
REJECT = routeexplanation.Verdict.REJECT
WAIT = routeexplanation.Verdict.WAIT
ROLLED_BACK = model.RollOutState.ROLLED_BACK
COLD_SERVICE = model.Service(name="desk", cold_rate=1.0)


async def ask(instance, path, *, method="GET", **query):
    url = f"http://127.0.0.1:{instance.cfg.metrics.port}/route"
    params = {"host": kit.HOST, "path": path, **query}
    async with (
        aiohttp.ClientSession() as http,
        http.request(method, url, params=params) as resp,
    ):
        return resp.status, await resp.text()


async def explain(instance, path, **query):
    code, text = await ask(instance, path, **query)
    assert code == 200, text
    return codec.from_json(text, routeexplanation.RouteExplanation)


async def add_node(dep, **changes):
    port = procs.free_ports(1)[0]
    return await dep.add_node(
        metrics=node.Address(host="127.0.0.1", port=port), **changes
    )


def state_of(instance):
    """Return what decisions depend on at one instance."""
    shared = instance.shared
    rows = {
        "healths": shared.chooser.healths._rows,
        "notices": shared.chooser.notices._rows,
        "cold": shared.chooser.cold_start._last_sent,
        "retries": shared.retries._counts,
        "speeds": shared.placement.speeds._rows,
        "paces": shared.forecasts.paces._rows,
        "shares": shared.contention._shares,
        "drains": shared.contention._drains,
        "active": instance.loads._active,
        "full": instance.loads._full_until,
        "caches": instance.loads._prompt_caches,
        "sent": instance.loads._last_sent,
        "sessions": shared.sessions._last,
        "rate holds": shared.rates._holds,
        "rate counts": shared.rates._counts,
        "random": shared.placement.rng.getstate(),
    }
    found = {name: repr(row) for name, row in rows.items()}
    found["pools"] = len(shared.pools._pools)
    found["held"] = instance.watching.held_requests
    return found


def counters(instance):
    """Return the counters; the page of the metrics itself adds rows of healths."""
    text = instance.shared.metrics.render().decode().splitlines()
    return [line for line in text if "_total{" in line or "_count{" in line]


async def test_question_changes_no_state_and_sends_nothing():
    """Guards against a question that counts, as a health row or a customer's work."""
    async with kit.Deployment() as dep:
        workers = [
            await dep.add_worker("w1", kit.streams(3)),
            await dep.add_worker("w2", kit.streams(3), record={"cold_left_s": 60.0}),
        ]
        routes = (kit.BOOK, kit.LOOKUP, kit.CHAT, URGENT)
        await dep.configure(kit.configuration(routes=routes, services=(COLD_SERVICE,)))
        instance = await add_node(dep, is_contended=True)
        asked = [("/chat/", PROMPT), ("/urgent/", {**PROMPT, "customer": "acme"})]
        # The second one is hopeless, which a request would record.
        asked += [("/chat/", {**PROMPT, "deadline_ms": "1"}), ("/book/", {})]
        for path in ("/chat/", "/urgent/"):
            await dep.call(path, Token_Counts="1000,200")
        await kit.until(lambda: not instance.gateway.active_conns)

        def snapshot():
            received = [(row.connections, len(row.requests)) for row in workers]
            return counters(instance), state_of(instance), received

        before = snapshot()
        for path, query in asked:
            for level in ("", "large") if query else ("",):
                await explain(instance, path, **query, model=level)
        assert snapshot() == before


async def test_fresh_instance_gets_no_rows_from_a_question():
    """Guards against rows for upstreams and models that no request has used."""
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(3))
        await dep.configure()
        instance = await add_node(dep, is_contended=True)
        before = state_of(instance)
        assert (await explain(instance, "/chat/", **PROMPT)).chosen == "w1"
        assert state_of(instance) == before
        assert not instance.shared.placement.speeds._rows


async def test_request_goes_where_the_page_said():
    """Guards against a page that shows another choice than requests get."""
    async with kit.Deployment() as dep:
        workers = {
            name: await dep.add_worker(name, kit.streams(3)) for name in ("w1", "w2")
        }
        await dep.configure()
        instance = await add_node(dep)
        found = await explain(instance, "/chat/", **PROMPT)
        await dep.call(
            "/chat/", Token_Counts="1000,200", Prompt_Prefix="shared:900,own:100"
        )
        first = found.candidates[0]
        assert (first.name, first.is_chosen) == (found.chosen, True)
        assert len(workers[found.chosen].requests) == 1
        assert (found.route, found.service, found.model) == ("chat", "desk", "small")
        assert first.total_s > first.first_s > 0
        assert first.score <= found.candidates[1].score


async def test_obstacles_agree_with_the_choice():
    """Guards against an upstream that is shown as ready and gets no requests."""
    async with kit.Deployment() as dep:
        records = {
            "w1": {},
            "draining": {"is_draining": True},
            "out": {"domain": "out"},
            "cold": {"cold_left_s": 60.0},
            "ejected": {},
            "leaving": {},
            "old": {"version": "v0"},
        }
        for name, record in records.items():
            await dep.add_worker(name, kit.answers(), record=record)
        await dep.configure(kit.configuration(services=(COLD_SERVICE,)))
        await dep.store.put(
            source.Kind.DOMAINS_OUT, "out", model.DomainOut(domain="out")
        )
        order = model.RollOut(
            service="desk", target="v0", duration_s=60.0, state=ROLLED_BACK
        )
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", order)
        instance = await add_node(dep)
        chooser, now = instance.shared.chooser, clock.now()
        upstreams = {row.name: row for row in instance.records.upstreams(now)}
        chooser.health_of(upstreams["ejected"]).ejected_until = now + 60.0
        leaving = instance.shared.chooser.notices
        leaving._hold_off(upstreams["leaving"], float("inf"), "req-0", now)
        chooser.cold_start.record_request("cold", now + 60.0)
        found = await explain(instance, "/lookup/")
        obstacles = {row.name: row.obstacles for row in found.candidates}
        assert obstacles == {
            "w1": [],
            "draining": ["draining"],
            "out": ["domain out"],
            "cold": ["cold"],
            "ejected": ["ejected"],
            "leaving": ["leaving"],
            "old": ["version excluded"],
        }
        required = choice.Requirements(service=COLD_SERVICE, plan=found.plan)
        ready = chooser.ready_upstreams(required, clock.now())
        assert [row.name for row in ready] == ["w1"] == [found.chosen]
        ejected = next(row for row in found.candidates if row.name == "ejected")
        assert 0 < ejected.ejected_s <= 60.0


async def test_hopeless_request_would_be_rejected():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(3))
        routes = (kit.CHAT, URGENT)
        await dep.configure(kit.configuration(routes=routes))
        instance = await add_node(dep, is_contended=True)
        found = await explain(instance, "/chat/", **PROMPT)
        assert found.verdict is routeexplanation.Verdict.SEND
        assert found.urgency >= 5
        assert found.retries.own > 1
        urgent = await explain(instance, "/urgent/", **PROMPT)
        assert urgent.urgency < found.urgency
        found = await explain(instance, "/chat/", **PROMPT, deadline_ms="50")
        assert (found.verdict, found.chosen) == (REJECT, "")
        assert "before its deadline" in found.reason
        assert found.retry_after_s is not None


async def test_unknown_route_customer_model_and_missing_upstreams_are_told():
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        for path, query, reason in [
            ("/nowhere/", {}, "no route matches host and path"),
            ("/chat/", {"customer": "nobody"}, "no customer nobody"),
            ("/chat/", {"model": "huge"}, "the route has no model huge"),
            ("/chat/", {}, "no upstream is in service"),
        ]:
            found = await explain(instance, path, **query)
            assert (found.verdict, found.reason) == (REJECT, reason)
        instance.records.table = None
        found = await explain(instance, "/chat/")
        assert (found.verdict, found.reason) == (REJECT, "no configuration loaded yet")


async def test_request_waits_while_no_upstream_is_ready():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(), record={"cold_left_s": 60.0})
        await dep.configure(kit.configuration(services=(COLD_SERVICE,)))
        instance = await add_node(dep)
        instance.shared.chooser.cold_start.record_request("w1", clock.now() + 60.0)
        found = await explain(instance, "/lookup/")
        assert found.verdict is WAIT
        assert (found.reason, found.wait_s) == ("no upstream is ready", 0.25)


async def test_permit_of_a_named_rate_is_told_and_not_taken():
    """Guards against questions that use up what an upstream takes."""
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(Upstream_Rate="5"))
        await dep.configure()
        instance = await add_node(dep)
        rates = instance.shared.rates
        for _ in range(2):
            await dep.call("/lookup/")
        assert rates.permits._granters

        def granted():
            rows = [(row.granted, row.held) for row in rates.statuses()]
            return repr((rows, [vars(row) for row in rates.permits._granters.values()]))

        before = granted()
        for _ in range(20):
            found = await explain(instance, "/lookup/")
        assert granted() == before
        assert found.candidates[0].is_rate_limited
        assert found.notes == ["a permit would be needed, as the upstream names a rate"]
        for held_s, verdict in [(0.9, WAIT), (60.0, REJECT)]:
            run, at = next(iter(rates.statements.limited)), clock.now() + held_s
            rates._holds[run] = upstreamrates.Hold(
                until=at, turn_at=at, return_at=at, priority=0
            )
            found = await explain(instance, "/chat/")
            assert found.verdict is verdict
            assert found.candidates[0].obstacles == ["at its rate"]
            assert "at the rates that they name" in found.reason


async def test_upstream_without_memory_for_a_prompt_is_told():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(3))
        service = model.Service(name="desk", cache_tokens=1100)
        await dep.configure(kit.configuration(services=(service,)))
        instance = await add_node(dep)
        (row,) = (await explain(instance, "/chat/", **PROMPT)).candidates
        assert (row.has_slot, row.has_memory) == (True, False)


async def test_page_rejects_other_methods_and_bad_queries():
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        parts = ",".join(f"p{number}:1" for number in range(65))
        assert (await ask(instance, "/chat/", method="POST"))[0] == 405
        for query in ({"tokens_in": "-1"}, {"priority": "high"}, {"parts": parts}):
            assert (await ask(instance, "/chat/", **query))[0] == 400
        assert (await ask(instance, ""))[0] == 400
