"""Time that a caller has to send a request."""

from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_request import CallerRequest

__all__ = ["arrival_timeout"]

DEFAULT_BODY_SECONDS = 30.0
"""Time, in seconds, for the body of a request whose caller sets no deadline: several
times the longest deadline that interactive callers set."""


def arrival_timeout(
    request: CallerRequest, head_done: bool, limits: CallerLimits
) -> tuple[float, str]:
    """Seconds for the part of a request that is being read, and its name for counters.

    Nobody awaits the answer to a body that arrives after the caller's deadline.
    """
    if not head_done:
        return limits.header_timeout, "slow_head"
    if request.deadline_ms is None:
        return DEFAULT_BODY_SECONDS, "slow_body"
    return request.deadline_ms / 1000, "slow_body"
