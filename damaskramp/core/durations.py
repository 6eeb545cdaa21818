"""Durations written as a number and its unit."""

import re

__all__ = ["parse_seconds"]

UNITS = {"ms": 0.001, "s": 1.0}
"""Seconds of each unit of time."""

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_seconds(value: object) -> float | None:
    """Seconds of a text such as ``1500ms``; None for anything else.

    Examples
    --------
    >>> parse_seconds("1500ms"), parse_seconds("2.5s"), parse_seconds("soon")
    (1.5, 2.5, None)
    """
    found = DURATION.fullmatch(value) if isinstance(value, str) else None
    return float(found[1]) * UNITS[found[2]] if found else None
