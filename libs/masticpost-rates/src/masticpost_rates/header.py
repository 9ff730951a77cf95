"""Parsing of the rate that an upstream names in a response header."""

import collections.abc
import re

# Requests per second.
MIN_RATE = 1e-3
MAX_RATE = 1e6
DECIMAL = re.compile(r"[0-9]{1,7}(\.[0-9]{1,12})?", re.ASCII)
# Characters of a value that is not valid, for the log.
SHOWN_CHARS = 40


class InvalidRateError(ValueError):
    """A header does not hold one decimal number in the range of rates."""


def parse(values: collections.abc.Sequence[str]) -> float | None:
    """Return the rate in the values of a header.

    Parameters
    ----------
    values : sequence of str
        Values of all headers of that name in one response.

    Returns
    -------
    float or None
        Requests per second; None without a header.

    Raises
    ------
    InvalidRateError
        The value is not a single decimal number from `MIN_RATE` to `MAX_RATE`.
    """
    if not values:
        return None
    text = ",".join(values).strip(" \t")
    if not DECIMAL.fullmatch(text):
        raise InvalidRateError(f"not a decimal number: {text[:SHOWN_CHARS]!r}")
    rate = float(text)
    if not is_valid(rate):
        raise InvalidRateError(f"out of range: {text[:SHOWN_CHARS]!r}")
    return rate


def is_valid(rate: float) -> bool:
    """Return whether a number is in the range of rates."""
    return MIN_RATE <= rate <= MAX_RATE
