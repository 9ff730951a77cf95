"""Deadly parts of chat prompts: which parts count, and how instances pool them."""

import asyncio

import attrs
import pytest
from masticpost_common import clock
from masticpost_entry import deadlyparts
from masticpost_gateway.learning import quarantine
from masticpost_shards import views
from masticpost_upstream import openai

NAMES = ("one", "two", "three")


@attrs.frozen(kw_only=True)
class Member:
    name: str
    address: str


class FakeMembers:
    def alive(self):
        return [Member(name=name, address=name) for name in NAMES]


class FakeHub:
    """Delivers broadcasts to the other instances at once."""

    def __init__(self, name, hubs):
        self.name = name
        self.hubs = hubs
        self.handlers = {}
        self.reports = 0
        hubs[name] = self

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    async def broadcast(self, addresses, body, *, queue_until_connected):
        self.reports += len(addresses)
        for address in addresses:
            await self.hubs[address].handlers[type(body)](None, body)


class FakeView:
    """The log of the shards, which a restart of all instances outlasts."""

    def __init__(self):
        self.suspects = {}

    def suspect_of(self, key):
        return self.suspects.get(key)

    def crash_count(self, key):
        return self.suspects[key].count if key in self.suspects else 0

    async def report_crash(self, key, upstream):
        count = self.crash_count(key) + 1
        at = clock.wall_ms()
        self.suspects[key] = views.Suspect(fingerprint=key, count=count, at=at)


@pytest.fixture
def view():
    return FakeView()


def start_all(view):
    hubs, members = {}, FakeMembers()
    return [
        deadlyparts.DeadlyParts(peers=FakeHub(name, hubs), members=members, view=view)
        for name in NAMES
    ]


@pytest.fixture
def instances(view):
    return start_all(view)


async def share(instances, now=None):
    for instance in instances:
        await instance._send(clock.now() if now is None else now)


def crash(instance, number, *parts):
    instance.report_crash(f"request-{number}", parts, f"e{number}", survived=False)


def judge(instances, now):
    return [instance.tracker.judge(now) for instance in instances]


def message(text):
    return openai.Message(role="user", content=text)


def test_every_message_but_the_last_is_a_part():
    sent = [message(text) for text in "abc"]
    assert len(deadlyparts.part_keys(sent)) == 2
    assert not set(deadlyparts.part_keys(sent[-1:]))
    assert set(deadlyparts.part_keys(sent[:2])) < set(deadlyparts.part_keys(sent))


def test_parts_of_a_long_conversation_are_bounded():
    sent = [message(str(number)) for number in range(2000)]
    limit = 2 * deadlyparts.MAX_PARTS_AT_EACH_END
    assert len(deadlyparts.part_keys(sent)) == limit


async def test_crashes_at_different_instances_are_added_up(instances):
    """Guards against counting the parts of prompts at one instance only."""
    for number, instance in enumerate(instances):
        crash(instance, number, "part-deadly", f"part-{number}")
    await share(instances)
    verdicts = judge(instances, clock.now() + 1.0)
    assert verdicts == [["part-deadly"]] * len(instances)
    assert all(row.retry_after_s(("part-deadly",)) > 0 for row in instances)


async def test_crash_seen_by_many_requests_and_instances_counts_once(instances):
    for instance in instances:
        for number in range(4):
            instance.report_crash(
                f"request-{number}", ("part-a",), "e1", survived=False
            )
    await share(instances)
    counts = {row.tracker.crash_count("part-a") for row in instances}
    assert counts == {1}


async def test_instance_that_has_answered_a_part_speaks_for_it(instances):
    """Guards against blaming a part that always comes with the deadly one."""
    instances[2].note_answer(("part-common",))
    for number in range(5):
        crash(instances[number % 2], number, "part-common", "part-deadly")
        await share(instances)
    verdicts = judge(instances, clock.now() + 1.0)
    assert verdicts == [["part-deadly"]] * len(instances)


async def test_late_instance_is_reminded_and_an_answer_frees_the_part(instances):
    at = clock.now() - quarantine.TRIAL_AFTER_S
    row = quarantine.Quarantine(at=at)
    instances[0].tracker.add_quarantine("part-a", row)
    instances[1].tracker.add_quarantine("part-a", row)
    first = min(instances, key=lambda instance: instance.peers.name)
    first.tracker.add_quarantine("part-a", row)
    await share(instances)
    waits = [instance.retry_after_s(("part-a",)) for instance in instances]
    assert sorted(wait > 0 for wait in waits) == [False, True, True]
    instances[waits.index(0.0)].note_answer(("part-a",))
    await share(instances)
    assert not any(instance.retry_after_s(("part-a",)) for instance in instances)


async def test_restart_of_all_instances_remembers_the_part(instances, view):
    """Guards against instances that restart together and count crashes from zero."""
    row = quarantine.Quarantine(at=clock.now())
    for instance in instances:
        instance.tracker.add_quarantine("part-a", row)
        instance._judge()
    await asyncio.sleep(0)
    assert view.crash_count("part-a") == 1
    restarted = start_all(view)
    assert all(instance.retry_after_s(("part-a",)) > 0 for instance in restarted)
    restarted[1]._judge()
    await asyncio.sleep(0)
    assert view.crash_count("part-a") == 1
