"""HTTP/1.1 connection to the backend server.

An answer is handed on only to the request whose id it echoes: complete, or while its
body arrives if there is too little memory to hold it. Answers to earlier requests are
skipped. A connection that delivered such an answer, unsolicited bytes or an abandoned
answer is closed and never reused. The data that a server sends is bounded: the body of
an answer, all bytes outside bodies, and the memory of all bodies that are held at the
same time. Without memory the connection is not read.
"""

import asyncio
from typing import TYPE_CHECKING

import httptools

from damaskramp.http import discard_on_close
from damaskramp.relay.answer_intake import AnswerIntake, append_chunk
from damaskramp.relay.messages import FRAGMENT_BYTES
from damaskramp.relay.read_size import FIRST_READ_BYTES, next_read_bytes
from damaskramp.relay.server_answer import Exchange, ExchangeFailure, ServerAnswer

if TYPE_CHECKING:
    from damaskramp.relay.backend_connection import ServerConnections

__all__ = ["MAX_READ_BYTES", "OTHER_BYTES", "ServerConnection"]

MAX_HEAD_BYTES = 64 * 1024
"""Most bytes outside bodies for each request: heads, including those of informational
answers, and trailers. Several times the largest head that callers may send."""

MAX_FIELDS = 500
"""Most header fields of an answer. A field of a few bytes takes 300 as an object."""

MAX_CHUNK_OVERHEAD = 8
"""Further bytes outside bodies for each byte of a body: chunks of one byte have 5."""

OTHER_BYTES = 4 * 1024 * 1024
"""Most bytes of bodies of skipped answers to earlier requests, for each request."""

MAX_READ_BYTES = 256 * 1024
"""Most bytes that are read at once, of a body that comes in large parts."""


