"""Limits on new requests of each priority at one server."""

from damaskramp.dispatch.outcome_limit import OutcomeLimit, OutcomeLimitSettings
from damaskramp.dispatch.work import Work

__all__ = ["OutcomeLimits"]

MAX_BOUND_PER_SLOT = 5
"""Ceiling of the bound on new requests, per slot. It is so high that in practice it
does not limit new requests."""


class OutcomeLimits:
    """Number of new requests that wait or run by priority, and the limits on it.

    Attributes
    ----------
    held : dict
        Number of new requests that wait or run, by priority.
    """

    def __init__(self, settings: OutcomeLimitSettings) -> None:
        self._settings = settings
        self._slots = 1
        self._limits: dict[int, OutcomeLimit] = {}
        self.held: dict[int, int] = {}

    def of(self, priority: int, now: float) -> OutcomeLimit:
        """Limit on the requests of a priority."""
        limit = self._limits.get(priority)
        if limit is None:
            ceiling = self._slots * MAX_BOUND_PER_SLOT
            limit = OutcomeLimit(self._settings, priority, ceiling, now)
            self._limits[priority] = limit
        return limit

    def is_reached(self, priority: int) -> bool:
        """Whether no further request of a priority is admitted."""
        limit = self._limits.get(priority)
        return limit is not None and self.held.get(priority, 0) >= limit.value

    def change_held(self, work: Work, change: int) -> None:
        """Record that a request has come or gone; calls are not limited."""
        if not work.is_call:
            self.held[work.priority] = self.held.get(work.priority, 0) + change

    def reset(self, slots: int) -> None:
        """Begin anew with the limits of a server with another number of slots."""
        self._slots = slots
        self._limits.clear()
