"""How many services lie below one another in the call graph.

A request that is run again makes its calls again, and these make theirs, so a repeat
near the top of the graph costs one at each service below. Nodes learn the depth of a
service from its answers: each node tells how many levels its own backend server's calls
reach down.

Examples
--------
>>> depths = CallDepths()
>>> depths.of("draws")
1
>>> depths.heard("draws", 0, 10.0)
>>> depths.called("draws", 10.0)
>>> depths.of("draws"), depths.own(10.0), depths.own(99.0)
(0, 1, 0)
"""

from damaskramp.core.ids import ServiceName

__all__ = ["CallDepths"]

MEMORY_SECONDS = 30.0
"""Time for which a call or a greater depth is remembered; call graphs change with
releases, not with requests."""

DEEPEST = 32
"""Greatest depth told, so that a graph with a circle has one."""

UNKNOWN_DEPTH = 1
"""Depth of a service that has not answered yet."""


class CallDepths:
    """Depths of services and of this host's own calls."""

    def __init__(self) -> None:
        self._told: dict[ServiceName, tuple[int, float]] = {}
        self._called: dict[ServiceName, float] = {}

    def heard(self, service: ServiceName, depth: int, now: float) -> None:
        """Note the depth that a host of a service has told.

        A smaller one is believed only after a while: a host that has just started has
        not seen its server's calls yet.
        """
        known = self._told.get(service)
        if known is None or depth >= known[0] or now - known[1] > MEMORY_SECONDS:
            self._told[service] = (depth, now)

    def of(self, service: ServiceName) -> int:
        """Levels of services below one."""
        known = self._told.get(service)
        return UNKNOWN_DEPTH if known is None else known[0]

    def called(self, service: ServiceName, now: float) -> None:
        """Note a call that the backend server of this host has made."""
        self._called[service] = now

    def own(self, now: float) -> int:
        """Levels of services below that of this host."""
        recent = [s for s, at in self._called.items() if now - at <= MEMORY_SECONDS]
        return max((min(DEEPEST, 1 + self.of(s)) for s in recent), default=0)
