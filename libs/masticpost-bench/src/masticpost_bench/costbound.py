"""A lower bound of the cost, computed by an oracle that knows every difficulty.

The oracle starts with every request on the cheapest level and upgrades requests to the
best level, those with the most quality per extra cost first, until the mean quality of
the service meets its target. The last upgrade may be a fraction of a request, so no
policy with the same levels and target can be cheaper.
"""

import attrs

from masticpost_bench import layout


@attrs.frozen(kw_only=True)
class KnownRequest:
    """A request with the difficulty and token counts that only the oracle knows."""

    service: str
    difficulty: float
    prompt_tokens: int
    output_tokens: int


def expected_quality(version: str, difficulty: float) -> float:
    """Return the quality of an engine stand-in's answer at a difficulty (0 to 1)."""
    base = layout.QUALITIES[version]
    return base - difficulty * (1 - base)


def request_cost(
    plan: layout.Layout, version: str, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the cost of a request on a version."""
    row = plan.versions[version]
    input_cost = prompt_tokens * float(row["input_price"])
    output_cost = output_tokens * float(row["output_price"])
    return (input_cost + output_cost) / 1e6


def oracle_cost(
    plan: layout.Layout, requests: list[KnownRequest], cheap: str, best: str
) -> float:
    """Return the least total cost at the services' quality targets."""
    total = 0.0
    for name in sorted({req.service for req in requests}):
        group = [req for req in requests if req.service == name]
        target = float(plan.services[name]["quality_target"])
        total += _service_cost(plan, group, target, cheap, best)
    return total


def _service_cost(
    plan: layout.Layout,
    requests: list[KnownRequest],
    target: float,
    cheap: str,
    best: str,
) -> float:
    """Return the least cost at which the mean quality of a service meets `target`."""
    missing = target * len(requests) - sum(
        expected_quality(cheap, req.difficulty) for req in requests
    )
    cost = sum(
        request_cost(plan, cheap, req.prompt_tokens, req.output_tokens)
        for req in requests
    )
    for extra, gain in sorted(
        (_upgrade(plan, req, cheap, best) for req in requests),
        key=lambda upgrade: upgrade[0] / upgrade[1],
    ):
        if missing <= 0:
            break
        part = min(1.0, missing / gain)
        cost += part * extra
        missing -= part * gain
    return cost


def _upgrade(
    plan: layout.Layout, req: KnownRequest, cheap: str, best: str
) -> tuple[float, float]:
    """Return the extra cost and the gained quality of the best level for a request."""
    tokens = (req.prompt_tokens, req.output_tokens)
    extra = request_cost(plan, best, *tokens) - request_cost(plan, cheap, *tokens)
    gain = expected_quality(best, req.difficulty) - expected_quality(
        cheap, req.difficulty
    )
    return extra, gain
