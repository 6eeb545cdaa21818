"""Requests of callers, and the interfaces that handle and answer them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from http import HTTPStatus

import httptools
import orjson

from damaskramp.core import STATUS_BY_REASON, Outcome, Reason
from damaskramp.relay.body_source import BodySource
from damaskramp.relay.headers import ReservedNames

__all__ = ["AnswerSink", "CallerRequest", "RequestHandler"]

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}

REASON_BY_STATUS = {
    413: Reason.TOO_LARGE,
    431: Reason.TOO_LARGE,
    503: Reason.OVERLOADED,
}
"""Reasons by the status of answers to invalid requests; others are bad requests."""

STATUS_OVERRIDES = {Reason.QUARANTINED: 503}
"""HTTP statuses that differ from ``STATUS_BY_REASON``, the product's own interface: the
platform's callers never retry after a 422, but a suspicion may be wrong."""


class AnswerSink(ABC):
    """Connection that a request arrived on and that its answer is sent to."""

    @property
    @abstractmethod
    def names(self) -> ReservedNames:
        """Names of header fields."""

    @abstractmethod
    def respond(
        self, request: "CallerRequest", head: bytes, body: bytes | BodySource
    ) -> None:
        """Send the answer to the current request, and take or close a large body."""


class CallerRequest:
    """Request of a caller.

    Attributes
    ----------
    fields : bytearray
        Header fields to forward, as lines. Objects for each field would take some
        forty times the bytes of short fields.
    connection_options : bytes
        Values of the Connection field that name other fields, separated by commas.
    body : bytes or bytearray
        Body received so far; it is not changed once the request is complete.
    key : bytes
        Value of the key's header field as sent; empty if there is none.
    has_key : bool
        Whether the request has the header field of the key.
    deadline_ms : int or None
        Milliseconds that the caller waits; None if it sets no deadline.
    length : int or None
        Length of the body in bytes as stated in the head; None for chunked bodies.
    reserved_bytes : int
        Bytes of memory that are reserved for the body, without `small_bytes`.
    small_bytes : int
        Bytes of memory that are reserved for the body in the share of small bodies.
    head_charge : int
        Bytes of memory that are reserved for the head and the request's objects.
    closes_connection : bool
        Whether the connection is closed after the answer.
    expects_continue : bool
        Whether the caller waits to be told to send the body.
    error_status : int
        HTTP status of the answer to an invalid request; 0 for a valid one.
    started : float
        Clock time at which the request began to arrive, in seconds.
    on_disconnect : callable or None
        Called if the caller disconnects before the answer.
    on_stop : callable or None
        Called with the clock time at which the node ends if it begins to stop before
        the answer.
    """

    __slots__ = (
        "body",
        "closes_connection",
        "connection",
        "connection_options",
        "deadline_ms",
        "error_status",
        "expects_continue",
        "fields",
        "has_key",
        "head_bytes",
        "head_charge",
        "host",
        "key",
        "length",
        "method",
        "on_disconnect",
        "on_stop",
        "path",
        "request_id",
        "reserved_bytes",
        "small_bytes",
        "started",
        "target",
    )

    def __init__(self, connection: AnswerSink) -> None:
        self.connection = connection
        self.expects_continue = False
        self.fields = bytearray()
        self.connection_options = b""
        self.method = b""
        self.target = b""
        self.path = ""
        self.host = ""
        self.body: bytes | bytearray = b""
        self.key = b""
        self.has_key = False
        self.request_id = b""
        self.deadline_ms: int | None = None
        self.length: int | None = 0
        self.reserved_bytes = 0
        self.small_bytes = 0
        self.head_charge = 0
        self.closes_connection = False
        self.error_status = 0
        self.head_bytes = 0
        self.started = 0.0
        self.on_disconnect: Callable[[], None] | None = None
        self.on_stop: Callable[[float], None] | None = None

    def parse_target(self) -> bool:
        """Set the path, and the host of an absolute target; return False if invalid."""
        target = self.target
        if not target.startswith(b"/"):
            if target == b"*":
                self.path = "*"
                return True
            try:
                url = httptools.parse_url(target)
            except httptools.HttpParserInvalidURLError:
                return False
            if url.host is None:
                return False
            # In the absolute form, its host overrides the Host field (RFC 9112, 3.2.2).
            self.host = url.host.decode("latin-1").lower()
            self.target = (url.path or b"/") + (
                b"?" + url.query if url.query is not None else b""
            )
            target = self.target
        self.path = target.partition(b"?")[0].decode("latin-1")
        return True

    def respond(self, status: int, head: bytes, body: bytes | BodySource) -> None:
        """Send a backend server's answer, of which `head` is the header block."""
        line = STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
        self.connection.respond(self, line + head, body)

    def refuse(self, reason: Reason, outcome: Outcome, retry_after: float = 0) -> None:
        """Send an answer of this node, with the status that belongs to a reason."""
        status = STATUS_OVERRIDES.get(reason, STATUS_BY_REASON[reason])
        self.respond_plain(status, reason, outcome, retry_after)

    def reject(self, status: int) -> None:
        """Answer a request that can't be handled, and close its connection after it."""
        self.closes_connection = True
        reason = REASON_BY_STATUS.get(status, Reason.BAD_REQUEST)
        self.respond_plain(status, reason, Outcome.NOT_RUN)

    def respond_plain(
        self, status: int, reason: Reason, outcome: Outcome, retry_after: float = 0
    ) -> None:
        """Send an answer of this node with the given status."""
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
    """Handler of callers' requests."""

    @abstractmethod
    def handle(self, request: CallerRequest) -> None:
        """Handle a complete request; the answer is sent by `CallerRequest.respond`."""
