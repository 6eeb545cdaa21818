"""Whether the platform can be reached, and how long it could not."""

import logging

__all__ = ["PlatformContact"]

LOGGER = logging.getLogger(__name__)

MIN_OUTAGE_SECONDS = 1.0
"""Length of an outage of the platform, in seconds, after which descriptions of servers
may have expired. It is their shortest lifetime without a heartbeat, less one interval
between heartbeats and one interval between polls."""


class PlatformContact:
    """Contact with the platform as the latest answers show it.

    Attributes
    ----------
    reachable : bool or None
        Whether the platform can be reached; None before the first answer.
    """

    def __init__(self) -> None:
        self._lost_at: float | None = None
        self.reachable: bool | None = None

    def record_reached(self) -> None:
        """Record an answer."""
        if not self.reachable:
            self.reachable = True
            LOGGER.info("platform reached", extra={"cause": ""})

    def record_lost(self, asked_at: float, error: Exception) -> None:
        """Record that a question asked at a clock time in seconds had no answer."""
        if self.reachable:
            self._lost_at = asked_at
        if self.reachable is not False:
            self.reachable = False
            LOGGER.info("platform lost", extra={"cause": str(error)})

    def ends_outage(self, now: float) -> bool:
        """Whether an answer that has just come is the first after a long outage."""
        lost_at, self._lost_at = self._lost_at, None
        return lost_at is not None and now - lost_at > MIN_OUTAGE_SECONDS
