"""The circuit breaker of the rating client: a service that hangs delays few answers."""

import attrs
import pytest
from masticpost_upstream import rating

REQUEST = rating.RateRequest(service="s", version="v", prompt="p", answer="a")


@attrs.define(kw_only=True)
class FakeService:
    """Fake rating service; returns `score`, None for a failure, and counts requests."""

    score: float | None = None
    requests: int = 0

    async def request_score(self, url, req):
        self.requests += 1
        return self.score


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def client(service, monkeypatch):
    rating_client = rating.RatingClient()
    monkeypatch.setattr(rating_client, "_request_score", service.request_score)
    return rating_client


async def test_failures_open_the_breaker(client, service):
    for _ in range(20):
        assert await client.rate("u", REQUEST) is None
    assert service.requests == rating.FAILURES_TO_BLOCK


async def test_one_request_probes_an_open_breaker(client, service, monkeypatch):
    for _ in range(rating.FAILURES_TO_BLOCK):
        await client.rate("u", REQUEST)
    now = rating.time.monotonic()
    monkeypatch.setattr(rating.time, "monotonic", lambda: now + rating.BLOCK_S + 1)
    for _ in range(5):
        assert await client.rate("u", REQUEST) is None
    assert service.requests == rating.FAILURES_TO_BLOCK + 1


async def test_successful_probe_closes_the_breaker(client, service, monkeypatch):
    for _ in range(rating.FAILURES_TO_BLOCK):
        await client.rate("u", REQUEST)
    now = rating.time.monotonic()
    monkeypatch.setattr(rating.time, "monotonic", lambda: now + rating.BLOCK_S + 1)
    service.score = 0.7
    for _ in range(5):
        assert await client.rate("u", REQUEST) == 0.7


async def test_few_failures_do_not_open_the_breaker(client, service):
    for score in (None, None, 0.5, None, None, 0.5):
        service.score = score
        assert await client.rate("u", REQUEST) == score
    assert service.requests == 6
