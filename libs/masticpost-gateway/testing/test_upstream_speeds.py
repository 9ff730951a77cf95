"""Instances with old views learn the speeds of upstreams together and share their load.

Simulated: 8 instances with 8 engines, 70 with 30, and 195 with 70.
"""

import pytest
from masticpost_common import clock, codec
from masticpost_gateway.routing import placement
from masticpost_gateway.sharing import loadreports, loads, speedsharing
from support import enginefleet

SIZES = ((8, 8), (70, 30), (195, 70))
# One engine in six takes three times as long as usual, one half as long.
FACTORS = (1.0, 1.0, 1.0, 1.0, 3.0, 0.5)


@pytest.fixture
def make(monkeypatch):
    """Return a function that makes a fleet whose clock the gateway's code reads."""

    def run(size, engines, *, per_engine, **settings):
        monkeypatch.setattr(clock, "now", lambda: 0.0)
        fleet = enginefleet.Fleet(
            size=size, engines=engines, rate=per_engine * engines, **settings
        )
        monkeypatch.setattr(clock, "now", lambda: fleet.now)
        return fleet

    return run


def uneven(engines):
    return {k: FACTORS[k % len(FACTORS)] for k in range(engines)}


def factors(fleet, upstream):
    return [row.speed_factor(upstream, fleet.now) for row in fleet.loads.values()]


def late_share(fleet, since_s, objective_s=2.0):
    times = [first_s for at, first_s in fleet.first_s if at >= since_s]
    return sum(first_s > objective_s for first_s in times) / len(times)


def busiest(fleet):
    return fleet.shares(fleet.now - 3.0).most_common(1)[0][0]


def test_alike_upstreams_are_chosen_as_without_factors(make, monkeypatch):
    fleet = make(8, 8, per_engine=2.0)
    fleet.play(10.0)
    monkeypatch.setattr(loads.Loads, "speed_factor", lambda self, upstream, now: 1.0)
    plain = make(8, 8, per_engine=2.0)
    plain.play(10.0)
    assert fleet.chosen_at == plain.chosen_at


@pytest.mark.parametrize(("size", "engines"), SIZES[:2])
def test_slow_upstreams_get_fewer_requests(make, monkeypatch, size, engines):
    """Guards against as many requests at an upstream that takes 8 s as at fast ones."""
    fleet = make(size, engines, per_engine=6.0, factors=uneven(engines))
    fleet.play(12.0)
    counts = fleet.shares(4.0)
    mean = counts.total() / engines
    slow = [counts[row.name] for row in fleet.upstreams[4::6]]
    fast = [counts[row.name] for row in fleet.upstreams[5::6]]
    assert sum(slow) / len(slow) < 0.5 * mean
    assert sum(fast) / len(fast) > 1.3 * mean
    monkeypatch.setattr(loads.Loads, "speed_factor", lambda self, upstream, now: 1.0)
    plain = make(size, engines, per_engine=6.0, factors=uneven(engines))
    plain.play(12.0)
    assert late_share(fleet, 4.0, 1.0) <= late_share(plain, 4.0, 1.0)


@pytest.mark.parametrize(("size", "engines"), SIZES)
def test_stale_views_do_not_send_all_requests_to_the_same_upstream(make, size, engines):
    """Guards against a herd at the upstream that all instances believe to be fast."""
    fleet = make(size, engines, per_engine=3.0, factors=uneven(engines))
    fleet.play(7.0)
    speeds = {name: 1.0 / row.factor for name, row in fleet.engines.items()}
    for second in range(2, 7):
        counts = fleet.shares(second, second + 1)
        for name, count in counts.items():
            fair = counts.total() * speeds[name] / sum(speeds.values())
            assert count < 5 + 3 * fair
    assert late_share(fleet, 2.0) < 0.03


@pytest.mark.parametrize(("size", "engines"), SIZES[:2])
def test_pause_of_an_upstream_is_noticed_and_forgotten(make, size, engines):
    fleet = make(size, engines, per_engine=4.0)
    fleet.play(6.0)
    name = busiest(fleet)
    fleet.engines[name].pause = (6.0, 7.0)
    fleet.play(6.9)
    known = factors(fleet, name)
    assert sum(factor > 1.3 for factor in known) > 0.8 * size
    # Some requests were sent before it was noticed, few afterwards.
    assert fleet.shares(6.7, 7.0)[name] <= 2
    fleet.play(12.0)
    assert max(factors(fleet, name)) < 1.3


