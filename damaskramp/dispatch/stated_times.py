"""Times that calls state until they expire, to recognise limits of the calls' own.

A call expires with the request that made it, or earlier if it has a limit of its own.
In the second case its stated time says nothing about that request. Such a limit shows
as a stated time that recurs although it equals the deadline of hardly any running
request; a match of such a time is a coincidence.

Examples
--------
>>> times = StatedTimes()
>>> [times.record("entries", 700, matched=False) for _ in range(4)]
[False, False, True, True]
>>> times.record("entries", 412, matched=True)
False
"""

__all__ = ["StatedTimes"]

OWN_LIMIT_SIGHTINGS = 3
"""Number of calls with the same stated time from which it can count as a limit of the
calls' own."""

OWN_LIMIT_MATCHED_SHARE = 0.5
"""Share of the calls with the same stated time that match a running request, up to
which that time counts as a limit of their own. Of calls with such a limit 11 % matched
by coincidence; of others nearly all match."""

MAX_STATED_TIMES = 512
"""Number of stated times that are remembered for each route."""


class StatedTimes:
    """Times in milliseconds that the calls of each route state."""

    def __init__(self) -> None:
        self._routes: dict[str, dict[int, list[int]]] = {}
        self._longest_ms: dict[str, int] = {}

    def record(self, route: str, stated_ms: int, matched: bool) -> bool:
        """Record a call; return whether its stated time is a limit of its own."""
        times = self._routes.setdefault(route, {})
        counts = times.get(stated_ms)
        if counts is None:
            if len(times) >= MAX_STATED_TIMES:
                self._routes[route] = times = _recurring(times)
            counts = times[stated_ms] = [0, 0]
            if stated_ms > self._longest_ms.get(route, 0):
                self._longest_ms[route] = stated_ms
        counts[0] += 1
        counts[1] += matched
        seen, hits = counts
        return seen >= OWN_LIMIT_SIGHTINGS and hits <= OWN_LIMIT_MATCHED_SHARE * seen

    def longest_ms(self, route: str) -> int:
        """Longest of the times, in milliseconds, that a route's calls state."""
        return self._longest_ms.get(route, 0)


def _recurring(times: dict[int, list[int]]) -> dict[int, list[int]]:
    """Halve the counts, and drop the times that hardly recur."""
    halved = {
        stated: [seen // 2, hits // 2]
        for stated, (seen, hits) in times.items()
        if seen >= 2 * OWN_LIMIT_SIGHTINGS
    }
    return halved if len(halved) < MAX_STATED_TIMES else {}
