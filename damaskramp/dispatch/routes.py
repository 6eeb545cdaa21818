"""Choice of a route by host and longest path prefix, and of its service by weight.

Examples
--------
>>> from damaskramp.fleet.model import Route, WeightedService
>>> def route(prefix, *targets):
...     parts = tuple(WeightedService(*target) for target in targets)
...     return Route(prefix, "a.example", prefix, parts, True, 1, 1, 1, 0, True)
>>> table = RouteTable((route("/", ("x", 1)), route("/draws/", ("y", 3), ("z", 1))))
>>> table.find("a.example", "/draws/7").route.prefix
'/draws/'
>>> [table.find("a.example", "/draws/7").next_service() for _ in range(4)]
['y', 'y', 'z', 'y']
>>> table.find("b.example", "/draws/7") is None
True
"""

from damaskramp.core.ids import ServiceName
from damaskramp.fleet.model import Route

__all__ = ["RouteEntry", "RouteTable"]


class RouteEntry:
    """A route with the state of its weighted round robin among services."""

    __slots__ = ("_credits", "_total_weight", "route")

    def __init__(self, route: Route) -> None:
        self.route = route
        self._credits = [0.0] * len(route.targets)
        self._total_weight = sum(target.weight for target in route.targets)

    def next_service(self) -> ServiceName:
        """Service of the next request by smooth weighted round robin.

        Every sequence of consecutive requests is divided as evenly as the weights
        allow, so the weights also hold over short times.
        """
        targets = self.route.targets
        if len(targets) == 1:
            return targets[0].service
        chosen = 0
        for index, target in enumerate(targets):
            self._credits[index] += target.weight
            if self._credits[index] > self._credits[chosen]:
                chosen = index
        self._credits[chosen] -= self._total_weight
        return targets[chosen].service


class RouteTable:
    """Routes of one configuration, looked up by host and path."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._hosts: dict[str, dict[str, RouteEntry]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = RouteEntry(route)

    def find(self, host: str, path: str) -> RouteEntry | None:
        """Route with the longest matching prefix of the path; None if there is none."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
