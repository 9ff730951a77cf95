"""A session keeps its version at whatever instance its requests come."""

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.learning import sessions
from masticpost_gateway.sharing import sessionupdates
from masticpost_gateway.state import model, source
from support import gatewaykit as kit

ORDER = model.RollOut(service="desk", target="v2", duration_s=100.0)
SESSIONS = [f"session-{number}" for number in range(60)]


def sharing(made):
    """Return the part of an instance that shares sessions."""
    rows = (
        row
        for row in made.sharing_services
        if isinstance(row, sessionupdates.SessionSharing)
    )
    return next(rows)


async def deployment(dep, count):
    for number in range(count):
        seeds = [made.cfg.mesh.address for made in dep.nodes[:1]]
        await dep.add_node(f"node-{number}", seeds=seeds, session_s=60.0)
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))
    await kit.until(
        lambda: all(
            {row.name for row in n.relay.watchers}
            == {row.name for row in dep.nodes[0].relay.watchers}
            for n in dep.nodes
        )
    )


async def begin_trial(dep):
    await dep.store.put(source.Kind.ROLL_OUTS, "desk", ORDER)
    await kit.until(lambda: all("desk" in n.shared.trials.open for n in dep.nodes))


def marked(made):
    return [s for s in SESSIONS if made.shared.trials.is_early_session("desk", s)]


def plans(dep, session):
    return {n.shared.trials.plan("desk", session, "r").avoided for n in dep.nodes}


@pytest.mark.parametrize("when", ["before the trial", "during the trial"])
async def test_session_of_another_instance_is_not_moved(when):
    """With 74 instances seven sessions a day came to one that did not know them."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 6)
        if when == "during the trial":
            await begin_trial(dep)
        for number, session in enumerate(SESSIONS):
            made = dep.nodes[number % len(dep.nodes)]
            made.shared.sessions.record_run("desk", session, "v1", clock.now())
        if when == "before the trial":
            await begin_trial(dep)
        found = marked(dep.nodes[0])
        assert found
        await kit.until(lambda: all(plans(dep, s) == {"v2"} for s in found))


async def test_what_was_passed_on_is_not_passed_on_again():
    """Rows went round among the watchers: 0.14 GB in a calm day of 74 instances."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 3)
        await begin_trial(dep)
        news = sharing(dep.nodes[0])
        assert news.relay.is_watcher
        session = marked(dep.nodes[0])[0]
        row = sessionupdates.SessionRow(
            service="desk", session=session, version="v1", age_s=0.0
        )
        passed = sessionupdates.SessionUpdate(rows=[row], is_passed=True)
        await news._on_news(None, passed)
        assert not news._heard
        assert news.recent_sessions.last_version("desk", session, clock.now()) == "v1"
        await news._on_news(None, attrs.evolve(passed, is_passed=False))
        assert not news._heard


def test_same_run_that_is_told_twice_is_no_news():
    memory = sessions.Sessions(idle_timeout_s=5.0)
    assert memory.merge(("s", "a"), sessions.LastRun(version="v1", at=10.0))
    assert not memory.merge(("s", "a"), sessions.LastRun(version="v1", at=10.01))
    assert memory.merge(("s", "a"), sessions.LastRun(version="v1", at=11.5))


async def test_nothing_is_told_while_no_version_is_on_trial():
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 2)
        made = dep.nodes[0]
        for session in SESSIONS:
            made.shared.sessions.record_run("desk", session, "v1", clock.now())
        assert not sharing(made)._own


def test_older_news_of_a_session_do_not_replace_newer_ones():
    memory = sessions.Sessions(idle_timeout_s=5.0)
    memory.record_run("s", "a", "v2", 10.0)
    assert not memory.merge(("s", "a"), sessions.LastRun(version="v1", at=9.0))
    assert memory.last_version("s", "a", 11.0) == "v2"
    assert memory.merge(("s", "a"), sessions.LastRun(version="v1", at=12.0))
    assert memory.last_version("s", "a", 12.5) == "v1"


def test_sessions_that_ended_are_not_running():
    memory = sessions.Sessions(idle_timeout_s=5.0)
    memory.record_run("s", "old", "v1", 10.0)
    memory.record_run("s", "new", "v1", 20.0)
    assert [key for key, _ in memory.recent(21.0)] == [("s", "new")]
