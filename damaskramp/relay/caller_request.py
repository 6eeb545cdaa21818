"""Requests of callers, and how they are answered."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from http import HTTPStatus

import orjson

from damaskramp.core import STATUS_BY_REASON, Outcome, Reason
from damaskramp.relay.headers import Field, ReservedNames

__all__ = ["AnswerSink", "CallerRequest", "RequestHandler"]

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}

STATUS_OVERRIDES = {Reason.QUARANTINED: 503}
"""Statuses that differ from the product's own interface: callers of the platform never
come back after a 422, and a suspicion may be wrong."""


class AnswerSink(ABC):
    """The connection that a request came by."""

    @property
    @abstractmethod
    def names(self) -> ReservedNames:
        """Names of header fields."""

    @abstractmethod
    def respond(self, request: "CallerRequest", head: bytes, body: bytes) -> None:
        """Send the answer to the current request."""


class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    key : bytes
        Value of the key's field as sent; empty where there is none.
    keyed : bool
        Whether the field of the key was there.
    deadline_ms : int or None
        Milliseconds that the caller waits.
    length : int or None
        Length of the body as told in the head; None for chunks.
    held : int
        Bytes that are counted for the body.
    on_disconnect : callable or None
        Called where the caller leaves before the answer.
    """

    __slots__ = (
        "body",
        "chunks",
        "closes_connection",
        "connection",
        "deadline_ms",
        "error_status",
        "has_key",
        "head_bytes",
        "headers",
        "host",
        "key",
        "length",
        "method",
        "on_disconnect",
        "path",
        "request_id",
        "reserved_bytes",
        "started",
        "target",
    )

    def __init__(self, connection: AnswerSink) -> None:
        self.connection = connection
        self.headers: list[Field] = []
        self.chunks: list[bytes] = []
        self.method = b""
        self.target = b""
        self.path = ""
        self.host = ""
        self.body = b""
        self.key = b""
        self.has_key = False
        self.request_id = b""
        self.deadline_ms: int | None = None
        self.length: int | None = 0
        self.reserved_bytes = 0
        self.closes_connection = False
        self.error_status = 0
        self.head_bytes = 0
        self.started = 0.0
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, head: bytes, body: bytes) -> None:
        """Send a backend server's answer; `head` is its header block."""
        line = STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
        self.connection.respond(self, line + head, body)

    def refuse(self, reason: Reason, outcome: Outcome, retry_after: float = 0) -> None:
        """Send an answer of the system's own."""
        status = STATUS_OVERRIDES.get(reason, STATUS_BY_REASON[reason])
        self.respond_plain(status, reason, outcome, retry_after)

    def respond_plain(
        self, status: int, reason: Reason, outcome: Outcome, retry_after: float = 0
    ) -> None:
        """Send an answer of the system's own with a status."""
        document = {"outcome": outcome.value, "code": reason.value}
        head = b"Content-Type: application/json\r\n"
        if self.request_id:
            name = self.connection.names.request_id
            head += b"%b: %b\r\n" % (name, self.request_id)
        if retry_after > 0:
            document["retry_after_seconds"] = round(retry_after, 3)
            head += b"Retry-After: %.3f\r\n" % retry_after
        body = orjson.dumps(document)
        head += b"Content-Length: %d\r\n" % len(body)
        self.respond(status, head, body)


class RequestHandler(ABC):
    """Takes callers' requests."""

    @abstractmethod
    def handle(self, request: CallerRequest) -> None:
        """Take a whole request; its answer comes by `CallerRequest.respond`."""