class ServerConnection(asyncio.BufferedProtocol):
    """Connection of a `ServerConnections` pool.

    Attributes
    ----------
    idle_until : float
        Clock time in seconds until which the idle connection may be reused.
    opened_at : float
        Clock time in seconds at which the connection was open.
    """

    def __init__(self, pool: "ServerConnections") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._request_id = b""
        self._head_only = False
        self._answer: ServerAnswer | None = None
        self._intake: AnswerIntake | None = None
        self._chunks: list[bytes] | None = None
        self._received = 0
        self._body_bytes = 0
        self._other_bytes = 0
        self._parts = 0
        self._read_bytes = FIRST_READ_BYTES
        self._has_framing = False
        self._echoed_id = b""
        self._reusable = True
        self._is_handed_on = False
        self._complete_answer: ServerAnswer | None = None
        self._has_unsolicited = False
        self._is_paused = False
        self.idle_until = 0.0
        self.opened_at = 0.0

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def send(
        self,
        exchange: Exchange,
        request_id: bytes,
        head_only: bool,
        head: bytes,
        body: bytes,
    ) -> None:
        """Send a request; its outcome goes to the exchange."""
        self._exchange = exchange
        self._request_id = request_id
        self._head_only = head_only
        self._received = 0
        self._body_bytes = 0
        self._other_bytes = 0
        self._read_bytes = FIRST_READ_BYTES
        self._is_handed_on = False
        # The answer to a request without an id can't be distinguished from a late one.
        self._reusable = bool(request_id)
        if len(body) <= FRAGMENT_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)

    def abandon(self) -> None:
        """Close the connection; its exchange learns nothing more.

        If the request has no answer yet, the connection is reset, so that bytes of the
        request that are still on their way are dropped rather than run.
        """
        if self._exchange is not None and self._transport is not None:
            discard_on_close(self._transport)
        self._exchange = None
        self._complete_answer = None
        self._reusable = False
        self._discard_body()
        if self._transport is not None:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; all connections share one."""
        return self._pool.read_buffer[: self._read_bytes]

    def buffer_updated(self, size: int) -> None:
        """Parse data from the server, and hand on what it completes."""
        if self._exchange is None:
            # No request is open, so these bytes belong to none.
            self._pool.counters.add("backend_unasked_bytes")
            self.abandon()
            return
        self._received += size
        self._parts = 0
        try:
            self._parser.feed_data(self._pool.read_buffer[:size])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if self._complete_answer is None:
                self._fail(ExchangeFailure.BROKEN)
                return
        if self._complete_answer is None and self._is_too_large():
            self._fail(ExchangeFailure.TOO_LARGE)
            return
        self._read_bytes = next_read_bytes(size, self._parts, MAX_READ_BYTES)
        self._advance()

    def _is_too_large(self) -> bool:
        overhead = self._received - self._body_bytes
        answer = self._answer
        return (
            (self._intake is not None and self._intake.is_too_large)
            or (answer is not None and len(answer.headers) > MAX_FIELDS)
            or overhead > MAX_HEAD_BYTES + MAX_CHUNK_OVERHEAD * self._body_bytes
            or self._other_bytes > OTHER_BYTES
        )

    def _discard_body(self) -> None:
        """Discard the body that is held, and release its memory.

        A body that has been handed on belongs to its taker, who is told that the rest
        will never come.
        """
        intake, self._intake = self._intake, None
        self._chunks = None
        if intake is None:
            return
        if self._is_handed_on:
            intake.break_off()
        else:
            intake.close()

    def eof_received(self) -> bool:
        """Complete an answer without a length, which ends with its connection."""
        answer = self._answer
        if answer is not None and not self._has_framing and answer.status >= 200:
            self._reusable = False
            self.on_message_complete()
            self._advance()
            # The answer may wait for memory; the server's end is closed with it.
            return self._complete_answer is not None
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the open request, and release the body of its answer."""
        self._transport = None
        self._pool.lost(self)
        if self._complete_answer is None:
            self._fail(ExchangeFailure.RESET)
        self._parser = None

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._complete_answer is not None:
            self._has_unsolicited = True
            return
        self._answer = ServerAnswer(0)
        self._has_framing = False
        self._echoed_id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, and evaluate those that the relay uses."""
        answer = self._answer
        if self._has_unsolicited or answer is None or answer.status:
            # Fields after the body (trailers) are not forwarded.
            return
        if len(answer.headers) > MAX_FIELDS:
            # The answer fails once the parser returns.
            return
        lower = name.lower()
        answer.headers.append((lower, name, value))
        names = self._pool.names
        if lower == names.request_id:
            self._echoed_id = value
        elif lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
            if lower == b"content-length":
                answer.length = value
        elif lower == names.not_executed:
            answer.not_executed = True
        elif lower == names.signature:
            answer.signed = True
        elif lower == names.load:
            answer.load = value
        elif lower == names.rate_limit:
            answer.limit_values.append(value)
        elif lower == names.leaving:
            answer.leaving_values.append(value)
        elif lower == b"keep-alive":
            self._pool.update_idle_timeout(value)

    def on_headers_complete(self) -> None:
        """Check whom the answer is for, and prepare to receive its body."""
        if self._has_unsolicited:
            return
        answer = self._answer
        answer.status = self._parser.get_status_code()
        if answer.status in (204, 304):
            self._has_framing = True
        if answer.status < 200:
            return
        if self._exchange is not None and self._is_own_answer():
            self._exchange.head_received(answer)
        if self._head_only:
            # The parser can't know that an answer to HEAD has no body.
            self._reusable = False
            self.on_message_complete()
        elif self._is_own_answer() or self._is_rejection(answer):
            self._open_intake(answer)

    def _open_intake(self, answer: ServerAnswer) -> None:
        length = int(answer.length) if answer.length.isdigit() else None
        if answer.status in (204, 304):
            length = 0
        if length is not None and length <= FRAGMENT_BYTES:
            # The server's slots bound the number of small bodies held here.
            self._chunks = []
            return
        pool = self._pool
        intake = AnswerIntake(pool.memory_queue, length, self._advance)
        if intake.is_passed_on:
            pool.counters.add("answers_passed_on")
            intake.body.on_close = self._taker_gone
        self._intake = intake

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, or count that of a skipped answer."""
        if self._has_unsolicited or self._complete_answer is not None:
            return
        self._body_bytes += len(data)
        self._parts += 1
        if self._chunks is not None:
            append_chunk(self._chunks, data)
        elif self._intake is not None:
            self._intake.feed(data)
        else:
            self._other_bytes += len(data)

    def on_message_complete(self) -> None:
        """Complete the answer, if it is for the present request."""
        answer = self._answer
        if self._has_unsolicited or self._complete_answer is not None or answer is None:
            return
        if answer.status < 200:
            return
        self._answer = None
        if not self._is_own_answer() and not self._is_rejection(answer):
            # This answers an earlier request; the present one's answer may still come.
            self._pool.counters.add("backend_other_answers")
            self._reusable = False
            return
        if not self._head_only and not self._parser.should_keep_alive():
            self._reusable = False
        if self._chunks is not None:
            answer.body = b"".join(self._chunks)
            self._chunks = None
        elif self._intake is not None:
            if self._intake.is_too_large:
                return
            self._intake.finish()
        self._complete_answer = answer

    def _is_own_answer(self) -> bool:
        """Return whether the answer echoes the id of the present request."""
        return self._echoed_id == self._request_id

    def _is_rejection(self, answer: ServerAnswer) -> bool:
        """Return whether an answer without an id answers the present request.

        A server may refuse a request before it has read the id. Such an answer can't be
        a late copy of an earlier one, because its connection is never reused.
        """
        if self._echoed_id or not answer.not_executed:
            return False
        self._reusable = False
        return True

    def _advance(self) -> None:
        """Hand on what is ready, and read further if there is memory for it."""
        intake = self._intake
        if self._complete_answer is not None:
            if intake is None or intake.is_ready:
                self._deliver()
            return
        if intake is not None and intake.is_passed_on and intake.is_ready:
            self._hand_on(intake)
        self._update_reading()

    def _hand_on(self, intake: AnswerIntake) -> None:
        """Hand on an answer whose body is still arriving."""
        if not self._is_handed_on:
            self._is_handed_on = True
            self._answer.body = intake.body
            self._exchange.answered(self._answer)

    def _update_reading(self) -> None:
        may_read = self._intake is None or self._intake.may_read
        if self._transport is None or may_read is not self._is_paused:
            return
        self._is_paused = not may_read
        if may_read:
            self._transport.resume_reading()
        else:
            self._pool.counters.add("answers_held_back")
            self._transport.pause_reading()

    def _deliver(self) -> None:
        answer, self._complete_answer = self._complete_answer, None
        exchange, self._exchange = self._exchange, None
        intake, self._intake = self._intake, None
        if self._is_paused:
            self._update_reading()
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if self._has_unsolicited or not self._reusable or unsent:
            # If a part of the request is unsent, the server would read the next
            # request on this connection in its place.
            self.abandon()
        elif transport is not None:
            self._pool.put_back(self)
        if self._is_handed_on:
            exchange.body_ended(complete=True)
            return
        if intake is not None:
            answer.body = intake.body
        exchange.answered(answer)

    def _taker_gone(self) -> None:
        """Break off an answer whose taker has given it up."""
        exchange = self._exchange
        self.abandon()
        if exchange is not None:
            exchange.body_ended(complete=False)

    def _fail(self, failure: ExchangeFailure) -> None:
        exchange, self._exchange = self._exchange, None
        if self._transport is not None:
            self.abandon()
        else:
            self._discard_body()
        if exchange is not None:
            exchange.failed(failure)
