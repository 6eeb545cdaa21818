"""Counts of events in the parts of a sliding window."""

__all__ = ["PARTS_PER_WINDOW", "WindowCounts"]

PARTS_PER_WINDOW = 20
"""Number of parts in which a window is counted. Repeats are counted over one part more
than the window, so that the coarse count never allows more than an exact one."""


class WindowCounts:
    """Number of events in each part of a window."""

    def __init__(self) -> None:
        self._parts: dict[int, float] = {}

    def add(self, part: int, amount: float = 1.0) -> None:
        """Count events in a part."""
        self._parts[part] = self._parts.get(part, 0.0) + amount
        if len(self._parts) > 4 * PARTS_PER_WINDOW:
            for old in [
                key for key in self._parts if key < part - 3 * PARTS_PER_WINDOW
            ]:
                del self._parts[old]

    def sum(self, first: int, last: int) -> float:
        """Number of events from the first to the last part."""
        return sum(n for key, n in self._parts.items() if first <= key <= last)
