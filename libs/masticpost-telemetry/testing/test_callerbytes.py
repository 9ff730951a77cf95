"""Which caller is given up, and when."""

import types

import attrs
import pytest
from masticpost_telemetry import callerbytes, callerguard

LIMIT = 100_000
DEFAULTS = callerbytes.CallerLimits()


@attrs.define(eq=False, kw_only=True)
class Conn:
    """A connection as the guard sees it."""

    size: int = 0
    is_evictable: bool = True
    is_rejected: bool = False
    reasons: list = attrs.field(factory=list)
    connections: int = 100

    def limits(self):
        return attrs.evolve(DEFAULTS, connections=self.connections)

    def held(self):
        return self.size

    def check(self, now):
        pass

    def reject(self, limit, *, is_abrupt=False):
        self.is_rejected, self.is_evictable = True, False
        self.reasons.append(limit)


@pytest.fixture
def now(monkeypatch):
    at = types.SimpleNamespace(s=0.0)
    monkeypatch.setattr(callerguard.clock, "now", lambda: at.s)
    return at


@pytest.fixture
def guard(now):
    return callerguard.Guard(limit=LIMIT)


def opened(guard, size=0, **fields):
    conn = Conn(size=size, **fields)
    guard.open(conn, [*guard.account.parts, conn])
    return conn


def test_nobody_is_evicted_within_the_limit(guard):
    conns = [opened(guard, LIMIT // 4) for _ in range(4)]
    assert guard.account.held == LIMIT
    assert not any(conn.is_rejected for conn in conns)


def test_largest_of_the_stalled_is_evicted_first(guard):
    small, large = opened(guard, 10_000), opened(guard, 60_000)
    last = opened(guard, 40_000)
    assert large.reasons == [callerguard.MEMORY]
    assert not small.is_rejected and not last.is_rejected
    assert guard.account.held == 50_000


# Guards against a large upload that moves being given up for stalled ones.
def test_caller_that_makes_progress_is_kept(guard, now):
    stalled, moving = opened(guard, 40_000), opened(guard, 50_000)
    now.s = 20.0
    guard.record_read(moving, callerbytes.PROGRESS_BYTES, now.s)
    opened(guard, 20_000)
    assert stalled.is_rejected and not moving.is_rejected


# Guards against stalled callers that send a byte now and then to be spared.
def test_single_bytes_are_no_progress(guard, now):
    trickling, moving = opened(guard, 40_000), opened(guard, 50_000)
    now.s = 20.0
    for _ in range(20):
        guard.record_read(trickling, 1, now.s)
    guard.record_read(moving, callerbytes.PROGRESS_BYTES, now.s)
    opened(guard, 20_000)
    assert trickling.is_rejected and not moving.is_rejected


# Guards against a rejection of a request that may have run.
def test_running_requests_are_kept_and_the_new_one_is_rejected(guard, now):
    running = [opened(guard, 45_000, is_evictable=False) for _ in range(2)]
    now.s = 60.0
    new = opened(guard, 20_000)
    assert new.is_rejected
    assert not any(conn.is_rejected for conn in running)


def test_most_stalled_connection_makes_room_for_a_new_one(guard, now):
    busy = opened(guard, is_evictable=False, connections=2)
    now.s = 1.0
    idle = opened(guard, connections=2)
    now.s = 2.0
    new = opened(guard, connections=2)
    assert idle.reasons == [callerguard.CONNECTIONS]
    assert not busy.is_rejected and not new.is_rejected
    idle.is_evictable = new.is_evictable = False
    last = opened(guard, connections=2)
    assert last.reasons == [callerguard.CONNECTIONS]


def test_closed_connections_hold_nothing(guard):
    conn = opened(guard, 50_000)
    guard.close(conn)
    guard.close(conn)
    guard.update(conn)
    assert guard.account.held == 0


@pytest.mark.parametrize(
    ("name", "field", "limit_s"),
    [
        ("head time", "head_since", DEFAULTS.head_s),
        ("body time", "body_since", DEFAULTS.body_gap_s),
        ("answer time", "answer_since", DEFAULTS.read_gap_s),
    ],
)
def test_time_limits(name, field, limit_s):
    times = {"head_since": None, "body_since": None, "answer_since": None, field: 5.0}
    conn = types.SimpleNamespace(**times)
    assert callerbytes.find_overdue(conn, DEFAULTS, 5.0 + limit_s) == ""
    assert callerbytes.find_overdue(conn, DEFAULTS, 5.1 + limit_s) == name


# Guards against limits that the smallest machine cannot keep, or no request can pass.
def test_limits_of_the_smallest_machine():
    assert callerbytes.byte_limit(160 * 2**20, 4 * 2**20) >= 3 * 4 * 2**20
    assert callerbytes.byte_limit(160 * 2**20, 4 * 2**20) < 20 * 2**20
    assert callerbytes.connection_limit(1_638) == 795
    assert callerbytes.connection_limit(0) == callerbytes.MIN_CONNECTIONS
    many_short = [(b"a", b"b")] * 128
    assert callerbytes.head_cost(many_short) > 128 * callerbytes.FIELD_BYTES


def test_rejections_are_logged_and_counted_by_limit(guard):
    opened(guard, LIMIT + 1)
    assert guard.rejected == {callerguard.MEMORY: 1}
    guard.check(0.0)
    assert not guard.rejected
