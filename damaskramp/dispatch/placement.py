"""Number of servers that a request is offered to, and its permitted wait at each.

This handles a service of many servers with few slots. The information on which of them
has room is older than a run takes, and many hosts choose at the same time. A request
that queued at the first server it is sent to would wait there behind a long run while
slots are free at other servers. The first offers therefore fail fast: the node of a
server where the request would wait for longer than it runs refuses it at once, which
costs one message and does not reach the server. Only the last offer may wait for as
long as the deadline allows.
"""

from dataclasses import dataclass

__all__ = ["PlacementSettings", "RefusalBudget"]


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings for offering requests to servers.

    Attributes
    ----------
    max_refusals : int
        Number of servers that may refuse a new request before its caller is refused.
    call_max_refusals : int
        The same number for calls of running requests. It is larger, because the work
        done by the services above is lost with such a call.
    fail_fast : bool
        Whether servers should refuse all offers but the last rather than queue them
        long.
    """

    max_refusals: int = 3
    call_max_refusals: int = 6
    fail_fast: bool = True


class RefusalBudget:
    """Budget of refusals for one request.

    Parameters
    ----------
    servers : int
        Number of servers of the request's service.
    is_call : bool
        Whether a running request made this request.

    Examples
    --------
    >>> budget = RefusalBudget(PlacementSettings(), servers=50, is_call=False)
    >>> budget.should_fail_fast(others=49)
    True
    >>> budget.record_refusal()
    >>> budget.record_refusal()
    >>> budget.should_fail_fast(others=47), budget.has_remaining()
    (False, True)
    """

    __slots__ = ("_fail_fast", "_max_refusals", "_refusals")

    def __init__(
        self, settings: PlacementSettings, servers: int, is_call: bool
    ) -> None:
        max_refusals = settings.call_max_refusals if is_call else settings.max_refusals
        self._max_refusals = max(1, min(max_refusals, servers))
        self._fail_fast = settings.fail_fast
        self._refusals = 0

    def should_fail_fast(self, others: int) -> bool:
        """Whether the next server should refuse the request rather than queue it long.

        Parameters
        ----------
        others : int
            Number of further servers that the request could be offered to.
        """
        return (
            self._fail_fast and others > 0 and self._refusals < self._max_refusals - 1
        )

    def record_refusal(self) -> None:
        """Record that a server has refused the request."""
        self._refusals += 1

    def has_remaining(self) -> bool:
        """Whether the request may be offered to another server."""
        return self._refusals < self._max_refusals
