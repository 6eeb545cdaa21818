"""Number of calls that the requests of each kind make, learned from lineage.

The calls of a route are divided among the kinds of requests in the ratio of their sure
matches. If hardly any call matches, as with short limits of their own, this is possible
only where nearly all runs are of one kind. Nothing is learned from a period in which
calls failed, because a request whose call fails makes no further ones.

Examples
--------
>>> calls = CallsPerRun()
>>> for n in range(90):
...     calls.record_run("entries", n * 0.1)
...     for _ in range(4):
...         calls.record_call("deep", "", n * 0.1)
>>> calls.of_kind("entries")
{'deep': 4.0}
"""

from collections import Counter

__all__ = ["CallsPerRun"]

PERIOD_SECONDS = 2.0
"""Length of the periods in which calls and runs are counted."""

MIN_RUNS = 20
"""Number of runs in a period from which it counts."""

MIN_MATCHES = 8
"""Number of sure matches in a period from which they divide a route's calls."""

MAIN_KIND_SHARE = 0.95
"""Share of the runs from which one kind is taken to have made all calls."""

MAX_FAILED_SHARE = 0.1
"""Share of failed calls in a period above which nothing is learned from it."""

MIN_CALLS = 0.05
"""Number of calls for each run below which a kind does not count as making them."""

SMOOTHING = 0.3
"""Weight of the newest period in the moving average."""


class _Period:
    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.matches: Counter[tuple[str, str]] = Counter()


class CallsPerRun:
    """Calls that the runs at one backend server make, by kind and route of the call."""

    def __init__(self) -> None:
        self._number = -1
        self._period = _Period()
        self._means: dict[str, dict[str, float]] = {}

    def record_run(self, kind: str, now: float) -> None:
        """Record a run of a kind of requests."""
        if int(now / PERIOD_SECONDS) != self._number:
            self._rotate(now)
        self._period.runs[kind] += 1

    def record_call(self, route: str, parent_kind: str, now: float) -> None:
        """Record a call; `parent_kind` is empty unless its maker is surely known."""
        self._rotate(now)
        self._period.calls[route] += 1
        if parent_kind:
            self._period.matches[parent_kind, route] += 1

    def record_failed_call(self, route: str) -> None:
        """Record that a call has failed in the end."""
        self._period.failed[route] += 1

    def of_kind(self, kind: str) -> dict[str, float]:
        """Calls of each route for each run of a kind; empty if none are known."""
        return self._means.get(kind, {})

    def _rotate(self, now: float) -> None:
        number = int(now / PERIOD_SECONDS)
        if number == self._number:
            return
        period, self._period, self._number = self._period, _Period(), number
        for route, calls in period.calls.items():
            if period.failed[route] <= MAX_FAILED_SHARE * calls:
                self._learn(route, calls, period)

    def _learn(self, route: str, calls: int, period: _Period) -> None:
        shares = _shares(route, period)
        for kind, share in shares.items():
            runs = period.runs[kind]
            if runs < MIN_RUNS:
                continue
            means = self._means.setdefault(kind, {})
            new = calls * share / runs
            mean = means.get(route, new)
            mean += SMOOTHING * (new - mean)
            means[route] = mean
            if mean < MIN_CALLS:
                del means[route]


def _shares(route: str, period: _Period) -> dict[str, float]:
    """Shares of a route's calls that each kind has made; empty if not known."""
    matches = {kind: period.matches[kind, route] for kind in period.runs}
    total = sum(matches.values())
    if total >= MIN_MATCHES:
        return {kind: count / total for kind, count in matches.items()}
    runs = sum(period.runs.values())
    main, count = max(period.runs.items(), key=lambda item: item[1], default=("", 0))
    return {main: 1.0} if count > MAIN_KIND_SHARE * runs else {}
