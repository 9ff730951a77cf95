"""A steady load on several instances, and the arrivals at an upstream with a rate."""

import asyncio
import bisect
import random

import attrs
from masticpost_common import clock

# Window, in seconds, in which an upstream counts what reaches it.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5.0
# Part of its rate that must reach an upstream while there is demand.
USED_SHARE = 0.8


@attrs.define(kw_only=True)
class Arrivals:
    """Times at which requests reached an upstream, in seconds, and its rate."""

    rate: float
    times: list[float] = attrs.field(factory=list)

    def most(self, since: float = 0.0) -> int:
        """Return the most arrivals in a window that begins at `since` or later."""
        times = sorted(at for at in self.times if at >= since)
        return max(
            (
                bisect.bisect_right(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    @property
    def allowed(self) -> float:
        """Most arrivals in a window that the upstream bears."""
        return ALLOWED_FACTOR * WINDOW_S * self.rate + ALLOWED_SLACK

    def used(self, since: float, until: float) -> float:
        """Return the arrivals between two times, as a share of the rate."""
        count = sum(since <= at < until for at in self.times)
        return count / (self.rate * (until - since))


def owed_share(rows, offered, for_s):
    """Return the share of the rates of `rows` that must be used of an offered load.

    It is less than `USED_SHARE` only where fewer requests were offered than the
    upstreams take, as by a caller without processor time.
    """
    taken_s = sum(row.rate for row in rows)
    return USED_SHARE * min(1.0, offered / (taken_s * for_s))


async def send_steadily(send, *, per_s, for_s, instances, seed=1):
    """Send requests through instances picked at random, unevenly, and return replies.

    Parameters
    ----------
    send : callable
        Coroutine function that sends the request of a number through an instance.
    """
    rng = random.Random(seed)
    weights = [rng.uniform(0.2, 2.0) for _ in range(instances)]
    tasks, ends_at = [], clock.now() + for_s
    while clock.now() < ends_at:
        via = rng.choices(range(instances), weights)[0]
        tasks.append(asyncio.ensure_future(send(len(tasks), via)))
        await asyncio.sleep(rng.expovariate(per_s))
    return await asyncio.gather(*tasks)
