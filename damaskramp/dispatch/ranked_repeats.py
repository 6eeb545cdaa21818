"""Repeats of one service by the rank of their chains, and what higher ranks need.

A repeat is worth most where it completes an important chain. In a stress that lasts, a
higher rank will want in each window as many repeats as it does now. A lower rank may
use the rest.

Examples
--------
>>> ranked = RankedRepeats()
>>> for part in range(10, 14):
...     for _ in range(3):
...         ranked.record_wanted(0, part)
>>> ranked.reserved_above(2, 14), ranked.reserved_above(0, 14)
(60.0, 0)
>>> ranked.outranks_others(0, 14)
False
>>> ranked.record_wanted(2, 14)
>>> ranked.outranks_others(0, 14), ranked.outranks_others(2, 14)
(True, False)
"""

from collections import defaultdict

from damaskramp.dispatch.window_counts import PARTS_PER_WINDOW, WindowCounts

__all__ = ["RankedRepeats"]

RECENT_PARTS = 2
"""Number of whole parts of a window, 1 s of the usual window, from which the need is
estimated, besides the part that has begun. One part alone holds only a few repeats of a
host."""


class RankedRepeats:
    """Repeats of one service that each rank wanted and spent."""

    def __init__(self) -> None:
        self._wanted: dict[int, WindowCounts] = defaultdict(WindowCounts)
        self._spent: dict[int, WindowCounts] = defaultdict(WindowCounts)

    def record_wanted(self, rank: int, part: int) -> None:
        """Record that a request of a rank wants a repeat."""
        self._wanted[rank].add(part)

    def record_spent(self, rank: int, part: int) -> None:
        """Record that a request of a rank is repeated."""
        self._spent[rank].add(part)

    def reserved_above(self, rank: int, part: int) -> float:
        """Number of repeats that the higher ranks are expected to need further."""
        return sum(
            max(0.0, self._need(wanted, part) - self._spent_by(other, part))
            for other, wanted in self._wanted.items()
            if other < rank
        )

    def outranks_others(self, rank: int, part: int) -> bool:
        """Whether only lower ranks, and at least one, wanted repeats in this window."""
        first = part - PARTS_PER_WINDOW
        others = [
            other
            for other, wanted in self._wanted.items()
            if other != rank and wanted.sum(first, part)
        ]
        return bool(others) and rank < min(others)

    def _need(self, wanted: WindowCounts, part: int) -> float:
        """Repeats that a rank wants in a window at its present rate."""
        # The largest count rather than the mean, so that a stress that begins shows
        # in the part that follows.
        counts = (wanted.sum(part - n, part - n) for n in range(RECENT_PARTS + 1))
        return PARTS_PER_WINDOW * max(counts)

    def _spent_by(self, rank: int, part: int) -> float:
        return self._spent[rank].sum(part - PARTS_PER_WINDOW, part)
