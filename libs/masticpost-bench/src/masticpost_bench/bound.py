"""A lower bound of the cost: an oracle that knows each request's difficulty.

It answers every request from the cheapest level and moves requests to the best level,
the ones that gain most quality for their extra cost first, until the mean quality of
the service meets its target. The last move may be a fraction of a request, so that no
policy with the same levels and target can be cheaper.
"""

import attrs

from masticpost_bench import layout


@attrs.frozen(kw_only=True)
class Known:
    """A request as the oracle knows it."""

    service: str
    hard: float
    prompt_tokens: int
    output_tokens: int


def quality_of(version: str, hard: float) -> float:
    """Return the quality that the engine stand-in gives at a difficulty."""
    base = layout.QUALITIES[version]
    return base - hard * (1 - base)


def cost_of(
    plan: layout.Layout, version: str, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the cost of a request on a version."""
    row = plan.versions[version]
    paid_in = prompt_tokens * float(row["input_price"])
    paid_out = output_tokens * float(row["output_price"])
    return (paid_in + paid_out) / 1e6


def oracle_cost(
    plan: layout.Layout, known: list[Known], cheap: str, best: str
) -> float:
    """Return the least total cost at the services' quality targets."""
    total = 0.0
    for name in sorted({item.service for item in known}):
        group = [item for item in known if item.service == name]
        target = float(plan.services[name]["quality_target"])
        total += _service_cost(plan, group, target, cheap, best)
    return total


def _service_cost(
    plan: layout.Layout, group: list[Known], target: float, cheap: str, best: str
) -> float:
    missing = target * len(group) - sum(quality_of(cheap, i.hard) for i in group)
    cost = sum(cost_of(plan, cheap, i.prompt_tokens, i.output_tokens) for i in group)
    for extra, gain in sorted(
        (_move(plan, item, cheap, best) for item in group),
        key=lambda move: move[0] / move[1],
    ):
        if missing <= 0:
            break
        part = min(1.0, missing / gain)
        cost += part * extra
        missing -= part * gain
    return cost


def _move(
    plan: layout.Layout, item: Known, cheap: str, best: str
) -> tuple[float, float]:
    """Return the extra cost and the gained quality of the best level."""
    tokens = (item.prompt_tokens, item.output_tokens)
    extra = cost_of(plan, best, *tokens) - cost_of(plan, cheap, *tokens)
    gain = quality_of(best, item.hard) - quality_of(cheap, item.hard)
    return extra, gain
