"""How many servers a request is offered to, and how long it may wait at each.

Load this answers: a service of many servers with few slots. Which of them has room now
is news that is older than a run takes, and many hosts choose at once. A request that
queues at the first server it is sent to waits behind a long run there while slots are
free elsewhere. So it is offered eagerly at first: a server where it would wait for
longer than it runs refuses it at once, which costs one message and reaches no server.
Only the last try may wait for as long as the deadline allows.
"""

from dataclasses import dataclass

__all__ = ["PlacingSettings", "Tries"]


@dataclass(frozen=True, slots=True)
class PlacingSettings:
    """How requests are offered.

    Attributes
    ----------
    most_tries : int
        Servers that may refuse a new request before its caller is told.
    call_tries : int
        The same for calls of running requests: what was done above is lost with them.
    eager : bool
        Whether all tries but the last are eager.
    """

    most_tries: int = 3
    call_tries: int = 6
    eager: bool = True


class Tries:
    """Tries of one request.

    Parameters
    ----------
    servers : int
        Servers of its service.

    Examples
    --------
    >>> tries = Tries(PlacingSettings(), servers=50, is_call=False)
    >>> tries.is_eager(others=49)
    True
    >>> tries.refused()
    >>> tries.refused()
    >>> tries.is_eager(others=47), tries.may_go_on()
    (False, True)
    """

    __slots__ = ("_eager", "_most", "_refusals")

    def __init__(self, settings: PlacingSettings, servers: int, is_call: bool) -> None:
        most = settings.call_tries if is_call else settings.most_tries
        self._most = max(1, min(most, servers))
        self._eager = settings.eager
        self._refusals = 0

    def is_eager(self, others: int) -> bool:
        """Whether the next server should refuse rather than have the request wait.

        Parameters
        ----------
        others : int
            Further servers that it could be offered to.
        """
        return self._eager and others > 0 and self._refusals < self._most - 1

    def refused(self) -> None:
        """Note that a server has refused."""
        self._refusals += 1

    def may_go_on(self) -> bool:
        """Whether to offer it to another server."""
        return self._refusals < self._most
