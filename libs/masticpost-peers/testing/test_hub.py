"""Messages reach their handler, and nobody without a key can speak."""

import asyncio

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_bench import procs
from masticpost_peers import hub, keys, membership, messages, probes

KEY = "a-shared-key-of-the-tests"


@messages.message("test-echo")
@attrs.frozen(kw_only=True)
class Echo:
    text: str


async def make_hub(name, secrets=(KEY,)):
    port = procs.free_ports(1)[0]
    made = hub.Hub(
        name=name,
        incarnation=1,
        address=f"127.0.0.1:{port}",
        ring=keys.KeyRing(secrets=list(secrets)),
    )
    await made.start()
    return made


async def echo(envelope, body):
    return Echo(text=f"{envelope.sender}: {body.text}")


async def test_call_gets_the_reply():
    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, echo)
    reply = await one.call(two.address, Echo(text="hi"), 5.0)
    assert reply.text == "one: hi"
    await one.stop()
    await two.stop()


async def test_many_calls_at_once_get_their_own_replies():
    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, echo)
    calls = [one.call(two.address, Echo(text=str(i)), 10.0) for i in range(300)]
    replies = await asyncio.gather(*calls)
    assert [reply.text for reply in replies] == [f"one: {i}" for i in range(300)]
    await one.stop()
    await two.stop()


async def test_wrong_key_is_dropped_and_counted():
    one = await make_hub("one", ["another-key-of-somebody"])
    two = await make_hub("two")
    two.handle(Echo, echo)
    with pytest.raises(hub.PeerUnreachableError):
        await one.call(two.address, Echo(text="hi"), 0.3)
    assert two.traffic.rejected == 1
    await one.stop()
    await two.stop()


async def test_hanging_handlers_do_not_keep_probes_from_being_served(monkeypatch):
    monkeypatch.setattr(hub, "MAX_HANDLERS", 5)

    async def hang(envelope, body):
        await asyncio.Event().wait()

    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, hang)
    members = membership.Membership(
        peers=two, domain="d", advertise=two.address, seed=1
    )
    calls = [one.call(two.address, Echo(text="x"), 0.3) for _ in range(8)]
    await asyncio.gather(*calls, return_exceptions=True)
    assert len(two._handling) == 5
    ack = await one.call(two.address, probes.Probe(), 5.0)
    assert members.me in ack.news
    await one.stop()
    await two.stop()


async def test_rotated_keys_overlap():
    old, new = KEY, "the-next-key-of-the-tests"
    one, two = await make_hub("one", [old, new]), await make_hub("two", [new, old])
    two.handle(Echo, echo)
    assert (await one.call(two.address, Echo(text="x"), 5.0)).text == "one: x"
    await one.stop()
    await two.stop()


async def test_failing_handler_is_told_to_the_caller():
    async def fail(envelope, body):
        raise ValueError("no")

    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, fail)
    with pytest.raises(hub.PeerUnreachableError, match="ValueError"):
        await one.call(two.address, Echo(text="hi"), 5.0)
    await one.stop()
    await two.stop()


async def test_absent_peer_times_out():
    one = await make_hub("one")
    with pytest.raises(hub.PeerUnreachableError):
        await one.call(f"127.0.0.1:{procs.free_ports(1)[0]}", Echo(text="hi"), 0.2)
    await one.stop()


@pytest.mark.parametrize("frames", [[b"a"], [b"a", b"b"], [b"a", b"b", b"c"], []])
def test_frames_that_are_not_messages_are_dropped(frames):
    made = hub.Hub(
        name="one",
        incarnation=1,
        address="127.0.0.1:1",
        ring=keys.KeyRing(secrets=[KEY]),
    )
    assert made.open(frames) is None
    assert made.traffic.rejected == 1
    made.context.destroy()


@hypothesis.given(strategies.binary(max_size=60), strategies.binary(max_size=60))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_signed_junk_is_dropped(envelope, body):
    ring = keys.KeyRing(secrets=[KEY])
    made = hub.Hub(name="one", incarnation=1, address="127.0.0.1:1", ring=ring)
    assert made.open([envelope, body, ring.sign(envelope + body)]) is None
    made.context.destroy()


