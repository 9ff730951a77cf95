"""A bad version gets no request later than allowed after its bad answers, by phase."""

import pytest
from masticpost_common import clock
from support import virtualfleet

# Time that the operators allow from the 50th bad answer to the last request.
ALLOWED_S = 5.0
LINKS = {
    "fast": lambda one, other: 0.02,
    "slow": lambda one, other: 1.0,
    "far": lambda one, other: 0.02 if one == other else 1.0,
    "cut": lambda one, other: (
        0.02 if (one == "zone-0") == (other == "zone-0") else None
    ),
}


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays a version that turns bad at the full share."""
    loops = []

    def run(*, links, size=195, until_s=14.0, **settings):
        loop = virtualfleet.Loop()
        loops.append(loop)
        monkeypatch.setattr(clock, "now", loop.time)
        fleet = virtualfleet.Fleet(
            size=size, rate=104.6, delay_s=LINKS[links], **settings
        )
        loop.run_until_complete(fleet.play(until_s))
        return fleet

    yield run
    for loop in loops:
        loop.close()


def phases(fleet):
    """Return the times after the first bad answer, in seconds."""
    first = fleet.bad_at[0]
    fiftieth = fleet.bad_at[49] if len(fleet.bad_at) > 49 else None
    times = {
        "verdict": min(fleet.verdict_at.values()),
        "told to all": max(fleet.verdict_at.values()),
        "last sent": max(at for at, _ in fleet.sent_at),
        "50th bad": fiftieth,
    }
    return {
        name: None if at is None else round(at - first, 2) for name, at in times.items()
    }


@pytest.mark.parametrize("how", ["errors", "late"])
@pytest.mark.parametrize("links", LINKS)
def test_last_request_is_sent_soon_after_the_bad_answers(play, links, how):
    """Guards against requests to a version long after its 50th bad answer (EXPOSURE).

    All of 195 instances send it every request when it turns bad.
    """
    fleet = play(links=links, how=how)
    found = phases(fleet)
    assert set(fleet.verdict_at) == set(fleet.by_name)
    fiftieth = found["50th bad"]
    assert found["last sent"] < (fiftieth or 0.0) + ALLOWED_S


def test_verdict_is_told_without_waiting_for_a_heartbeat(play):
    """Guards against a verdict that waits up to a second for the next heartbeat."""
    fleet = play(links="fast", how="errors")
    found = phases(fleet)
    assert found["told to all"] - found["verdict"] <= 0.25


def test_reports_to_a_watcher_stay_few(play):
    """Guards against flooding the watchers: 780 reports a second were too many."""
    fleet = play(links="fast", how="errors", until_s=10.0)
    watchers = [row.name for row in fleet.instances[0].relay.watchers]
    per_s = [fleet.received[name, "EvidenceReport"] / 10.0 for name in watchers]
    assert max(per_s) <= 1.2 * 195
