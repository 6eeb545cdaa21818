"""Exact count of the requests that reach a server in any span of one second.

The node can't observe when a server reads a request. It knows that a request which
got an outcome was read, if at all, between its start and that outcome. Each request
therefore counts from its start until a span after its outcome: of the requests that a
server reads within one span, the last one to start finds all the others counted. The
count holds for a server that is frozen for a while and then reads many requests at
once.
"""

from collections import deque

__all__ = ["SPAN_SECONDS", "ArrivalWindow"]

SPAN_SECONDS = 1.05
"""Span in which requests are counted, in seconds: the second of the rule, and a margin
for clocks that run at different speeds."""


class ArrivalWindow:
    """Requests that a server may have read within the last span.

    Parameters
    ----------
    now : float
        Clock time in seconds at which counting begins. An earlier process may have
        used the whole span before, so the window has no room for a span.

    Examples
    --------
    >>> window = ArrivalWindow(now=0.0)
    >>> window.room(2, now=1.0), window.room(2, now=1.1)
    (0, 2)
    >>> window.record_start(), window.record_end(1.3, reached=True)
    (None, None)
    >>> window.room(2, now=1.4), round(window.wait(2, 1, now=1.4), 2)
    (1, 0.95)
    """

    def __init__(self, now: float) -> None:
        self._opens_at = now + SPAN_SECONDS
        self._running = 0
        self._ends: deque[float] = deque()

    def record_start(self) -> None:
        """Record that a request is sent to the server."""
        self._running += 1

    def record_end(self, now: float, reached: bool) -> None:
        """Record the outcome of a request that was sent.

        Parameters
        ----------
        reached : bool
            Whether the server may have accepted the request.
        """
        self._running -= 1
        if reached:
            self._ends.append(now)
        self._forget(now)

    def record_check(self, now: float) -> None:
        """Record the outcome of a request that this node made itself."""
        self._ends.append(now)

    def room(self, capacity: int, now: float) -> int:
        """Number of requests that may start; `capacity` is the bound on one span."""
        if now < self._opens_at:
            return 0
        self._forget(now)
        return max(0, capacity - self._running - len(self._ends))

    def wait(self, capacity: int, ahead: int, now: float) -> float:
        """Seconds until a request may start that has others ahead of it.

        Running requests are assumed to end now, so the wait may be longer.
        """
        self._forget(now)
        opening = max(0.0, self._opens_at - now)
        missing = 1 + ahead + self._running + len(self._ends) - capacity
        if missing <= 0:
            return opening
        if missing > len(self._ends):
            return SPAN_SECONDS
        return max(opening, self._ends[missing - 1] + SPAN_SECONDS - now)

    def _forget(self, now: float) -> None:
        while self._ends and self._ends[0] + SPAN_SECONDS <= now:
            self._ends.popleft()
