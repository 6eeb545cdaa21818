"""Adaptive admission: of calls that come at once, the important ones get in."""

from collections import Counter

from numpy.random import default_rng

from damaskramp.admission import (
    AdaptiveAdmission,
    AdmissionRequest,
    ProbingLimiter,
    Sample,
)
from damaskramp.config import AdmissionSettings
from damaskramp.core import RequestId, TeamId, VirtualTimers

SLOTS = 4
CALLS = 40
SERVICE_SECONDS = 0.02
DEADLINE_SECONDS = 1.0
CLASSES = ("ballots", "reads", "reports")


def main() -> str:
    """Offer far more calls at once than fit; count what runs of each class."""
    timers = VirtualTimers()
    limiter = ProbingLimiter(lower=2, upper=SLOTS)
    settings = AdmissionSettings()
    admission = AdaptiveAdmission(settings, timers, limiter, SLOTS, default_rng(1))
    ran: Counter[str] = Counter()
    offered: Counter[str] = Counter()

    def offer(number: int) -> None:
        priority = number % len(CLASSES)
        offered[CLASSES[priority]] += 1
        request_id = RequestId(f"call-{number}")
        deadline = timers.now + DEADLINE_SECONDS
        demand = AdmissionRequest(request_id, TeamId("clubs"), priority, 0, deadline)

        def decide(refusal: object) -> None:
            if refusal is not None:
                return
            ran[CLASSES[priority]] += 1
            permit = admission.permit()
            sample = Sample(SERVICE_SECONDS, overloaded=False)
            timers.after(SERVICE_SECONDS, lambda: permit.release(sample))

        admission.offer(demand, decide)

    for number in range(CALLS):
        offer(number)
    timers.advance(DEADLINE_SECONDS)
    return ", ".join(f"{name} {ran[name]} of {offered[name]}" for name in CLASSES)


if __name__ == "__main__":
    print(main())
