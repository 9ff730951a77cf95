"""Instances that pool their samples of the models' speeds. No network."""

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import speeds
from masticpost_gateway.sharing import speedpools
from masticpost_peers import hub, probes

PREFILL_S, DECODE_S = 1.8e-4, 0.04


class Peers:
    """Stands for mesh and hub of one instance; `silent` names those that are gone."""

    def __init__(self, name, net, silent):
        self.net, self.silent, self.hub = net, silent, self
        self.me = self._member(name)
        net[name] = self

    def handle(self, kind, handler):
        self.handler = handler

    def names(self):
        return frozenset(self.net)

    def chosen(self, purpose, count):
        alive = [name for name in sorted(self.net) if name not in self.silent]
        return [self._member(name) for name in alive[:count]]

    async def call(self, address, body, timeout_s):
        if address in self.silent:
            raise hub.PeerUnreachableError("no reply")
        return await self.net[address].handler(None, body)

    def _member(self, name):
        return probes.Member(
            name=name, address=name, domain="a", incarnation=1, started=1
        )


def make_fleet(count, silent=frozenset()):
    net = {}
    return [
        speedpools.SpeedPooling(
            peers=Peers(f"n{number:03}", net, silent), own=speeds.Speeds()
        )
        for number in range(count)
    ]


def record_one_answer(pooling, decode_s=DECODE_S):
    speed = pooling.own.of("llm", "large")
    speed.record_prefill(4_000, 4_000 * PREFILL_S)
    speed.record_decode(40, 40 * decode_s)


@pytest.mark.parametrize("count", [8, 75, 195])
async def test_instances_know_a_model_from_each_others_answers(count):
    """Guards against escalations that rest on an initial estimate.

    An instance with one answer of a model took it for 3.6 times as fast as it was.
    """
    fleet = make_fleet(count)
    for _ in range(2):
        for pooling in fleet:
            record_one_answer(pooling)
            await pooling.exchange_once()
    for pooling in fleet:
        speed = pooling.own.of("llm", "large")
        assert speed.prefill_token_s == pytest.approx(PREFILL_S, rel=0.01)
        assert speed.decode_token_s == pytest.approx(DECODE_S, rel=0.01)
    holders = [pooling for pooling in fleet if pooling.pool.estimates()]
    assert len(holders) <= 1 + count // speedpools.GROUP_SIZE


async def test_pool_follows_a_model_that_becomes_slower():
    """Guards against a mean over answers of long ago."""
    fleet = make_fleet(8)
    for decode_s in (DECODE_S, 4 * DECODE_S):
        for _ in range(25):
            for pooling in fleet:
                record_one_answer(pooling, decode_s)
                await pooling.exchange_once()
    speed = fleet[-1].own.of("llm", "large")
    assert speed.decode_token_s == pytest.approx(4 * DECODE_S, rel=0.05)


async def test_own_samples_count_without_a_pool():
    """Guards against a lost holder whose old estimates stay in use for good."""
    silent = set()
    fleet = make_fleet(2, silent)
    for pooling in fleet:
        record_one_answer(pooling)
        await pooling.exchange_once()
    member = fleet[1]
    silent.add("n000")
    member.peers.chosen = lambda purpose, count: [fleet[0].peers.me]
    for _ in range(40):
        record_one_answer(member, 3 * DECODE_S)
        await member.exchange_once()
    speed = member.own.of("llm", "large")
    assert speed.decode_token_s == pytest.approx(DECODE_S, rel=0.05)
    member.own.expire(clock.now() + speeds.POOLED_TTL_S + 0.1)
    assert speed.decode_token_s == pytest.approx(3 * DECODE_S, rel=0.1)
