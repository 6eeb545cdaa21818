"""Adaptive admission: of simultaneous calls, the most important are admitted."""

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
    """Offer more simultaneous calls than the slots can run; count runs by class."""
    timers = VirtualTimers()
    limiter = ProbingLimiter(lower=2, upper=SLOTS)
    settings = AdmissionSettings()
    admission = AdaptiveAdmission(settings, timers, limiter, SLOTS, default_rng(1))
    run_counts: Counter[str] = Counter()
    offered_counts: Counter[str] = Counter()

    def offer(number: int) -> None:
        priority = number % len(CLASSES)
        offered_counts[CLASSES[priority]] += 1
        request_id = RequestId(f"call-{number}")
        deadline = timers.now + DEADLINE_SECONDS
        request = AdmissionRequest(request_id, TeamId("clubs"), priority, 0, deadline)

        def decide(refusal: object) -> None:
            if refusal is not None:
                return
            run_counts[CLASSES[priority]] += 1
            permit = admission.permit()
            sample = Sample(SERVICE_SECONDS, overloaded=False)
            timers.after(SERVICE_SECONDS, lambda: permit.release(sample))

        admission.offer(request, decide)

    for number in range(CALLS):
        offer(number)
    timers.advance(DEADLINE_SECONDS)
    return ", ".join(
        f"{name} {run_counts[name]} of {offered_counts[name]}" for name in CLASSES
    )


if __name__ == "__main__":
    print(main())
