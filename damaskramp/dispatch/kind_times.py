"""Moving averages of run times by kind of request."""

__all__ = ["KindTimes"]

MAX_KINDS = 256
"""Most kinds of requests whose run times are kept; a server has some dozen routes."""


class KindTimes(dict[str, float]):
    """Mean run times by kind, in seconds.

    Parameters
    ----------
    weight : float
        Weight of the newest time in the moving average.

    Examples
    --------
    >>> times = KindTimes(weight=0.1)
    >>> times.record("list", 2.0)
    >>> times.record("list", 3.0)
    >>> times["list"]
    2.1
    """

    def __init__(self, weight: float) -> None:
        super().__init__()
        self._weight = weight

    def record(self, kind: str, took: float) -> None:
        """Record a run of a kind."""
        mean = self.get(kind)
        if mean is None:
            if len(self) >= MAX_KINDS:
                self.clear()
            mean = took
        self[kind] = mean + self._weight * (took - mean)
