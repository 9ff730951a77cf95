"""Rates that upstreams name, kept by several product daemons together."""

import asyncio
import time

import pytest
from masticpost_bench import deployment, layout
from support import rateload

INSTANCES = 4
SETTLE_S = 1.5
FOR_S = SETTLE_S + 1.5 * rateload.WINDOW_S
RATES = {"engine-0": 0.5, "engine-1": 3, "booking-0": 1, "booking-1": 4}


def sender(dep, way):
    """Return a function that sends the request of a number through an instance."""

    def send(number, via):
        entry = f"entry-{via}"
        if way == "book":
            return dep.book(f"rate-{number}", via=entry)
        return dep.chat(f"{number} [len=2]", stream=way == "stream", via=entry)

    return send


async def name_rates(dep):
    """Make the upstreams name their rates; return when."""
    for name, rate in RATES.items():
        await dep.set_faults(name, rate=str(rate))
    return time.time()


# Guards against upstreams that get a multiple of the rate that they have named, since
# each instance sends as if it were alone (issue 30, LIMIT).
@pytest.mark.parametrize("way", ["chat", "stream", "book"])
async def test_upstreams_get_no_more_than_the_rates_they_name_from_all_instances(way):
    names = [n for n in RATES if n.startswith("booking") == (way == "book")]
    plan = layout.small(instances=INSTANCES)
    async with deployment.Deployment(plan=plan) as dep:
        started = await name_rates(dep)
        replies = await rateload.send_steadily(
            sender(dep, way), per_s=30, for_s=FOR_S, instances=INSTANCES
        )
        assert {reply.status for reply in replies} <= {200, 201, 503}
        refused = [reply for reply in replies if reply.status == 503]
        assert refused
        assert all(reply.ran == "no" for reply in refused)
        assert all(float(reply.headers["Retry-After"]) > 0 for reply in refused)
        for name in names:
            times = (await dep.counts(name))["limited_arrivals"]
            row = rateload.Arrivals(rate=RATES[name], times=times)
            assert row.most(started + SETTLE_S) <= row.allowed, name
            if row.rate >= 1:
                since = started + SETTLE_S
                used = row.used(since, since + rateload.WINDOW_S)
                assert used >= rateload.USED_SHARE, name


async def test_what_is_no_rate_is_ignored():
    async with deployment.Deployment(plan=layout.small()) as dep:
        for text in ("nan", "-1", "1e400", "many"):
            for name in RATES:
                await dep.set_faults(name, rate=text)
            replies = await asyncio.gather(
                dep.chat("a [len=2]"), dep.chat("b [len=2]", stream=True)
            )
            assert {reply.status for reply in replies} == {200}
            assert (await dep.book(f"text-{text}")).status == 201
        assert not (await dep.status("entry-0"))["rates"]


async def test_rate_that_an_upstream_names_is_in_the_status():
    async with deployment.Deployment(plan=layout.small(instances=1)) as dep:
        await name_rates(dep)
        assert (await dep.book("one")).status == 201
        (row,) = (await dep.status("entry-0"))["rates"]
        assert RATES[row["upstream"]] == row["rate"]
        assert row["told_by"] == "entry-0"
