"""Copies of an instance's components, on which a request is decided without a trace."""

import copy

import attrs

from masticpost_gateway import shared


def of(parts: shared.Shared) -> shared.Shared:
    """Return components that decide alike, and record what they are told by themselves.

    They are for one question, asked at once. What they share with the instance is only
    read; loads and speed factors may be computed and kept there until they change.
    """
    places = parts.placement.copy()
    return attrs.evolve(
        parts,
        placement=places,
        chooser=parts.chooser.copy(places),
        forecasts=parts.forecasts.copy(places),
        contention=parts.contention.copy(),
        isolation=copy.copy(parts.isolation),
    )
