"""Events that admission control reports to counters."""

from enum import Enum

__all__ = ["AdmissionEvent", "AdmissionEvents"]


class AdmissionEvent(Enum):
    """Admission event; the value is the name of its counter."""

    SHED = "admission_shed"
    EVICTED = "admission_evicted"
    GAVE_WAY = "admission_gave_way"
    WAITED_TOO_LONG = "admission_waited_too_long"
    LATE = "admission_late"
    WITHDRAWN = "admission_withdrawn"
    LIMIT_LOWERED = "admission_limit_lowered"
    REFUSED_EARLY = "admission_refused_early"


class AdmissionEvents:
    """Receiver of events that ignores them."""

    def count(self, event: AdmissionEvent) -> None:
        """Count one event."""