def member(name="m", incarnation=1, state=probes.ALIVE, generation=0):
    return probes.Member(
        name=name,
        address="127.0.0.1:1",
        domain="d",
        incarnation=incarnation,
        started=incarnation,
        state=state,
        generation=generation,
    )


def test_news_is_ordered_by_incarnation_then_state():
    dead = member(state=probes.DEAD)
    assert dead.supersedes(member())
    assert not member().supersedes(dead)
    assert member(incarnation=2).supersedes(dead)
    assert member(generation=3).supersedes(member(generation=2))


async def make_member(name, seed):
    made = await make_hub(name)
    members = membership.Membership(
        peers=made, domain="d", advertise=made.address, seed=seed
    )
    await members.start()
    return made, members


async def wait_until(check, timeout_s=15.0):
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.02)


async def test_members_find_each_other_and_notice_an_end():
    nodes = [await make_member(f"n{i}", i) for i in range(4)]
    first = nodes[0][0].address
    for _, members in nodes[1:]:
        assert await members.join(first)
    await wait_until(lambda: all(len(m.alive()) == 4 for _, m in nodes))
    gone_hub, gone = nodes.pop()
    await gone.stop()
    await gone_hub.stop()
    await wait_until(lambda: all(len(m.alive()) == 3 for _, m in nodes))
    for made, members in nodes:
        await members.stop()
        await made.stop()


async def test_wrongly_suspected_member_refutes():
    (hub_a, one), (hub_b, two) = await make_member("a", 1), await make_member("b", 2)
    assert await two.join(hub_a.address)
    await wait_until(lambda: len(one.alive()) == 2)
    suspect = attrs.evolve(one.get("b"), state=probes.SUSPECT)
    one._apply_update(suspect)
    await wait_until(lambda: one.get("b").state == probes.ALIVE)
    assert one.get("b").incarnation > suspect.incarnation
    for part in (one, two, hub_a, hub_b):
        await part.stop()


async def test_refutation_that_was_lost_is_told_again():
    """A woken process refutes while it answers probes that nobody waits for."""
    (hub_a, one), (hub_b, two) = await make_member("a", 1), await make_member("b", 2)
    assert await two.join(hub_a.address)
    await wait_until(lambda: len(one.alive()) == 2)
    one._apply_update(attrs.evolve(one.get("b"), state=probes.DEAD))
    two._update_me(attrs.evolve(two.me, incarnation=two.me.incarnation + 1))
    two._news.clear()
    await wait_until(lambda: one.get("b").state == probes.ALIVE)
    for part in (one, two, hub_a, hub_b):
        await part.stop()


async def test_leaving_member_owns_nothing_at_once():
    (hub_a, one), (hub_b, two) = await make_member("a", 1), await make_member("b", 2)
    assert await two.join(hub_a.address)
    await wait_until(lambda: len(one.alive()) == 2)
    await two.leave()
    await wait_until(lambda: [m.name for m in one.alive()] == ["a"])
    for part in (one, two, hub_a, hub_b):
        await part.stop()


async def test_lasting_messages_reach_a_peer_that_was_not_spoken_to_before():
    """The first message to a peer was dropped: its connection did not stand yet."""
    one, two = await make_hub("one"), await make_hub("two")
    got = []

    async def note(envelope, body):
        got.append(body.text)

    two.handle(Echo, note)
    texts = [str(number) for number in range(20)]
    for text in texts:
        await one.broadcast([two.address], Echo(text=text), queue_until_connected=True)
    async with asyncio.timeout(10.0):
        while len(got) < len(texts):
            await asyncio.sleep(0.01)
    assert got == texts
    await one.stop()
    await two.stop()


async def test_lasting_messages_to_nobody_are_dropped_after_a_while(monkeypatch):
    monkeypatch.setattr(hub, "QUEUE_TIMEOUT_S", 0.1)
    one = await make_hub("one")
    address = f"127.0.0.1:{procs.free_ports(1)[0]}"
    for number in range(2 * hub.MAX_QUEUED_MESSAGES):
        await one.broadcast(
            [address], Echo(text=str(number)), queue_until_connected=True
        )
    conn = await one.conn(address)
    assert len(conn._held) == hub.MAX_QUEUED_MESSAGES
    async with asyncio.timeout(10.0):
        while conn._held:
            await asyncio.sleep(0.01)
    await one.stop()
