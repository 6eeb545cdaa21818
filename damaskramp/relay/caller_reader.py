"""Parsing of callers' requests, with memory reserved before bytes are stored.

The parser is httptools, the closest alternative to h11, with the same kind of events;
its cost is measured in docs/design/call_cost.md. Header fields are kept as the lines
that are forwarded, and a body in one growing buffer: objects for short fields or small
chunks would take many times their length on the wire.
"""

from abc import abstractmethod
from enum import IntEnum

import httptools

from damaskramp.relay.caller_context import CallerContext
from damaskramp.relay.caller_memory import BodyMemory, BodyWaiter
from damaskramp.relay.caller_request import AnswerSink, CallerRequest
from damaskramp.relay.headers import OPTIONAL_WHITESPACE, names_fields
from damaskramp.relay.read_size import next_read_bytes
from damaskramp.relay.request_charges import RequestCharges

__all__ = ["ReadStatus", "RequestReader", "RequestSink"]

MAX_DEADLINE_DIGITS = 9
"""Digits of the longest deadline in milliseconds, some days; longer ones are cut."""

SMALL_BODY_BYTES = 64 * 1024
"""Largest body, in bytes, that draws on the share of small bodies, so that small
requests never wait behind large ones."""

MAX_FIELDS = 128
"""Most header fields of a request, several times as many as clients send. Each takes
microseconds to parse, however short it is: as many as fit into a head took 6 ms."""

MAX_CHUNK_OVERHEAD = 8
"""Bytes of chunk lines and trailers for each byte of a body, beyond the size of a head:
chunks of one byte have 5."""

FIRST_CHUNKED_READ_BYTES, MAX_CHUNKED_READ_BYTES = 4096, 16 * 1024
"""Most bytes of the first read of a body in chunks, and of any."""

MIN_PROGRESS_BYTES = 1024
PROGRESS_SHARE = 64
"""A body has progressed when a 64th of it, and at least 1,024 bytes, has arrived. A
caller that sends a byte now and then makes no progress by this measure."""


class ReadStatus(IntEnum):
    """HTTP status with which a request is refused while it is read; OK for none."""

    OK = 0
    BAD_REQUEST = 400
    TOO_LARGE = 413
    HEAD_TOO_LARGE = 431
    OVERLOADED = 503


class RequestSink(AnswerSink):
    """Connection that receives complete requests."""

    @abstractmethod
    def receive_request(self, request: CallerRequest) -> None:
        """Handle a complete request."""

    @abstractmethod
    def update_reading(self) -> None:
        """Pause or resume reading."""

    @abstractmethod
    def write_continue(self) -> None:
        """Tell the caller to send the body."""


