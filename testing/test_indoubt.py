"""Calls in doubt: never sent again, and settled by asking the service."""

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


async def strike(dep, **fields):
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, **fields)


async def heal(dep):
    """End every fault and wait until no instance keeps work away any more."""
    await strike(dep, **attrs.asdict(plainsvc.Faults()))

    async def is_open():
        rows = [row for n in dep.daemons for row in (await dep.status(n))["upstreams"]]
        return not any(row["is_blocked"] for row in rows)

    await procs.wait_for(is_open, "upstreams open again", 30.0)


async def calls(dep):
    """Return every call of every shard, by key, and all open and closed bills."""
    store = dep.store()
    found = state.State()
    for shard in range(dep.plan.shards):
        listed = await store.list({log.SHARD_LABEL: f"{shard:04d}"})
        part = log.replay(listed.unwrap(), shard).state
        found.calls |= part.calls
        found.open_bills |= part.open_bills
        found.closed_bills |= part.closed_bills
    await store.close()
    return found


async def runs_of(dep, key):
    return (await dep.booking_runs()).get(key, 0)


async def repeated(dep, key):
    """Repeat a call until it is not in doubt any more."""
    replies = []

    async def is_settled():
        replies.append(await dep.book(key))
        return replies[-1].status in (200, 201)

    await procs.wait_for(is_settled, f"{key} settled", 30.0)
    return replies[-1]


async def test_call_that_ran_is_answered_though_its_connection_was_cut(dep):
    await strike(dep, cut_after=1)
    reply = await dep.book("ran")
    await heal(dep)
    again = await dep.book("ran")
    assert (reply.status, reply.json()["run"]) == (200, 1)
    assert again.body == reply.body
    assert await runs_of(dep, "ran") == 1


async def test_call_that_never_ran_is_said_so_and_may_run_again():
    """The caller waits as long as its deadline, so that the answer must be known."""
    plan = layout.small()
    wait = f"--ask-at-once-s={plan.services['crews']['deadline_s']}"
    async with deployment.Deployment(plan=plan, daemon_args=[wait]) as dep:
        await strike(dep, cut_before=1)
        reply = await dep.book("never")
        await heal(dep)
        assert (reply.status, reply.code, reply.ran) == (502, "upstream_failed", "no")
        assert reply.headers["Retry-After"]
        assert (await dep.book("never")).status == 201
        assert await runs_of(dep, "never") == 1


async def test_call_that_runs_late_is_not_taken_for_one_that_never_runs(dep):
    await strike(dep, cut_late=1, late_s=layout.FINAL_AFTER_S / 2)
    reply = await dep.book("late")
    await heal(dep)
    assert reply.status == 200
    assert await runs_of(dep, "late") == 1


async def test_doubt_is_told_at_once_to_repeats_through_any_instance(dep):
    """The instance that sent the call lives: a repeat must not wait for it."""
    await strike(dep, cut_before=1, outage="error")
    reply = await dep.book("doubt", via="entry-0")
    others = await asyncio.gather(*(dep.book("doubt", via=n) for n in dep.daemons))
    await heal(dep)
    for answer in (reply, *others):
        assert (answer.code, answer.ran) == ("in_doubt", "maybe")
        assert answer.headers["Retry-After"]
    deadline_s = dep.plan.services["crews"]["deadline_s"]
    assert max(answer.elapsed_s for answer in others) < deadline_s / 2


async def test_doubt_that_outlasts_the_request_is_settled_in_the_background(dep):
    await strike(dep, cut_after=1, outage="error")
    reply = await dep.book("later")
    await heal(dep)
    assert reply.code == "in_doubt"

    async def is_recorded():
        found = (await calls(dep)).calls.values()
        return all(state.is_final(call) for call in found)

    await procs.wait_for(is_recorded, "every doubt settled", 60.0)
    assert (await dep.book("later")).status == 200
    assert await runs_of(dep, "later") == 1


async def test_upstream_that_cannot_be_asked_leaves_the_call_in_doubt(dep):
    """One of two upstreams is out: that the other has not seen it proves nothing."""
    await strike(dep, cut_before=1)
    out = {f"upstreams.{dep.plan.plain_upstreams[0].name}": {"draining": True}}

    async def take_out():
        await dep.wait_generation(await dep.apply(out))

    reply, _ = await asyncio.gather(dep.book("unasked"), take_out())
    await heal(dep)
    if reply.code == "in_doubt":
        assert (await dep.book("unasked")).code in ("in_doubt", "upstream_failed")
    await dep.wait_generation(await dep.apply())
    final = await repeated(dep, "unasked")
    assert final.status in (200, 201)
    assert await runs_of(dep, "unasked") == 1


async def test_keys_of_two_customers_are_apart_at_the_service(dep):
    mine = await dep.book("same", customer=0)
    other = await dep.book("same", customer=1)
    assert (mine.status, other.status) == (201, 201)
    assert mine.json()["key"] != other.json()["key"]
    assert other.json()["run"] == 1


async def test_every_call_that_ran_is_billed_once(dep):
    """Runs last in this module, over all calls of the tests before."""

    async def is_all_closed():
        found = await calls(dep)
        return not found.open_bills

    await procs.wait_for(is_all_closed, "no open bill", 60.0)
    found = await calls(dep)
    for key, call in found.calls.items():
        ran = call.outcome.kind == "done"
        assert (key in found.closed_bills) is ran


async def test_call_of_an_ended_instance_is_settled_by_another():
    async with deployment.Deployment(plan=layout.small()) as dep:
        await strike(dep, delay_s=1.0)
        first = asyncio.create_task(dep.book("orphan", via="entry-0"))

        async def is_claimed():
            return bool((await calls(dep)).calls)

        await procs.wait_for(is_claimed, "the claim")
        await asyncio.sleep(0.2)
        dep.daemons["entry-0"].proc.kill()
        assert (await first).status == 0
        final = await repeated(dep, "orphan")
        assert final.status == 200
        assert await runs_of(dep, "orphan") == 1

        async def is_closed():
            """The bill is committed behind the answer."""
            found = await calls(dep)
            return bool(found.closed_bills) and not found.open_bills

        await procs.wait_for(is_closed, "the bill closed", 30.0)
        assert len((await calls(dep)).closed_bills) == 1
