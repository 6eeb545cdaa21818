"""Depths of services: the number of levels of services below each in the call graph.

A request that is run again makes its calls again, and these calls make theirs, so a
repeat near the top of the graph costs a repeat at each service below. Nodes learn the
depth of a service from its answers, because each node reports how many levels the calls
of its own backend server reach.

Requests without a key may also come from clients other than the backend server. A
service therefore counts as called only if a large share of the server's runs call it.
Calls that fewer runs make cost little when those runs are repeated.

Examples
--------
>>> depths = CallDepths()
>>> depths.depth_of("draws")
2
>>> depths.record_reported_depth("draws", 0, 10.0)
>>> for _ in range(30):
...     depths.record_run(10.0)
...     depths.record_call("draws", 10.0)
>>> depths.depth_of("draws"), depths.own_depth(10.0), depths.own_depth(99.0)
(0, 1, -1)
"""

from collections import Counter

from damaskramp.core.ids import ServiceName

__all__ = ["CallDepths"]

RETENTION_SECONDS = 30.0
"""Time for which a greater reported depth is kept, and twice the length of the periods
in which calls and runs are counted. Call graphs change with releases, not with
requests."""

MAX_DEPTH = 32
"""Largest depth reported, so that the depth is finite in a call graph with a cycle."""

UNKNOWN = -1
"""Depth reported by a host that does not know it yet, for example for lack of runs."""

ASSUMED_DEPTH = 2
"""Depth assumed for a service that has reported none."""

MIN_CALLS_PER_RUN = 0.2
"""Number of calls for each run from which a service counts as called."""

MIN_RUNS = 30
"""Number of runs below which calls are too few to be distinguished from requests of
other clients."""


class _PeriodCounts:
    """Number of runs, and of calls for each service, in one period."""

    def __init__(self) -> None:
        self.runs = 0
        self.calls: Counter[ServiceName] = Counter()


class CallDepths:
    """Depths of other services, and the depth of this host's own calls."""

    def __init__(self) -> None:
        self._reported: dict[ServiceName, tuple[int, float]] = {}
        self._period = 0
        self._current = _PeriodCounts()
        self._previous = _PeriodCounts()

    def record_reported_depth(
        self, service: ServiceName, depth: int, now: float
    ) -> None:
        """Record the depth that a host of a service has reported.

        A smaller depth than the known one is accepted only after `RETENTION_SECONDS`,
        because a host that has just started has not seen its server's calls yet.
        """
        if depth == UNKNOWN:
            return
        known = self._reported.get(service)
        if known is None or depth >= known[0] or now - known[1] > RETENTION_SECONDS:
            self._reported[service] = (depth, now)

    def depth_of(self, service: ServiceName) -> int:
        """Number of levels of services below a service."""
        known = self._reported.get(service)
        return ASSUMED_DEPTH if known is None else known[0]

    def record_run(self, now: float) -> None:
        """Record a run at the backend server of this host."""
        self._rotate_periods(now)
        self._current.runs += 1

    def record_call(self, service: ServiceName, now: float) -> None:
        """Record a request without a key on this host."""
        self._rotate_periods(now)
        self._current.calls[service] += 1

    def own_depth(self, now: float) -> int:
        """Number of levels of services below that of this host, or `UNKNOWN`.

        It is unknown until there are enough runs and each called service has reported
        its depth.
        """
        self._rotate_periods(now)
        runs = self._current.runs + self._previous.runs
        if runs < MIN_RUNS:
            return UNKNOWN
        calls = self._current.calls + self._previous.calls
        min_calls = MIN_CALLS_PER_RUN * runs
        called = [service for service, count in calls.items() if count >= min_calls]
        if any(service not in self._reported for service in called):
            return UNKNOWN
        return max((min(MAX_DEPTH, 1 + self.depth_of(s)) for s in called), default=0)

    def _rotate_periods(self, now: float) -> None:
        period = int(2 * now / RETENTION_SECONDS)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else _PeriodCounts()
        self._current = _PeriodCounts()
        self._period = period
