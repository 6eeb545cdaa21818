"""Parser of durations that are written as a number and a unit."""

import re

__all__ = ["parse_seconds"]

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
"""Length in seconds of each unit of time."""

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


def parse_seconds(value: object) -> float | None:
    """Parse a duration such as ``1500ms`` into seconds; None for any other value.

    Examples
    --------
    >>> parse_seconds("1500ms"), parse_seconds("2.5s"), parse_seconds("soon")
    (1.5, 2.5, None)
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    return float(match[1]) * SECONDS_PER_UNIT[match[2]] if match else None
