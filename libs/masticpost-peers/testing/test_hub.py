"""Messages are authenticated and reach their handlers; members are detected."""

import asyncio

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_bench import procs
from masticpost_peers import gossip, hub, keys, membership, messages, probes

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


async def test_call_returns_the_reply():
    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, echo)
    reply = await one.call(two.address, Echo(text="hi"), 5.0)
    assert reply.text == "one: hi"
    await one.stop()
    await two.stop()


async def test_concurrent_calls_get_their_own_replies():
    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, echo)
    calls = [one.call(two.address, Echo(text=str(i)), 10.0) for i in range(300)]
    replies = await asyncio.gather(*calls)
    assert [reply.text for reply in replies] == [f"one: {i}" for i in range(300)]
    await one.stop()
    await two.stop()


async def test_message_with_a_wrong_key_is_rejected_and_counted():
    one = await make_hub("one", ["another-key-of-somebody"])
    two = await make_hub("two")
    two.handle(Echo, echo)
    with pytest.raises(hub.PeerUnreachableError):
        await one.call(two.address, Echo(text="hi"), 0.3)
    assert two.traffic.rejected == 1
    await one.stop()
    await two.stop()


async def test_hanging_handlers_do_not_block_urgent_probes(monkeypatch):
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
    assert len(two._handler_tasks) == 5
    ack = await one.call(two.address, probes.Probe(), 5.0)
    assert members.me in ack.news
    await one.stop()
    await two.stop()


async def test_old_and_new_keys_verify_during_rotation():
    old, new = KEY, "the-next-key-of-the-tests"
    one, two = await make_hub("one", [old, new]), await make_hub("two", [new, old])
    two.handle(Echo, echo)
    assert (await one.call(two.address, Echo(text="x"), 5.0)).text == "one: x"
    await one.stop()
    await two.stop()


async def test_caller_gets_the_exception_name_of_a_failed_handler():
    async def fail(envelope, body):
        raise ValueError("no")

    one, two = await make_hub("one"), await make_hub("two")
    two.handle(Echo, fail)
    with pytest.raises(hub.PeerUnreachableError, match="ValueError"):
        await one.call(two.address, Echo(text="hi"), 5.0)
    await one.stop()
    await two.stop()


async def test_call_to_an_absent_peer_times_out():
    one = await make_hub("one")
    with pytest.raises(hub.PeerUnreachableError):
        await one.call(f"127.0.0.1:{procs.free_ports(1)[0]}", Echo(text="hi"), 0.2)
    await one.stop()


@pytest.mark.parametrize("frames", [[b"a"], [b"a", b"b"], [b"a", b"b", b"c"], []])
def test_malformed_frames_are_rejected(frames):
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
def test_signed_frames_that_cannot_be_decoded_are_rejected(envelope, body):
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


def test_states_are_ordered_by_incarnation_then_state_then_generation():
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


async def test_members_discover_each_other_and_detect_one_that_stops():
    nodes = [await make_member(f"n{i}", i) for i in range(4)]
    first = nodes[0][0].address
    for _, members in nodes[1:]:
        assert await members.join(first)
    await wait_until(lambda: all(len(m.alive()) == 4 for _, m in nodes))
    stopped_hub, stopped = nodes.pop()
    await stopped.stop()
    await stopped_hub.stop()
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


async def test_lost_refutation_is_announced_again():
    """A resumed process first answers old probes, whose senders no longer wait.

    A refutation that goes out only with these answers is lost.
    """
    (hub_a, one), (hub_b, two) = await make_member("a", 1), await make_member("b", 2)
    assert await two.join(hub_a.address)
    await wait_until(lambda: len(one.alive()) == 2)
    one._apply_update(attrs.evolve(one.get("b"), state=probes.DEAD))
    two._update_me(attrs.evolve(two.me, incarnation=two.me.incarnation + 1))
    two._updates = gossip.UpdateQueue()
    await wait_until(lambda: one.get("b").state == probes.ALIVE)
    for part in (one, two, hub_a, hub_b):
        await part.stop()


async def test_leaving_member_is_removed_from_alive_at_once():
    (hub_a, one), (hub_b, two) = await make_member("a", 1), await make_member("b", 2)
    assert await two.join(hub_a.address)
    await wait_until(lambda: len(one.alive()) == 2)
    await two.leave()
    await wait_until(lambda: [m.name for m in one.alive()] == ["a"])
    for part in (one, two, hub_a, hub_b):
        await part.stop()


async def test_queued_messages_reach_a_peer_without_an_earlier_connection():
    """The first message to a peer used to be lost, as the connection was not up yet."""
    one, two = await make_hub("one"), await make_hub("two")
    received = []

    async def record(envelope, body):
        received.append(body.text)

    two.handle(Echo, record)
    texts = [str(number) for number in range(20)]
    for text in texts:
        await one.broadcast([two.address], Echo(text=text), queue_until_connected=True)
    async with asyncio.timeout(10.0):
        while len(received) < len(texts):
            await asyncio.sleep(0.01)
    assert received == texts
    await one.stop()
    await two.stop()


async def test_queued_messages_to_an_absent_peer_time_out(monkeypatch):
    monkeypatch.setattr(hub, "QUEUE_TIMEOUT_S", 0.1)
    one = await make_hub("one")
    address = f"127.0.0.1:{procs.free_ports(1)[0]}"
    for number in range(2 * hub.MAX_QUEUED_MESSAGES):
        await one.broadcast(
            [address], Echo(text=str(number)), queue_until_connected=True
        )
    conn = await one.conn(address)
    assert len(conn._queued) == hub.MAX_QUEUED_MESSAGES
    async with asyncio.timeout(10.0):
        while conn._queued:
            await asyncio.sleep(0.01)
    await one.stop()
