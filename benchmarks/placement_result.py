"""Results of `placement_model`."""

import statistics
from dataclasses import dataclass, field

__all__ = ["Result"]


@dataclass
class Result:
    """Results as seen by callers; times in seconds."""

    asked: dict[str, int] = field(default_factory=dict)
    in_time: dict[str, int] = field(default_factory=dict)
    took: dict[str, list[float]] = field(default_factory=dict)
    refused_after: dict[str, list[float]] = field(default_factory=dict)
    last_arrival: dict[str, float] = field(default_factory=dict)
    messages: int = 0
    left_zone: int = 0

    def arrived(self, zone: str, now: float) -> None:
        """Record the arrival of a request at a server's node of a zone."""
        self.last_arrival[zone] = now

    def goodput(self, kind: str) -> float:
        """Share of a kind that was answered within the latency target."""
        return self.in_time.get(kind, 0) / max(1, self.asked.get(kind, 0))

    def time(self, kind: str, percent: int) -> float:
        """Percentile of the answer time of a kind."""
        return statistics.quantiles(self.took[kind], n=100)[percent - 1]

    def mean_time(self, kind: str) -> float:
        """Mean answer time of a kind."""
        return statistics.fmean(self.took[kind])
