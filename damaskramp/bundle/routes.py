"""Lookup of the route of a request."""

from damaskramp.bundle.model import Bundle, Route

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of a bundle, ordered for longest-prefix matching.

    Parameters
    ----------
    bundle : Bundle
        Bundle whose routes are matched.
    """

    def __init__(self, bundle: Bundle) -> None:
        self._routes = sorted(bundle.routes, key=_specificity, reverse=True)

    def match(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` that allows `method`."""
        for route in self._routes:
            if not _is_under(path, route.prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None


def _specificity(route: Route) -> tuple[int, bool]:
    return len(route.prefix), bool(route.methods)


def _is_under(path: str, prefix: str) -> bool:
    """Return whether `path` equals `prefix` or lies below it.

    Examples
    --------
    >>> _is_under("/draws/3", "/draws"), _is_under("/drawsX", "/draws")
    (True, False)
    """
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
