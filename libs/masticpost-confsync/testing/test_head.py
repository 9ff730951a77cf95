"""Tests of the stored text: an edit applies only to the generation it was made from."""

import asyncio

import hypothesis
from hypothesis import strategies
from masticpost_confsync import head
from support import fakestore


async def apply(store, raw, seen):
    return await head.apply(
        store, raw=raw, seen_generation=seen, author="a", note="", at=0
    )


async def test_generations_increase_and_history_is_complete():
    store = fakestore.FakeClient(fakestore.Server())
    for number in range(4):
        assert (await apply(store, f"text {number}", number)).is_ok()
    rows = (await head.history(store)).unwrap()
    assert [(row.generation, row.raw) for row in rows] == [
        (number + 1, f"text {number}") for number in range(4)
    ]


async def test_conflicting_edit_is_refused_with_the_stored_text():
    store = fakestore.FakeClient(fakestore.Server())
    await apply(store, "one", 0)
    await apply(store, "two", 1)
    fault = (await apply(store, "mine", 1)).unwrap_err()
    assert isinstance(fault, head.Conflict)
    assert fault.current.raw == "two"


async def test_write_with_a_lost_response_is_confirmed_by_reading_back():
    server = fakestore.Server(fakestore.FaultPlan(lost=1.0))
    store = fakestore.FakeClient(server)
    outcome = await apply(store, "one", 0)
    assert outcome.unwrap().generation == 1


@hypothesis.given(
    seed=strategies.integers(0, 1000),
    lost=strategies.floats(0, 0.5),
    refused=strategies.floats(0, 0.3),
    stale=strategies.floats(0, 0.3),
)
@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
def test_at_most_one_of_concurrent_edits_is_accepted(seed, lost, refused, stale):
    """Three operators at a time edit the same generation, with faults of the store."""
    plan = fakestore.FaultPlan(seed=seed, lost=lost, refused=refused, stale=stale)

    async def race():
        server = fakestore.Server(plan)
        store = fakestore.FakeClient(server)
        accepted = {}
        for seen in range(5):
            edits = [apply(store, f"{seen}/{i}", seen) for i in range(3)]
            outcomes = await asyncio.gather(*edits)
            winners = [o.unwrap().raw for o in outcomes if o.is_ok()]
            assert len(winners) <= 1
            accepted[seen + 1] = winners
        server.plan = fakestore.FaultPlan()
        rows = (await head.history(store)).unwrap()
        stored = {row.generation: row.raw for row in rows}
        for generation, winners in accepted.items():
            assert not winners or stored[generation] == winners[0]

    asyncio.run(race())
