"""Whether a request may be sent to one more server, and what its caller is told.

Load this answers: servers that refuse, break off or fall silent. A refusal that reached
no server costs nothing and leads to another server; what may have run is repeated only
where the route is idempotent, the deadline leaves time and the retry budget of the
service allows it. A caller is told "not run" only where that is known.
"""

from damaskramp.core import Counters, Outcome, Reason, ServiceName
from damaskramp.dispatch.call_depths import CallDepths
from damaskramp.dispatch.placement import RefusalBudget
from damaskramp.dispatch.retry_budget import RetryBudget
from damaskramp.fleet.model import Route, ServerId

__all__ = ["Attempts"]

FAIL_FAST_BODY_BYTES = 16 * 1024
"""Largest body of a request that is offered eagerly; each try sends it once more."""

MIN_ATTEMPT_SECONDS = 0.02
"""Remaining time below which a request is not sent again."""

UNKNOWN_OUTCOME_REASONS = frozenset(
    {Reason.ANSWER_LOST, Reason.BACKEND_SERVER_LOST, Reason.DEADLINE_EXCEEDED}
)
"""Reasons whose status makes no promise that the request has not run."""


class Attempts:
    """What has become of one request at the servers that it was sent to.

    Attributes
    ----------
    tried : set of ServerId
        Servers that it was sent to.
    arrivals : int
        Servers that it has reached or may have reached.
    wait : float
        Longest time in seconds until there is room, of the servers that refused it.
    """

    __slots__ = (
        "_budget",
        "_counters",
        "_deadline",
        "_depths",
        "_inherited_share",
        "_may_have_run",
        "_refusal_budget",
        "_route",
        "_service",
        "arrivals",
        "tried",
        "wait",
    )

    def __init__(
        self, budget: RetryBudget, depths: CallDepths, counters: Counters
    ) -> None:
        self._budget = budget
        self._depths = depths
        self._counters = counters
        self._service = ServiceName("")
        self._route: Route | None = None
        self._deadline = 0.0
        self._inherited_share = 0.0
        self._may_have_run = False
        self._refusal_budget: RefusalBudget | None = None
        self.tried: set[ServerId] = set()
        self.arrivals = 0
        self.wait = 0.0

    @property
    def repeat_share(self) -> float:
        """Probability that the next attempt repeats a run, 0 to 1."""
        return 1.0 if self.arrivals else self._inherited_share

    def begin(
        self,
        service: ServiceName,
        route: Route,
        deadline: float,
        inherited_share: float,
        refusal_budget: RefusalBudget,
        now: float,
    ) -> None:
        """Count the request for its service.

        Parameters
        ----------
        tries : Tries
            How many servers may refuse it.
        deadline : float
            Time of the clock after which nobody waits for the answer.
        inherited_share : float
            Probability that it is a call of a run that was itself a repeat.
        """
        self._service = service
        self._route = route
        self._deadline = deadline
        self._inherited_share = inherited_share
        self._refusal_budget = refusal_budget
        self._budget.record_request(service, now, inherited_share)

    def record_refusal(self, wait: float, arrived: bool) -> None:
        """Note that a server has not run it and never will."""
        self._refusal_budget.record_refusal()
        self.wait = max(self.wait, wait)
        self.arrivals += arrived

    def should_fail_fast(self, others: int, body_bytes: int) -> bool:
        """Whether the next server should refuse rather than have it wait long.

        Parameters
        ----------
        others : int
            Further servers that it could be sent to.
        """
        return (
            body_bytes <= FAIL_FAST_BODY_BYTES
            and self._refusal_budget.should_fail_fast(others)
        )

    def may_try_elsewhere(self, arrived: bool, now: float) -> bool:
        """Whether to try another server after a refusal."""
        if arrived and not self._spend_repeat(now):
            return False
        return self._refusal_budget.has_remaining() and not self._is_late(now)

    def record_run(self) -> None:
        """Note that a server has run it, or may have."""
        self.arrivals += 1
        self._may_have_run = True

    def may_repeat(self, now: float) -> bool:
        """Whether to run it once more after a failure."""
        if not self._route.idempotent or self._is_late(now):
            return False
        return self._spend_repeat(now)

    def record_abandoned(self, server: ServerId) -> None:
        """Note that nobody waits for the answer of a server that may run it."""
        self._may_have_run = True
        self.tried.add(server)

    def final_outcome(self, reason: Reason) -> tuple[Reason, Outcome]:
        """What the caller is told where there is no answer."""
        if self._may_have_run:
            caller_reason = (
                reason if reason in UNKNOWN_OUTCOME_REASONS else Reason.ANSWER_LOST
            )
            return caller_reason, Outcome.UNKNOWN
        caller_reason = (
            Reason.OVERLOADED if reason in UNKNOWN_OUTCOME_REASONS else reason
        )
        return caller_reason, Outcome.NOT_RUN

    def _is_late(self, now: float) -> bool:
        return now > self._deadline - MIN_ATTEMPT_SECONDS

    def _spend_repeat(self, now: float) -> bool:
        if self.arrivals >= self._route.attempts:
            return False
        allowed = self._budget.spend(
            self._service, now, self._depths.depth_of(self._service)
        )
        reason = "allowed" if allowed else "budget"
        self._counters.add("repeats", reason=reason)
        return allowed
