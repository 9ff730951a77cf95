"""Calls in doubt: never sent again, and settled by querying the service."""

import asyncio

import attrs
import pytest
import pytest_asyncio
from masticpost_bench import deployment, layout, procs
from masticpost_shards import log, state
from masticpost_standins import plainsvc

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("doubts"),
]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def dep():
    async with deployment.Deployment(plan=layout.small()) as started:
        yield started


async def set_faults(dep, **fields):
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, **fields)


async def clear_faults(dep):
    """Clear all faults and wait until no upstream is blocked on any instance."""
    await set_faults(dep, **attrs.asdict(plainsvc.Faults()))

    async def is_unblocked():
        rows = [row for n in dep.daemons for row in (await dep.status(n))["upstreams"]]
        return not any(row["is_blocked"] for row in rows)

    await procs.wait_for(is_unblocked, "upstreams unblocked", 30.0)


async def stored_state(dep):
    """Return the calls and the open and closed bills of all shards, by key."""
    store = dep.store()
    found = state.State()
    for shard in range(dep.plan.shards):
        listed = await store.list({log.SHARD_LABEL: f"{shard:04d}"})
        shard_state = log.replay(listed.unwrap(), shard).state
        found.calls |= shard_state.calls
        found.open_bills |= shard_state.open_bills
        found.closed_bills |= shard_state.closed_bills
    await store.close()
    return found


async def run_count(dep, key):
    return (await dep.booking_runs()).get(key, 0)


async def repeat_until_settled(dep, key):
    """Repeat a booking until it is answered and return the last reply."""
    replies = []

    async def is_settled():
        replies.append(await dep.book(key))
        return replies[-1].status in (200, 201)

    await procs.wait_for(is_settled, f"{key} settled", 30.0)
    return replies[-1]


async def test_call_that_ran_is_answered_after_its_connection_was_cut(dep):
    await set_faults(dep, cut_after=1)
    reply = await dep.book("ran")
    await clear_faults(dep)
    again = await dep.book("ran")
    assert (reply.status, reply.json()["run"]) == (200, 1)
    assert again.body == reply.body
    assert await run_count(dep, "ran") == 1


async def test_call_that_never_ran_is_reported_so_and_can_be_retried():
    """The instance queries the service up to the deadline, so the result is known."""
    plan = layout.small()
    wait = f"--ask-at-once-s={plan.services['crews']['deadline_s']}"
    async with deployment.Deployment(plan=plan, daemon_args=[wait]) as dep:
        await set_faults(dep, cut_before=1)
        reply = await dep.book("never")
        await clear_faults(dep)
        assert (reply.status, reply.code, reply.ran) == (502, "upstream_failed", "no")
        assert reply.headers["Retry-After"]
        assert (await dep.book("never")).status == 201
        assert await run_count(dep, "never") == 1


async def test_call_that_runs_late_is_not_reported_as_never_run(dep):
    await set_faults(dep, cut_late=1, late_s=layout.FINAL_AFTER_S / 2)
    reply = await dep.book("late")
    await clear_faults(dep)
    assert reply.status == 200
    assert await run_count(dep, "late") == 1


async def test_repeats_of_a_call_in_doubt_are_refused_at_once_by_any_instance(dep):
    """The instance that sent the call is running: a repeat must not wait for it."""
    await set_faults(dep, cut_before=1, outage="error")
    reply = await dep.book("doubt", via="entry-0")
    others = await asyncio.gather(*(dep.book("doubt", via=n) for n in dep.daemons))
    await clear_faults(dep)
    for answer in (reply, *others):
        assert (answer.code, answer.ran) == ("in_doubt", "maybe")
        assert answer.headers["Retry-After"]
    deadline_s = dep.plan.services["crews"]["deadline_s"]
    assert max(answer.elapsed_s for answer in others) < deadline_s / 2


async def test_call_still_in_doubt_after_its_request_is_settled_in_the_background(dep):
    await set_faults(dep, cut_after=1, outage="error")
    reply = await dep.book("later")
    await clear_faults(dep)
    assert reply.code == "in_doubt"

    async def is_recorded():
        found = (await stored_state(dep)).calls.values()
        return all(state.is_final(call) for call in found)

    await procs.wait_for(is_recorded, "every call in doubt settled", 60.0)
    assert (await dep.book("later")).status == 200
    assert await run_count(dep, "later") == 1


async def test_call_stays_in_doubt_while_an_upstream_cannot_be_queried(dep):
    """With one of two upstreams out, the other alone cannot prove that it never ran."""
    await set_faults(dep, cut_before=1)
    out = {f"upstreams.{dep.plan.plain_upstreams[0].name}": {"draining": True}}

    async def drain_upstream():
        await dep.wait_generation(await dep.apply(out))

    reply, _ = await asyncio.gather(dep.book("unasked"), drain_upstream())
    await clear_faults(dep)
    if reply.code == "in_doubt":
        assert (await dep.book("unasked")).code in ("in_doubt", "upstream_failed")
    await dep.wait_generation(await dep.apply())
    final = await repeat_until_settled(dep, "unasked")
    assert final.status in (200, 201)
    assert await run_count(dep, "unasked") == 1


async def test_service_gets_different_keys_for_two_customers(dep):
    first = await dep.book("same", customer=0)
    other = await dep.book("same", customer=1)
    assert (first.status, other.status) == (201, 201)
    assert first.json()["key"] != other.json()["key"]
    assert other.json()["run"] == 1


async def test_every_call_that_ran_is_billed_once(dep):
    """Runs last of the tests that share the deployment, and checks all their calls."""

    async def is_all_closed():
        found = await stored_state(dep)
        return not found.open_bills

    await procs.wait_for(is_all_closed, "no open bill", 60.0)
    found = await stored_state(dep)
    for key, call in found.calls.items():
        ran = call.outcome.kind == "done"
        assert (key in found.closed_bills) is ran


async def test_call_of_a_killed_instance_is_settled_by_another():
    async with deployment.Deployment(plan=layout.small()) as dep:
        await set_faults(dep, delay_s=1.0)
        first = asyncio.create_task(dep.book("orphan", via="entry-0"))

        async def is_claimed():
            return bool((await stored_state(dep)).calls)

        await procs.wait_for(is_claimed, "the claim")
        await asyncio.sleep(0.2)
        dep.daemons["entry-0"].proc.kill()
        assert (await first).status == 0
        final = await repeat_until_settled(dep, "orphan")
        assert final.status == 200
        assert await run_count(dep, "orphan") == 1

        async def is_closed():
            """Return whether the bill, committed after the answer, is closed."""
            found = await stored_state(dep)
            return bool(found.closed_bills) and not found.open_bills

        await procs.wait_for(is_closed, "the bill closed", 30.0)
        assert len((await stored_state(dep)).closed_bills) == 1
