"""Slots of a backend server, and the requests that run on them."""

from collections.abc import Callable

from damaskramp.dispatch.work import Work

__all__ = ["ServerSlots"]

MAX_INSPECTED_RUNS = 16
"""Number of running requests up to which the remaining time of each is estimated; with
more of them, one ends soon anyway."""

MIN_REMAINING_SHARE = 0.25
"""Shortest remaining time that is assumed for a run, as a share of the mean service
time of its kind, however long it has run already."""


class ServerSlots:
    """Running requests, and how many of them there may be.

    Parameters
    ----------
    full_share, full_slowdown : float
        See `SlotSettings`.

    Attributes
    ----------
    limit : int
        Largest number of requests that run at the same time.
    runs : set of Work
        Running requests.
    """

    def __init__(self, full_share: float, full_slowdown: float) -> None:
        self._full_share = full_share
        self._full_slowdown = full_slowdown
        self._slots = -1
        self.limit = 1
        self.runs: set[Work] = set()

    def resize(self, slots: int) -> bool:
        """Set the number of slots; return whether the limit has changed.

        A number of 0, which stands for an unknown one, changes nothing.
        """
        if slots == self._slots or not slots:
            return False
        self._slots = slots
        below_full = int(slots * self._full_share - 1e-9)
        # With few slots, a slot kept free costs more throughput than the slowdown of a
        # server whose slots are all in use.
        use_all_slots = slots / self._full_slowdown > below_full
        before, self.limit = self.limit, max(1, slots if use_all_slots else below_full)
        return self.limit != before

    def time_to_free(self, service_time: Callable[[str], float], now: float) -> float:
        """Expected seconds until a slot is free.

        The result is 0 if more than `MAX_INSPECTED_RUNS` requests run, because one of
        them ends soon.

        Parameters
        ----------
        service_time : callable
            Returns the mean run time of a kind of requests.
        """
        if len(self.runs) < self.limit or len(self.runs) > MAX_INSPECTED_RUNS:
            return 0.0
        return min(
            (
                max(MIN_REMAINING_SHARE * mean, mean - (now - work.started))
                for work in self.runs
                for mean in (service_time(work.kind),)
            ),
            default=0.0,
        )
