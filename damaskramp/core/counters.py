"""Counters as plain integers, cheap enough for the path of every call.

Examples
--------
>>> counters = Counters()
>>> counters.add("refused", reason="over_rate")
>>> counters.add("refused", 2, reason="over_rate")
>>> counters.values
{('refused', 'over_rate'): 3}
"""

__all__ = ["Counters"]


class Counters:
    """Event counts by name and reason, and duration histograms by name."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str], int] = {}
        self._times: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    BOUNDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
    """Upper bounds of the histograms' buckets in seconds, half a decade apart."""

    @property
    def values(self) -> dict[tuple[str, str], int]:
        """Counts by name and reason; the reason is empty if there is none."""
        return self._values

    @property
    def times(self) -> dict[str, tuple[list[int], float]]:
        """Bucket counts and sum in seconds of each histogram."""
        return {name: (list(n), self._sums[name]) for name, n in self._times.items()}

    def add(self, name: str, amount: int = 1, reason: str = "") -> None:
        """Add to the count of an event."""
        key = (name, reason)
        self._values[key] = self._values.get(key, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        buckets = self._times.get(name)
        if buckets is None:
            buckets = self._times[name] = [0] * (len(self.BOUNDS) + 1)
            self._sums[name] = 0.0
        for index, bound in enumerate(self.BOUNDS):
            if seconds <= bound:
                buckets[index] += 1
                break
        else:
            buckets[-1] += 1
        self._sums[name] += seconds
