"""Pools of samples of how fast the models are, each of a group of instances.

An instance sends its new samples to the instance that holds the pool of its group, and
gets the estimates of the pool in the reply. The holders are chosen by rendezvous
hashing; one that takes over begins with an empty pool. Without a reply an instance
uses its own samples again after `speeds.POOLED_TTL_S`.
"""

import asyncio
import random

import attrs
import mode
from masticpost_common import clock, rendezvous
from masticpost_peers import hub, messages, probes

from masticpost_gateway.learning import speeds
from masticpost_gateway.sharing import mesh

# Instances that share a pool, so that a holder answers a bounded number of them.
GROUP_SIZE = 48
# Time between two messages of an instance. The first `FIRST_MESSAGES` follow each other
# sooner, since the instance only has initial estimates until a reply arrives.
PERIOD_S = 2.0
FIRST_PERIOD_S = 0.5
FIRST_MESSAGES = 4
# Time to wait for the reply of the holder.
TIMEOUT_S = 0.5
US_PER_S = 1e6


@attrs.frozen(kw_only=True)
class SampleRow:
    """New samples of a model, see `speeds.Samples`; times in microseconds."""

    service: str
    model: str
    prefills_us: list[float]
    decoded_tokens: int
    decoded_us: int


@messages.message("gateway-speed-samples")
@attrs.frozen(kw_only=True)
class SpeedSamples:
    """New samples of an instance."""

    rows: list[SampleRow]


@attrs.frozen(kw_only=True)
class EstimateRow:
    """Estimate for a model, see `speeds.Estimate`; times in microseconds."""

    service: str
    model: str
    prefill_token_us: float
    decode_token_us: float


@messages.message("gateway-speeds")
@attrs.frozen(kw_only=True)
class SpeedEstimates:
    """Estimates of the pool of the receiver's group."""

    rows: list[EstimateRow]


class SpeedPooling(mode.Service):
    """Sends samples to the pool of this instance's group, and holds a pool if chosen.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    own : speeds.Speeds
        Samples to send, and the estimates to replace.
    """

    def __init__(self, *, peers: mesh.Mesh, own: speeds.Speeds) -> None:
        super().__init__()
        self.peers = peers
        self.own = own
        self.pool = speeds.SpeedPool()
        self._message_count = 0
        peers.hub.handle(SpeedSamples, self._on_samples)

    @mode.Service.task
    async def exchange(self) -> None:
        """Exchange samples for estimates until the service stops."""
        while not self.should_stop:
            is_early = self._message_count < FIRST_MESSAGES
            period_s = FIRST_PERIOD_S if is_early else PERIOD_S
            await asyncio.sleep(period_s * random.uniform(0.8, 1.2))
            await self.exchange_once()
            self.own.expire(clock.now())

    async def exchange_once(self) -> None:
        """Send the new samples, if any, and adopt the estimates of the reply."""
        samples = self.own.take()
        holder = self._holder()
        if not samples or holder is None:
            return
        self._message_count += 1
        if holder.name == self.peers.me.name:
            self.pool.add(samples)
            self.own.adopt(self.pool.estimates(), clock.now())
            return
        body = SpeedSamples(rows=_encode_samples(samples))
        try:
            reply = await self.peers.hub.call(holder.address, body, TIMEOUT_S)
        except hub.PeerUnreachableError:
            return
        self.own.adopt(_decode_estimates(reply), clock.now())

    def _holder(self) -> probes.Member | None:
        """Return the instance that holds the pool of this instance's group."""
        count = 1 + len(self.peers.names()) // GROUP_SIZE
        by_name = {row.name: row for row in self.peers.chosen("speeds", count)}
        if not by_name:
            return None
        return by_name[rendezvous.owner(by_name, self.peers.me.name)]

    async def _on_samples(
        self, envelope: messages.Envelope, body: SpeedSamples
    ) -> SpeedEstimates:
        self.pool.add(_decode_samples(body))
        return SpeedEstimates(rows=_encode_estimates(self.pool.estimates()))


def _encode_samples(samples: dict[speeds.Key, speeds.Samples]) -> list[SampleRow]:
    return [
        SampleRow(
            service=service,
            model=model,
            prefills_us=[round(value * US_PER_S, 2) for value in row.prefills],
            decoded_tokens=row.decoded_tokens,
            decoded_us=round(row.decoded_s * US_PER_S),
        )
        for (service, model), row in samples.items()
    ]


def _decode_samples(body: SpeedSamples) -> dict[speeds.Key, speeds.Samples]:
    return {
        (row.service, row.model): speeds.Samples(
            prefills=[value / US_PER_S for value in row.prefills_us],
            decoded_tokens=row.decoded_tokens,
            decoded_s=row.decoded_us / US_PER_S,
        )
        for row in body.rows
    }


def _encode_estimates(
    estimates: dict[speeds.Key, speeds.Estimate],
) -> list[EstimateRow]:
    return [
        EstimateRow(
            service=service,
            model=model,
            prefill_token_us=round(row.prefill_token_s * US_PER_S, 2),
            decode_token_us=round(row.decode_token_s * US_PER_S, 1),
        )
        for (service, model), row in estimates.items()
    ]


def _decode_estimates(body: SpeedEstimates) -> dict[speeds.Key, speeds.Estimate]:
    return {
        (row.service, row.model): speeds.Estimate(
            prefill_token_s=row.prefill_token_us / US_PER_S,
            decode_token_s=row.decode_token_us / US_PER_S,
        )
        for row in body.rows
    }
