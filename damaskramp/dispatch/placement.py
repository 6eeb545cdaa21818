"""How many servers a request is offered to, and how long it may wait at each.

Load this answers: a service of many servers with few slots. Which of them has room now
is news that is older than a run takes, and many hosts choose at once. A request that
queues at the first server it is sent to waits behind a long run there while slots are
free elsewhere. So it is offered eagerly at first: a server where it would wait for
longer than it runs refuses it at once, which costs one message and reaches no server.
Only the last try may wait for as long as the deadline allows.
"""

from dataclasses import dataclass

__all__ = ["PlacementSettings", "RefusalBudget"]


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How requests are offered.

    Attributes
    ----------
    max_refusals : int
        Servers that may refuse a new request before its caller is told.
    call_max_refusals : int
        The same for calls of running requests: what was done above is lost with them.
    eager : bool
        Whether all tries but the last are eager.
    """

    max_refusals: int = 3
    call_max_refusals: int = 6
    fail_fast: bool = True


class RefusalBudget:
    """Tries of one request.

    Parameters
    ----------
    servers : int
        Servers of its service.

    Examples
    --------
    >>> tries = RefusalBudget(PlacementSettings(), servers=50, is_call=False)
    >>> tries.should_fail_fast(others=49)
    True
    >>> tries.record_refusal()
    >>> tries.record_refusal()
    >>> tries.should_fail_fast(others=47), tries.has_remaining()
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
        """Whether the next server should refuse rather than have the request wait.

        Parameters
        ----------
        others : int
            Further servers that it could be offered to.
        """
        return (
            self._fail_fast and others > 0 and self._refusals < self._max_refusals - 1
        )

    def record_refusal(self) -> None:
        """Note that a server has refused."""
        self._refusals += 1

    def has_remaining(self) -> bool:
        """Whether to offer it to another server."""
        return self._refusals < self._max_refusals
