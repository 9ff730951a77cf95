"""A rating service that hangs holds up a few answers, not every one."""

import attrs
import pytest
from masticpost_upstream import rating

REQUEST = rating.RateRequest(service="s", version="v", prompt="p", answer="a")


@attrs.define(kw_only=True)
class Service:
    """Scores by call, None for a failure; counts what was asked."""

    score: float | None = None
    asked: int = 0

    async def ask(self, url, req):
        self.asked += 1
        return self.score


@pytest.fixture
def service():
    return Service()


@pytest.fixture
def client(service, monkeypatch):
    made = rating.RatingClient()
    monkeypatch.setattr(made, "_request_score", service.ask)
    return made


async def test_failing_service_is_not_asked_for_a_while(client, service):
    for _ in range(20):
        assert await client.rate("u", REQUEST) is None
    assert service.asked == rating.FAILURES_TO_BLOCK


async def test_one_request_tries_it_again(client, service, monkeypatch):
    for _ in range(rating.FAILURES_TO_BLOCK):
        await client.rate("u", REQUEST)
    now = rating.time.monotonic()
    monkeypatch.setattr(rating.time, "monotonic", lambda: now + rating.BLOCK_S + 1)
    for _ in range(5):
        assert await client.rate("u", REQUEST) is None
    assert service.asked == rating.FAILURES_TO_BLOCK + 1


async def test_answer_opens_it_again(client, service, monkeypatch):
    for _ in range(rating.FAILURES_TO_BLOCK):
        await client.rate("u", REQUEST)
    now = rating.time.monotonic()
    monkeypatch.setattr(rating.time, "monotonic", lambda: now + rating.BLOCK_S + 1)
    service.score = 0.7
    for _ in range(5):
        assert await client.rate("u", REQUEST) == 0.7


async def test_single_failures_change_nothing(client, service):
    for score in (None, None, 0.5, None, None, 0.5):
        service.score = score
        assert await client.rate("u", REQUEST) == score
    assert service.asked == 6