def test_factors_decay_without_reports(make):
    """Guards against an upstream that is avoided for long after messages are lost."""
    fleet = make(70, 30, per_engine=6.0, factors=uneven(30))
    fleet.play(8.0)
    tracker = fleet.loads["node-000"]

    def learnt():
        speeds = {row.name: tracker.speed_factor(row.name, fleet.now) for row in ready}
        return {name for name, factor in speeds.items() if factor != 1.0}

    ready = fleet.upstreams
    assert len(learnt()) > 3
    fleet.now += loadreports.REPORT_TTL_S + 7.0
    tracker.refresh_speeds(fleet.now)
    for request in [row for rows in tracker._active.values() for row in rows]:
        tracker.end(request)
    tracker.refresh_speeds(fleet.now)
    assert not learnt()


def test_upstream_without_memory_for_the_tokens_has_no_room(make):
    fleet = make(8, 8, per_engine=1.0)
    tracker, upstream = fleet.loads["node-000"], fleet.upstreams[0]
    tracker.begin(upstream.name, 0.1, tokens=9_000)
    assert tracker.has_room(upstream, 9_000)
    tracker.set_memory({enginefleet.SERVICE: 20_000})
    report = loadreports.Load(upstream=upstream.name, streams=1, tokens=6_144)
    work = loadreports.to_columns([report], [])
    assert work.loads() == [report]
    tracker._hub_reports.put("other", work.loads(), fleet.now)
    assert tracker.has_room(upstream, 4_856)
    assert not tracker.has_room(upstream, 4_857)


@pytest.mark.parametrize("engines", [8, 400])
def test_choice_scores_as_many_upstreams_however_many_there_are(
    make, monkeypatch, engines
):
    """Guards against a choice whose cost grows with the size of the deployment."""
    fleet = make(70, engines, per_engine=1.0)
    placer = fleet.placers["node-000"]
    scored, total = [], loads.Loads.total
    prompt = enginefleet.headers.Prompt(parts=(), tokens_in=900, tokens_out=9)
    prefill = placement.Prefill(service=enginefleet.SERVICE, model="m", prompt=prompt)

    def counted(self, upstream, now):
        scored.append(upstream)
        return total(self, upstream, now)

    for row in fleet.upstreams:
        placer.loads.speed_factor(row.name, fleet.now)
    monkeypatch.setattr(loads.Loads, "total", counted)
    placer.best(fleet.upstreams, prefill)
    assert len(scored) <= 6


def test_new_columns_are_short_and_optional():
    """Guards against reports that cost more than the loads that they carry."""
    rows = [
        loadreports.Load(upstream=f"plan-llm-{i}", reading_s=i / 8, streams=i, unread=i)
        for i in range(70)
    ]
    full = [
        loadreports.Load(
            upstream=row.upstream,
            reading_s=row.reading_s,
            streams=row.streams,
            unread=row.unread,
            tokens=6_144 * (i + 1),
        )
        for i, row in enumerate(rows)
    ]
    before = len(codec.to_wire(loadreports.to_columns(rows, [])))
    after = len(codec.to_wire(loadreports.to_columns(full, [])))
    assert after - before <= 70 * 3 + 3
    speeds = {row.upstream: (120, -30, 0) for row in rows}
    sent = loadreports.to_columns(full, [], speeds)
    assert len(codec.to_wire(sent)) - after <= 70 * 20
    earlier = codec.to_plain(loadreports.to_columns(rows, []))
    del earlier["blocks"], earlier["speeds"]
    received = codec.from_wire(codec.to_wire(earlier), loadreports.Columns)
    assert received.loads() == rows
    assert not received.speeds


def test_unchanged_evidence_is_sent_once_per_period():
    outbox = speedsharing.Outbox()
    rows = {"u1": speedsharing.upstreamspeeds.Evidence(weight=50, log=5)}
    assert outbox.take(rows, 0.0) == rows
    assert outbox.take(rows, 0.5) == {}
    assert outbox.take(rows, 1.0) == rows
    late = {"u1": speedsharing.upstreamspeeds.Evidence(weight=50, log=5, late=14)}
    assert outbox.take(late, 1.2) == late


def test_evidence_that_has_ended_is_withdrawn():
    """Guards against an upstream that stays slow after its requests went on."""
    outbox, reports = speedsharing.Outbox(), speedsharing.ReportedSpeeds()
    none = speedsharing.upstreamspeeds.NO_EVIDENCE
    late = {"u1": speedsharing.upstreamspeeds.Evidence(late=14)}
    sharing = speedsharing.SpeedSharing()
    for rows, now in ((late, 0.0), ({}, 0.1)):
        sent = speedsharing.to_wire(outbox.take(rows, now))
        sharing.store(reports, "a", sent, now)
    assert reports.sum("u1", 0.2) == none
    assert outbox.take({}, 5.0) == {}
