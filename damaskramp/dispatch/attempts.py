"""Attempts of a request: permission for the next one, and the outcome for the caller.

This handles servers that refuse requests, break connections or fall silent. A refusal
that reached no server spends nothing, and the request goes to another server. A request
that may have run is repeated only if the route is idempotent, the deadline leaves time
and the retry budget of the service allows it. The caller receives the outcome "not run"
only if that is certain.
"""

import random

from damaskramp.core import Counters, Outcome, Reason, ServiceName
from damaskramp.dispatch.call_depths import CallDepths
from damaskramp.dispatch.lineage import UNKNOWN_RANK
from damaskramp.dispatch.placement import RefusalBudget
from damaskramp.dispatch.retry_after import jittered_retry_after, warmup_retry_after
from damaskramp.dispatch.retry_budget import RetryBudget, SpendDecision
from damaskramp.fleet.model import Route, ServerId

__all__ = ["Attempts"]

FAIL_FAST_BODY_BYTES = 16 * 1024
"""Largest body in bytes of a request that servers are told to refuse quickly, because
each further offer sends the body again."""

MIN_ATTEMPT_SECONDS = 0.02
"""Remaining time in seconds below which a request is not sent again."""

UNKNOWN_OUTCOME_REASONS = frozenset(
    {Reason.ANSWER_LOST, Reason.BACKEND_SERVER_LOST, Reason.DEADLINE_EXCEEDED}
)
"""Reasons whose status does not promise that the request has not run."""


class Attempts:
    """Attempts of one request at the servers that it was sent to.

    Attributes
    ----------
    tried : set of ServerId
        Servers that the request was sent to.
    arrivals : int
        Number of servers that the request has reached or may have reached.
    denied : bool
        Whether the budget has denied the latest repeat.
    rank : int
        Rank of the root of the request's chain, by which the budget is kept.
    """

    __slots__ = (
        "_budget",
        "_counters",
        "_deadline",
        "_depths",
        "_inherited_share",
        "_limited_wait",
        "_may_have_run",
        "_refusal_budget",
        "_route",
        "_service",
        "_service_warmup_left",
        "_wait",
        "_warmup_left",
        "arrivals",
        "denied",
        "rank",
        "tried",
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
        self.denied = False
        self.rank = UNKNOWN_RANK
        self._wait: float | None = None
        self._limited_wait = float("inf")
        self._warmup_left = float("inf")
        self._service_warmup_left = 0.0

    @property
    def warmup_left(self) -> float:
        """Seconds until the first of the servers that refused the request is warm.

        The result is 0 if one of them expects room at another time, or none is cold.
        """
        if not self.tried:
            return self._service_warmup_left
        if self._wait or self._warmup_left == float("inf"):
            return 0.0
        return self._warmup_left

    @property
    def wait(self) -> float:
        """Seconds until the servers that refused the request expect room.

        This is the longest wait of a server without a limit of its own. A server that
        limits its rate counts only if no other one refused, with the shortest wait.
        """
        if self._wait is not None:
            return self._wait
        return self._limited_wait if self._limited_wait < float("inf") else 0.0

    @property
    def repeat_share(self) -> float:
        """Probability that the next attempt repeats a run, from 0 to 1."""
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
        """Start a request and count it in the retry budget of its service.

        Parameters
        ----------
        deadline : float
            Clock time in seconds after which nobody waits for the answer.
        inherited_share : float
            Probability that the request is a call of a run that was itself a repeat.
        refusal_budget : RefusalBudget
            Number of servers that may refuse the request.
        """
        self._service = service
        self._route = route
        self._deadline = deadline
        self._inherited_share = inherited_share
        self._refusal_budget = refusal_budget
        self._budget.record_request(service, now, inherited_share)

    def record_refusal(
        self,
        wait: float,
        arrived: bool,
        by_limit: bool = False,
        warmup_left: float = 0.0,
    ) -> None:
        """Record that a server has not run the request and never will.

        Parameters
        ----------
        wait : float
            Seconds until the server expects room.
        arrived : bool
            Whether the request reached a server.
        by_limit : bool
            Whether the server limits its rate and has no room within its limit.
        warmup_left : float
            Seconds until the server is no longer limited as a cold one.
        """
        self._refusal_budget.record_refusal()
        if by_limit:
            self._warmup_left = min(self._warmup_left, warmup_left)
            self._limited_wait = min(self._limited_wait, wait)
        else:
            self._wait = max(self._wait or 0.0, wait)
        self.arrivals += arrived

    def record_cold_service(self, warmup_left: float) -> None:
        """Record the warm-up of a service of which no server may be asked now.

        Parameters
        ----------
        warmup_left : float
            Seconds until the first of its servers is warm; 0 if one of them is.
        """
        self._service_warmup_left = warmup_left

    def retry_after(self, wait: float, random_source: random.Random) -> float:
        """Random number of seconds after which a refused caller should retry.

        The result is 0 if nothing is known of the time at which there will be room.

        Parameters
        ----------
        wait : float
            Seconds until the request is expected to find room.
        """
        if self.warmup_left > 0.0:
            return warmup_retry_after(wait, self.warmup_left, random_source)
        return jittered_retry_after(wait, random_source) if wait > 0.0 else 0.0

    def should_fail_fast(self, others: int, body_bytes: int) -> bool:
        """Whether the next server should refuse the request rather than queue it long.

        Parameters
        ----------
        others : int
            Number of further servers that the request could be sent to.
        """
        return (
            body_bytes <= FAIL_FAST_BODY_BYTES
            and self._refusal_budget.should_fail_fast(others)
        )

    def may_try_elsewhere(self, arrived: bool, now: float) -> bool:
        """Whether to try another server after a refusal.

        If the request had arrived at a server, this spends a repeat of the budget.
        """
        if arrived and not self._spend_repeat(now):
            return False
        return self._refusal_budget.has_remaining() and not self._is_late(now)

    def record_run(self) -> None:
        """Record that a server has run the request, or may have."""
        self.arrivals += 1
        self._may_have_run = True

    def may_repeat(self, now: float) -> bool:
        """Whether to run the request once more after a failure.

        If so, this spends a repeat of the budget.
        """
        if not self._route.idempotent or self._is_late(now):
            return False
        return self._spend_repeat(now)

    def outranks_others(self, now: float) -> bool:
        """Whether the request's chain is of the highest of several ranks."""
        return self.rank != UNKNOWN_RANK and self._budget.outranks_others(
            self._service, self.rank, now
        )

    def limit_deadline(self, deadline: float) -> None:
        """Send the request nowhere once a time has come, in clock seconds."""
        self._deadline = min(self._deadline, deadline)

    def record_abandoned(self, server: ServerId) -> None:
        """Record that a server may run the request and nobody waits for its answer."""
        self._may_have_run = True
        self.tried.add(server)

    def final_outcome(self, reason: Reason) -> tuple[Reason, Outcome]:
        """Reason and outcome for the caller of a request without an answer."""
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
        depth = self._depths.depth_of(self._service)
        decision = self._budget.decide(self._service, now, depth, self.rank)
        self._counters.add("repeats", reason=decision.value)
        self.denied = decision is not SpendDecision.ALLOWED
        return not self.denied
