"""An instance that is told of no changes sends nothing by what it knew before."""

import asyncio
import types

import attrs
import result
from masticpost_common import clock
from masticpost_gateway.state import isolation, source
from support import gatewaykit as kit

LEFT_S = 6.0


class Link:
    """A store and messages of other instances that an instance may be cut off from."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    def __getattr__(self, name):
        if name in ("watch", "list_all"):
            return lambda *args: self._call(name, *args)
        return getattr(self.store, name)

    async def _call(self, name, *args):
        found = await getattr(self.store, name)(*args)
        if not self.is_cut:
            return found
        await asyncio.sleep(0.1)
        return result.Err(source.Fault(kind=source.FaultKind.NOT_KNOWN, message="cut"))

    def hold_messages(self, made):
        """Drop what the others send while the link is cut."""
        opened = made.mesh.hub.open
        made.mesh.hub.open = lambda rows: None if self.is_cut else opened(rows)


async def test_upstream_that_left_while_the_instance_was_cut_off_gets_nothing(
    monkeypatch,
):
    """A choked link: the leaving was told 3.5 s before a request was sent there."""
    # The stand-in's own delays add up to more than the time for which work is held.
    monkeypatch.setattr(isolation, "HELD_S", 4.0)
    monkeypatch.setattr(isolation, "START_S", isolation.SILENT_S)
    async with kit.Deployment() as dep:
        await dep.configure()
        left = await dep.add_worker("w1", kit.answers())
        link = Link(dep.store)
        first = await dep.add_node("node-0")
        seeds = (first.cfg.mesh.address,)
        for number in range(1, 5):
            await dep.add_node(f"node-{number}", seeds=seeds)
        cut = await dep.add_node("cut", seeds=seeds, store=link)
        await kit.until(lambda: all(len(n.members()) == 6 for n in dep.nodes))
        await kit.until(lambda: not cut.isolation.is_isolated(clock.now()))
        link.hold_messages(cut)
        link.is_cut = True
        await kit.until(lambda: cut.isolation.is_isolated(clock.now()))
        rows = dep.store.rows[source.Kind.UPSTREAMS]
        stays = await dep.add_worker("w2", kit.answers())
        gone = attrs.evolve(rows["w1"].record, is_draining=True)
        await dep.store.put(source.Kind.UPSTREAMS, "w1", gone)
        call = asyncio.create_task(dep.call("/lookup/", via=5))
        await asyncio.sleep(isolation.HELD_S / 4)
        link.is_cut = False
        assert (await call).status == 200
        assert (len(left.requests), len(stays.requests)) == (0, 1)


def alone(*, others=True, is_told=False):
    watch = types.SimpleNamespace(is_told=is_told, held=0)
    made = isolation.Isolation(has_others=lambda: others, watch=watch)
    made._started_at = clock.now() - LEFT_S
    return made


async def test_instance_that_hears_another_or_the_store_or_is_alone_sends_at_once():
    now = clock.now()
    heard = alone()
    assert heard.is_isolated(now)
    heard.heard(now)
    assert not heard.is_isolated(now)
    assert not alone(is_told=True).is_isolated(now)
    assert not alone(others=False).is_isolated(now)


async def test_instance_that_takes_all_others_for_dead_is_not_alone_at_once():
    """After a second without a message all were dead, and work was sent as before."""
    others = [True]
    watch = types.SimpleNamespace(is_told=False, held=0)
    made = isolation.Isolation(has_others=lambda: others[0], watch=watch)
    now = made._started_at + LEFT_S
    assert made.is_isolated(now)
    others[0] = False
    assert made.is_isolated(now + isolation.LATELY_S - 0.1)
    assert not made.is_isolated(now + isolation.LATELY_S + 0.1)


def test_instance_that_has_just_started_is_not_silent_yet():
    """70 of 195 that started together watched by themselves for 10 s."""
    made = alone()
    now = made._started_at
    assert not made.is_silent(now + 3.0)
    assert made.is_silent(now + isolation.START_S + 0.1)


async def test_work_is_held_only_for_a_while():
    """An instance that nobody tells anything any more still serves."""
    made = alone()
    began = clock.now()
    await made.hold_while_isolated(60.0)
    assert clock.now() - began >= isolation.HELD_S
    await made.hold_while_isolated(0.0)
    assert made.is_isolated(clock.now())
