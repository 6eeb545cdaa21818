"""What a caller is told about its request."""

from enum import Enum

__all__ = ["Outcome", "Reason"]


class Outcome(Enum):
    """Closed set of outcomes.

    ``NOT_RUN`` promises that the request id has run nowhere and will not run by
    this attempt. ``UNKNOWN`` promises that the system will not run it again.
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