class RequestReader(BodyWaiter):
    """Parser of one connection.

    Attributes
    ----------
    request : CallerRequest or None
        Request that is being read.
    head_done : bool
        Whether the head of that request is complete.
    progressed_at : float
        Clock time, in seconds, of the request's begin or its body's last progress.
    chunked_read_bytes : int
        Most bytes of the next read of a body in chunks.
    """

    def __init__(
        self, context: CallerContext, sink: RequestSink, charges: RequestCharges
    ) -> None:
        self._context = context
        self._names = context.names
        self._sink = sink
        self._charges = charges
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_wire_bytes = 0
        self._wire_bytes_at_part = 0
        self._fields = 0
        self._awaited_bytes = 0
        self._awaits_small = False
        self._next_mark = 0
        self._parts = 0
        self._early_status = ReadStatus.OK
        self.chunked_read_bytes = FIRST_CHUNKED_READ_BYTES
        self.request: CallerRequest | None = None
        self.head_done = True
        self.progressed_at = context.clock()

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for memory."""
        return self._awaited_bytes > 0

    @property
    def is_chunked(self) -> bool:
        """Whether a body in chunks is being read."""
        request = self.request
        return self.head_done and request is not None and request.length is None

    def feed(self, data: memoryview) -> ReadStatus:
        """Parse data; return the status with which the request is refused.

        Raises
        ------
        HttpParserUpgrade
            If the caller asks for another protocol.
        """
        in_body = self.head_done and self.request is not None
        if in_body:
            self._body_wire_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise
        except httptools.HttpParserError:
            return self._early_status or ReadStatus.BAD_REQUEST
        request = self.request
        if request is None:
            return ReadStatus.OK
        if in_body and self.is_chunked:
            parts, self._parts = self._parts, 0
            self.chunked_read_bytes = next_read_bytes(
                len(data), parts, MAX_CHUNKED_READ_BYTES
            )
        if not self.head_done and self._head_bytes > self._context.limits.header_bytes:
            return ReadStatus.HEAD_TOO_LARGE
        if self._early_status:
            return self._early_status
        return self._check_memory(request)

    def _check_memory(self, request: CallerRequest) -> ReadStatus:
        """Reserve memory for what is stored of a request that is not complete."""
        limit = self._context.limits.header_bytes
        if self.is_chunked:
            allowed = limit + MAX_CHUNK_OVERHEAD * len(request.body)
            overhead = self._body_wire_bytes - len(request.body)
            # The parser holds all bytes of a trailer, so they are bounded as a head is.
            since_part = self._body_wire_bytes - self._wire_bytes_at_part
            if overhead > allowed or since_part > limit:
                return ReadStatus.HEAD_TOO_LARGE
        if not request.head_charge:
            head_bytes = request.head_bytes if self.head_done else limit
            if not self._charges.reserve_head(request, head_bytes):
                return ReadStatus.OVERLOADED
        return ReadStatus.OK

    def stop(self) -> CallerRequest | None:
        """Stop reading; return the incomplete request, whose memory is still held."""
        request, self.request = self.request, None
        self._awaited_bytes = 0
        return request

    def close(self) -> None:
        """Break the reference cycles with the parser and the connection.

        The collector runs rarely, and closed connections would stay until then.
        """
        self._parser = None
        self._sink = None

    def on_message_begin(self) -> None:
        """Start a request."""
        request = self.request = CallerRequest(self._sink)
        self.progressed_at = request.started = self._context.clock()
        self.head_done = False
        self._fields = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, and evaluate those that the relay uses.

        Raises
        ------
        ValueError
            If there are too many, which ends the parser's step at once.
        """
        self._fields += 1
        if self._fields > MAX_FIELDS:
            self._early_status = ReadStatus.HEAD_TOO_LARGE
            raise ValueError("too many fields")
        if self.head_done:
            # Trailers are dropped: they must not replace fields of the head.
            return
        request, names = self.request, self._names
        lower, value = name.lower(), value.rstrip(OPTIONAL_WHITESPACE)
        request.head_bytes += len(name) + len(value)
        if lower not in names.dropped_from_request:
            request.fields += b"%b: %b\r\n" % (name, value)
            if lower == b"host":
                if request.host:
                    request.error_status = 400
                request.host = value.decode("latin-1").lower()
            elif lower == names.request_id:
                request.request_id = value
        elif lower == names.deadline_ms:
            if value.isdigit():
                digits = value.lstrip(b"0")[: MAX_DEADLINE_DIGITS + 1] or b"0"
                request.deadline_ms = min(int(digits), 10**MAX_DEADLINE_DIGITS)
        elif lower == names.key:
            if request.has_key and value != request.key:
                request.error_status = 400
            request.key, request.has_key = value, True
        elif lower == b"content-length":
            # The parser rejects a value that is not a number.
            if value.isdigit():
                request.length = int(value)
            else:
                request.error_status = 400
        elif lower == b"transfer-encoding":
            request.length = None
        elif lower == b"connection":
            if names_fields(value):
                request.connection_options += value + b","
        elif lower == b"expect" and value.lower() == b"100-continue":
            request.expects_continue = True

    def on_headers_complete(self) -> None:
        """Check the head, and reserve memory for the body."""
        self.head_done = True
        self._head_bytes = self._body_wire_bytes = self._next_mark = self._parts = 0
        self._wire_bytes_at_part = 0
        self.chunked_read_bytes = FIRST_CHUNKED_READ_BYTES
        request = self.request
        if request.head_bytes + len(request.target) > self._context.limits.header_bytes:
            request.error_status = 431
        request.method = self._parser.get_method()
        request.closes_connection = not self._parser.should_keep_alive()
        if not request.parse_target() or not request.host:
            request.error_status = 400
        if request.length:
            self._reserve(request, request.length)
        if request.expects_continue and not self._early_status:
            self._sink.write_continue()

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._parts += 1
        self._wire_bytes_at_part = self._body_wire_bytes
        request = self.request
        if request.length is None:
            self._reserve(request, len(data))
        if request.error_status or self._early_status:
            request.body = b""
        elif not request.body:
            request.body = data
        else:
            if type(request.body) is bytes:
                request.body = bytearray(request.body)
            request.body += data
        if len(request.body) >= self._next_mark:
            step = max(MIN_PROGRESS_BYTES, (request.length or 0) // PROGRESS_SHARE)
            self._next_mark = len(request.body) + step
            self.progressed_at = self._context.clock()

    def _reserve(self, request: CallerRequest, size: int) -> None:
        """Reserve memory for a body or a part of one; stop reading if there is none."""
        memory = self._context.memory
        held = request.reserved_bytes + request.small_bytes + self._awaited_bytes + size
        is_small = held <= SMALL_BODY_BYTES
        if held > self._context.limits.body_bytes:
            self._early_status = ReadStatus.TOO_LARGE
        elif self._awaited_bytes:
            self._awaited_bytes += size
        elif is_small and memory.small_bodies.reserve(size):
            request.small_bytes += size
        elif not is_small and memory.bodies.reserve(size):
            request.reserved_bytes += size
        else:
            self._awaits_small = is_small
            self._awaited_bytes = size
            self._context.counters.add("bodies_held_back")
            self._awaited_from.wait(self)
            self._sink.update_reading()

    @property
    def _awaited_from(self) -> BodyMemory:
        memory = self._context.memory
        return memory.small_bodies if self._awaits_small else memory.bodies

    def reserve_memory(self) -> bool:
        """Reserve the memory that the body waits for; return False if there is none."""
        if not self._awaited_bytes:
            return True
        if not self._awaited_from.reserve(self._awaited_bytes):
            return False
        self._record_awaited()
        self.progressed_at = self._context.clock()
        return True

    def _record_awaited(self) -> None:
        """Record that the awaited memory is reserved, and resume reading."""
        size, self._awaited_bytes = self._awaited_bytes, 0
        if self._awaits_small:
            self.request.small_bytes += size
        else:
            self.request.reserved_bytes += size
        self._sink.update_reading()

    def on_message_complete(self) -> None:
        """Hand the request on."""
        if self._early_status:
            return
        if self._awaited_bytes:
            # The body was complete in data already read; its memory is counted now.
            # Reading was paused for this memory, and nothing else would resume it.
            self._awaited_from.reserve_unchecked(self._awaited_bytes)
            self._record_awaited()
        request, self.request = self.request, None
        self._sink.receive_request(request)
