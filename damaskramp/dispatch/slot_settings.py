"""Settings of the queue of a backend server."""

from dataclasses import dataclass, field

from damaskramp.dispatch.outcome_limit import OutcomeLimitSettings
from damaskramp.dispatch.server_rate import ServerRateSettings

__all__ = ["SlotSettings"]


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Settings of a slot queue.

    Attributes
    ----------
    full_share : float
        Share of the slots in use from which some servers slow down; the queue stays
        below it. The platform's servers slow down at about 0.95.
    full_slowdown : float
        Factor by which runs may take longer at a server whose slots are all in use.
    call_weight, new_request_weight : float
        Weights by which calls of running requests and new requests share the time of
        the slots while both wait. A request at one level makes several calls at the
        level below, so calls have the greater weight.
    max_waiting_per_slot : float
        Largest number of waiting requests per slot. It bounds memory and is far above
        the number that the bounds on waiting time admit.
    max_wait_share : float
        Share of a request's spare time that its expected wait may take. The spare time
        is the time until the deadline or latency target, less the mean run time. Run
        times vary, so a queue that uses all the spare time makes most admitted requests
        late.
    slow_share : float
        Share of the time to the latency target that a run may take before it counts as
        bad.
    bad_outcome_retry_wait : float
        Seconds after which requests refused because of bad outcomes should be retried.
        The time spans several steps of the outcome limit and is a fraction of the
        deadlines of interactive callers.
    smoothing : float
        Weight of the newest service time in its exponential moving average, which
        covers about the last dozen runs.
    outcome_limit : OutcomeLimitSettings
        Settings of the bounds on new requests that follow their outcomes.
    server_rate : ServerRateSettings
        Settings for servers that limit the requests a second that they take.
    """

    full_share: float = 0.95
    full_slowdown: float = 1.4
    call_weight: float = 4.0
    new_request_weight: float = 1.0
    max_waiting_per_slot: float = 40.0
    max_wait_share: float = 0.5
    slow_share: float = 0.8
    bad_outcome_retry_wait: float = 0.7
    smoothing: float = 0.08
    outcome_limit: OutcomeLimitSettings = field(default_factory=OutcomeLimitSettings)
    server_rate: ServerRateSettings = field(default_factory=ServerRateSettings)
