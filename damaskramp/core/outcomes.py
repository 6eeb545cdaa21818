"""Outcomes and reasons that are reported to the caller of a request."""

from enum import Enum

__all__ = ["STATUS_BY_REASON", "Outcome", "Reason"]


class Outcome(Enum):
    """Closed set of outcomes of a request.

    ``NOT_RUN`` promises that the request id has not run on any host and that this
    attempt will not run it. ``UNKNOWN`` promises that the system will not run it again.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"


class Reason(Enum):
    """Stable code that explains an outcome other than an answer."""

    NONE = "none"
    BAD_REQUEST = "bad_request"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_MISPLACED = "key_misplaced"
    CONTEXT_UNKNOWN = "context_unknown"
    NO_ROUTE = "no_route"
    NO_BUNDLE = "no_bundle"
    NO_BACKEND_SERVER = "no_backend_server"
    TEAM_OVER_RATE = "team_over_rate"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TOO_DEEP = "too_deep"
    TOO_LARGE = "too_large"
    RETRIES_EXHAUSTED = "retries_exhausted"
    QUARANTINED = "quarantined"
    CONNECT_FAILED = "connect_failed"
    ANSWER_LOST = "answer_lost"
    BACKEND_SERVER_LOST = "backend_server_lost"
    REQUEST_CONFLICT = "request_conflict"
    REQUEST_RUNNING = "request_running"
    HISTORY_LOST = "history_lost"
    HOME_UNREACHABLE = "home_unreachable"
    STOPPING = "stopping"
    BELIEF_TOO_OLD = "belief_too_old"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    CONFIGURATION_UNREADABLE = "configuration_unreadable"
    ZONE_EVACUATED = "zone_evacuated"
    NO_HOME_REGION = "no_home_region"
    CHAIN_STRESSED = "chain_stressed"


STATUS_BY_REASON = {
    Reason.NONE: 502,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.KEY_MISPLACED: 400,
    Reason.CONTEXT_UNKNOWN: 401,
    Reason.NO_ROUTE: 404,
    Reason.NO_BUNDLE: 503,
    Reason.NO_BACKEND_SERVER: 503,
    Reason.TEAM_OVER_RATE: 429,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.TOO_DEEP: 508,
    Reason.TOO_LARGE: 413,
    Reason.RETRIES_EXHAUSTED: 503,
    Reason.QUARANTINED: 422,
    Reason.CONNECT_FAILED: 503,
    Reason.ANSWER_LOST: 502,
    Reason.BACKEND_SERVER_LOST: 502,
    Reason.REQUEST_CONFLICT: 422,
    Reason.REQUEST_RUNNING: 409,
    Reason.HISTORY_LOST: 502,
    Reason.HOME_UNREACHABLE: 503,
    Reason.STOPPING: 503,
    Reason.BELIEF_TOO_OLD: 503,
    Reason.BACKEND_SERVER_LEAVING: 503,
    Reason.CONFIGURATION_UNREADABLE: 503,
    Reason.ZONE_EVACUATED: 503,
    Reason.NO_HOME_REGION: 503,
    Reason.CHAIN_STRESSED: 503,
}
"""HTTP status of a response that the system generates itself, by its reason."""
