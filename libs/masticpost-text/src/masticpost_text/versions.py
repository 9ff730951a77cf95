"""Rules for versions: shares of a model and stages of a roll-out."""

import collections.abc
import itertools

from masticpost_text import model, rules

SHARE_TOLERANCE = 1e-6


@rules.RULES.register("shares")
def check_shares(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """The shares of a model's active versions must add up to 100."""
    for name in sorted(text.models()):
        active = [v for v in text.versions_of(name) if v.state == "active"]
        total = sum(v.share for v in active)
        if not active or abs(total - model.SHARE_TOTAL) <= SHARE_TOLERANCE:
            continue
        yield rules.Problem(
            path=f"versions.{active[0].name}.share",
            message=f"shares of the active versions of {name!r} add up to {total:g}",
            remedy="make them add up to 100",
        )


@rules.RULES.register("stages")
def check_stages(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Stages must increase up to the share, with another version for the rest."""
    for ver in text.versions.values():
        if not ver.stages:
            continue
        base = f"versions.{ver.name}.stages"
        steps = (0.0, *ver.stages, ver.share)
        if any(low >= high for low, high in itertools.pairwise(steps)):
            yield rules.Problem(
                path=base,
                message="stages must rise from above 0 to below the share",
                remedy=f"write for example [1, 5, 20] below share {ver.share:g}",
            )
        if ver.stage_s < 0 or ver.stage_samples < 1:
            yield rules.Problem(
                path=base,
                message="stage_s must be 0 or more, stage_samples 1 or more",
                remedy="remove them to use the defaults",
            )
        yield from _check_rest(text, ver, base)


def _check_rest(
    text: model.Text, ver: model.Version, base: str
) -> collections.abc.Iterator[rules.Problem]:
    others = [
        other
        for other in text.versions_of(ver.model)
        if other.state == "active" and other.name != ver.name
    ]
    if any(other.stages for other in others):
        yield rules.Problem(
            path=base,
            message=f"two versions of {ver.model!r} are rolled out at once",
            remedy="remove the stages of one of them",
        )
    elif ver.state == "active" and not others:
        yield rules.Problem(
            path=base,
            message=f"no other active version of {ver.model!r} takes the rest",
            remedy="keep the old version active with share 0 until the end",
        )
