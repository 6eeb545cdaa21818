"""Waiting calls and waiting new requests, which share a server's time by weight."""

from collections.abc import Callable

from damaskramp.dispatch.team_shares import TeamWeights
from damaskramp.dispatch.weighted_queue import WeightedQueue
from damaskramp.dispatch.work import Work

__all__ = ["TwoQueues"]


class TwoQueues:
    """Queue of the calls of running requests, and queue of new requests.

    Attributes
    ----------
    both : tuple of WeightedQueue
        Queue of calls and queue of new requests.
    waiting : int
        Number of waiting requests.
    """

    def __init__(
        self, call_weight: float, new_request_weight: float, team_weights: TeamWeights
    ) -> None:
        self._calls = WeightedQueue(call_weight, team_weights)
        self._new_requests = WeightedQueue(new_request_weight, team_weights)
        self.both = (self._calls, self._new_requests)
        self.waiting = 0

    @property
    def teams(self) -> set[str]:
        """Teams that have a waiting request."""
        return self._calls.teams | self._new_requests.teams

    def own_and_share(self, is_call: bool) -> tuple[WeightedQueue, float]:
        """Queue of calls or new requests, and its share while the other waits too."""
        own, other = self.both if is_call else (self._new_requests, self._calls)
        return own, own.weight / (own.weight + other.weight)

    def push(self, work: Work) -> None:
        """Add a request whose `cost` is its expected run time in seconds."""
        own, other = self.both if work.is_call else (self._new_requests, self._calls)
        if own.is_empty and not other.is_empty:
            # A queue that was empty gets no credit for the slots that it did not use.
            own.virtual_time = max(own.virtual_time, other.virtual_time)
        own.push(work)
        self.waiting += 1

    def remove(self, work: Work) -> None:
        """Remove a waiting request."""
        self.waiting -= 1
        (self._calls if work.is_call else self._new_requests).remove(work)

    def pop(self, may_start: Callable[[bool, int], bool]) -> Work | None:
        """Take the next request that may start; None if none may.

        Parameters
        ----------
        may_start : callable
            Returns whether a request may start, by whether it is a call and priority.
        """
        for queue in sorted(self.both, key=lambda queue: queue.virtual_time):
            work = queue.head()
            if work is not None and may_start(work.is_call, work.priority):
                self.remove(work)
                return work
        return None

    def charge(self, work: Work, cost: float) -> None:
        """Charge a request that starts to its queue, in seconds of a slot."""
        (self._calls if work.is_call else self._new_requests).charge(work, cost)
