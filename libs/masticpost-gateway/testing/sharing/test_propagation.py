"""A change is used by all instances in time, whoever watches the store for them."""

import asyncio

import pytest
from masticpost_common import clock
from masticpost_gateway.state import timing, watching
from support import virtualfleet, watchfleet

SIZES = list(watchfleet.APPLY_S)
FAULTS = [
    watchfleet.REFUSED,
    watchfleet.RESET,
    watchfleet.SILENT,
    watchfleet.GONE,
]
# Rounds of tasks, a call to the store and a message, beside the time limits.
ROUND_S, CALL_S, MESSAGE_S = 0.05, 0.1, 0.1


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays a scene with a fleet in virtual time."""

    def run(size, scene, after_s=0.0):
        loop = virtualfleet.Loop()
        monkeypatch.setattr(clock, "now", loop.time)

        async def whole():
            fleet = watchfleet.Fleet(size=size)
            await fleet.start()
            await asyncio.sleep(after_s)
            outcome = await scene(fleet)
            await fleet.stop()
            return outcome

        try:
            return loop.run_until_complete(whole())
        finally:
            loop.close()

    return run


def losing(names_of, how):
    """Return a scene in which some instances are lost as a change is written."""

    async def scene(fleet):
        fleet.lose(names_of(fleet), how)
        return await fleet.change()

    return scene


# Guards against instances that go on by an old configuration while those that watch
# the store for them are refused by it, get no answer, or are gone (CONFIG, DRAIN).
@pytest.mark.parametrize("after_s", [0.0, 0.45, 0.9, 1.6, 2.4, 3.1])
@pytest.mark.parametrize("how", FAULTS)
@pytest.mark.parametrize("count", [1, 2, 3])
def test_change_is_used_in_time_when_watchers_are_lost(play, how, count, after_s):
    scene = losing(lambda fleet: fleet.watchers()[:count], how)
    assert play(8, scene, after_s) <= watchfleet.APPLY_S[8]


@pytest.mark.parametrize("how", FAULTS)
@pytest.mark.parametrize("size", SIZES[1:])
def test_change_is_used_in_time_when_all_watchers_are_lost(play, size, how):
    """The same way at 70 and 195 instances as at 8."""
    scene = losing(lambda fleet: fleet.watchers(), how)
    assert play(size, scene, 0.9) <= watchfleet.APPLY_S[size]


@pytest.mark.parametrize(
    ("size", "how"),
    [
        (8, watchfleet.REFUSED),
        (8, watchfleet.RESET),
        (8, watchfleet.GONE),
        (70, watchfleet.GONE),
    ],
)
def test_change_is_used_in_time_when_standbys_are_lost_too(play, size, how):
    scene = losing(lambda fleet: fleet.watchers() + fleet.watchers(1), how)
    assert play(size, scene, 0.9) <= watchfleet.APPLY_S[size]


@pytest.mark.parametrize("how", [watchfleet.REFUSED, watchfleet.SILENT, "slow"])
@pytest.mark.parametrize("size", SIZES)
def test_instances_do_not_all_call_a_store_that_is_away_or_slow(play, size, how):
    """Guards against a burst of all instances on a store that serves none of them."""

    async def scene(fleet):
        since = clock.now()
        if how == "slow":
            fleet.store.slow_s = 1.2
        else:
            fleet.lose(fleet.by_name, how)
        await asyncio.sleep(6.0)
        return fleet.busiest(since)

    kinds, watchers = len(watching.TURNS), 3 if size == 8 else 5
    # Watchers and standbys, four tries a second for each kind, and as many by others.
    assert play(size, scene) <= 4 * 3 * kinds * watchers


@pytest.mark.parametrize("size", SIZES[:2])
def test_slow_store_is_watched_by_the_watchers_only(play, size):
    """Guards against standbys that add to the load of a store that only slows down.

    With answers 0.24 s late, six of 8 and ten of 70 instances watched it.
    """

    async def scene(fleet):
        fleet.store.slow_s = 0.24
        found = set()
        for _ in range(90):
            await asyncio.sleep(0.1)
            rows = fleet.by_name.items()
            found |= {name for name, row in rows if row.watch.is_active}
        return found == set(fleet.watchers())

    assert play(size, scene)


async def _calm_calls(fleet):
    since = clock.now()
    await asyncio.sleep(35.0)
    return sum(at >= since for at, _ in fleet.store.times) / 35.0


@pytest.mark.parametrize(("size", "before"), [(8, 3.5), (70, 5.83), (195, 5.83)])
def test_store_is_called_no_more_often_in_calm_than_before(play, size, before):
    """Watches of three and of four seconds made 3.5 and 5.83 calls per second."""
    assert play(size, _calm_calls) <= before


@pytest.mark.parametrize("apply_s", [2.0, 3.0, 4.0])
def test_parts_of_the_way_of_a_change_fit_into_the_bound(apply_s):
    """Guards against a time limit that ignores the bound that the settings name."""
    limits = timing.Timing(apply_s=apply_s)
    gap_s = watching.StoreWatch(store=None, records=None, limits=limits)
    silence_s = gap_s.phases.longest_gap_s + limits.retry_s + ROUND_S
    assert limits.answer_margin_s < limits.retry_s
    read_s = 2 * ROUND_S + CALL_S
    for lost_s in (limits.contact_s, silence_s, limits.retry_s + ROUND_S):
        assert lost_s + read_s + MESSAGE_S <= apply_s
        last_s = limits.standby_s + ROUND_S + limits.spread_s
        assert lost_s + last_s + read_s <= apply_s
    assert 1.0 + limits.fetch_s + MESSAGE_S <= apply_s
    assert limits.hold_after_s < apply_s


def test_bounds_out_of_range_are_clipped():
    assert timing.Timing(apply_s=0.1).apply_s == timing.MIN_APPLY_S
    assert timing.Timing(apply_s=60.0).apply_s == timing.MAX_APPLY_S
