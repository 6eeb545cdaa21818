"""HTTP/1.1 connections of callers, with one request at a time on each.

A request is handed on when it is complete. Pipelined requests wait on the connection
until the earlier ones are answered and their answers are sent.

Memory for a body is reserved when the head has arrived. If there is none, the
connection is not read until other requests have ended, and TCP flow control holds the
caller back. What else a connection holds is reserved as it comes; if there is no room,
the connections that hold most and progress least are closed (docs/design/memory.md).
"""

import asyncio
import logging
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import httptools

from damaskramp.core import Outcome, Reason
from damaskramp.http import close_lingering
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.caller_buffers import UnsentAnswers
from damaskramp.relay.caller_memory import ClientHolder
from damaskramp.relay.caller_reader import (
    REQUEST_BYTES,
    ReadStatus,
    RequestReader,
    RequestSink,
)
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.shedding import Shedding

if TYPE_CHECKING:
    from damaskramp.relay.caller_listener import CallerListener

__all__ = ["CallerConnection"]

LOGGER = logging.getLogger(__name__)

REASON_BY_STATUS = {
    413: Reason.TOO_LARGE,
    431: Reason.TOO_LARGE,
    503: Reason.OVERLOADED,
}
"""Reasons by the status of answers to invalid requests; others are bad requests."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

DEFAULT_BODY_SECONDS = 30.0
"""Time, in seconds, for the body of a request whose caller sets no deadline: several
times the longest deadline that interactive callers set."""

MAX_PIPELINED_REQUESTS = 8
"""Most requests that may wait on a connection behind an unanswered one."""

LARGE_HEAD_BYTES = 2048
"""Size, in bytes, of heads whose memory is reserved while their request runs."""

HEAD_COPIES = 3
"""Copies of a head while its request runs: fields, outgoing head, and call."""

ANSWERS_RETRY_SECONDS = 1.0
"""Retry-after, in seconds, of requests that are refused because too many answers are
unread. Callers that read nothing are closed at once while memory is short."""

NEW_CALLER_WEIGHT = 10
"""Weight of connections that have served no request yet when descriptors run out,
against those that have and are kept for reuse."""


class CallerConnection(asyncio.BufferedProtocol, RequestSink, ClientHolder):
    """HTTP/1.1 connection of one caller."""

    def __init__(self, listener: "CallerListener") -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(listener, self)
        self._current: CallerRequest | None = None
        self._pipelined: deque[CallerRequest] = deque()
        self._answers = UnsentAnswers(listener.memory_account, listener.clock)
        self._charged = 0
        self._closing = False
        self._rejected = False
        self._open = False
        self._has_served = False

    @property
    def names(self) -> ReservedNames:
        """Names of header fields."""
        return self._listener.names

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer."""
        return self._current is not None

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer is not sent because the caller reads slowly."""
        return self._answers.has_unsent

    @property
    def client(self) -> str:
        """Address of the caller."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return name[0] if name else ""

    @property
    def progressed_at(self) -> float:
        """Clock time, in seconds, of the last substantial progress."""
        return max(self._answers.progressed_at, self._reader.progressed_at)

    def held(self, kind: Enum) -> int:
        """Amount that closing the connection releases; 0 to keep it."""
        if kind is Shedding.ANSWERS:
            return self._answers.releasable_bytes
        if kind is Shedding.BODIES:
            request = self._reader.request
            return request.reserved_bytes + request.small_bytes if request else 0
        if kind is Shedding.HEADS:
            return 0 if self.busy and not self._pipelined else self._charged + 1
        return 0 if self.busy else 1 if self._has_served else NEW_CALLER_WEIGHT

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self._transport = transport
        name = transport.get_extra_info("peername")
        if not self._listener.memory_account.open_connection(name[0] if name else ""):
            transport.abort()
            return
        self._open = True
        self._answers.open(transport)
        self._listener.connections.add(self)
        self._listener.counters.add("caller_connections")

    def connection_lost(self, error: Exception | None) -> None:
        """Release the memory and report the disconnect to the current request."""
        self._transport = None
        self._release_all()
        request, self._current = self._current, None
        if request is not None and request.on_disconnect is not None:
            request.on_disconnect()
        self._reader.close()

    def _release_all(self) -> None:
        """Release everything that is reserved for the connection."""
        self._listener.connections.discard(self)
        for pending in (self._reader.stop(), self._current, *self._pipelined):
            self._release(pending)
        self._pipelined.clear()
        self._answers.close()
        if self._open:
            self._open = False
            self._listener.memory_account.close_connection()

    def pause_writing(self) -> None:
        """Stop reading requests of a caller that does not read its answers."""
        self._answers.pause()
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume reading once the caller has read its answers."""
        self._answers.resume()
        self.update_reading()
        if self._pipelined and self._current is None:
            asyncio.get_running_loop().call_soon(self._begin_next)

    def update_reading(self) -> None:
        """Pause or resume reading; while paused, TCP flow control stops the caller."""
        if self._transport is None or self._closing or self._rejected:
            return
        full = len(self._pipelined) >= MAX_PIPELINED_REQUESTS
        if self._answers.stalled or full or self._reader.is_waiting:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; all connections share one."""
        return self._listener.read_buffer.free(self._reader, self._current is not None)

    def buffer_updated(self, size: int) -> None:
        """Parse data from the caller."""
        if self._closing or self._rejected:
            return
        try:
            status = self._reader.feed(self._listener.read_buffer.filled(size))
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported, and the parser takes no more bytes.
            self._end_after_answer()
            return
        if status is not ReadStatus.OK:
            self._reject(status)

    def write_continue(self) -> None:
        """Tell the caller to send the body."""
        if self._current is None and self._transport is not None:
            self._transport.write(CONTINUE_RESPONSE)

    def charge(self, size: int) -> bool:
        """Reserve memory of a head or request; return whether there is room."""
        if not self._listener.memory_account.charge(size):
            return False
        if not self._open:
            # Making room has closed this connection itself.
            self._listener.memory_account.release(size)
            return False
        self._charged += size
        return True

    def receive_request(self, request: CallerRequest) -> None:
        """Hand the request on, or queue it behind the one before it.

        A request that came in one piece with one that is answered at once may be read
        after the connection has begun to close. It never runs.
        """
        if self._rejected or self._closing or not self._open:
            self._release(request)
            return
        # A request never overtakes one that waits for its turn.
        if self._current is None and not self._pipelined and not self._answers.stalled:
            self._begin(request)
            return
        if not request.head_charge:
            size = REQUEST_BYTES + request.head_bytes
            if not self.charge(size):
                self._release(request)
                self._reject(ReadStatus.OVERLOADED)
                return
            request.head_charge = size
        self._pipelined.append(request)
        self.update_reading()

    def respond(
        self, request: CallerRequest, head: bytes, body: bytes | BodySource
    ) -> None:
        """Send the answer to the current request."""
        if request is not self._current or not self._open:
            discard_body(body)
            return
        self._has_served = True
        self._release(request)
        # Requests that have already been read get their answers first.
        request.closes_connection = request.closes_connection or (
            self._listener.closing and not self._pipelined
        )
        if request.closes_connection:
            head += b"Connection: close\r\n"
        if request.method == b"HEAD":
            discard_body(body)
            body = b""
        if type(body) is not bytes:
            self._answers.pass_on(head, body, self._body_written)
            return
        self._answers.write(head, body)
        self._finish_answer(request)

    def _body_written(self, complete: bool) -> None:
        if complete:
            self._finish_answer(self._current)
        elif self._transport is not None:
            self._listener.counters.add("answers_broken_off")
            self._transport.abort()

    def _finish_answer(self, request: CallerRequest) -> None:
        self._current = None
        if request.closes_connection:
            self._closing = True
            close_lingering(self._transport)
        elif self._pipelined:
            # The parser may still run its present step; the next request waits for it.
            asyncio.get_running_loop().call_soon(self._begin_next)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is stalled, slow or idle for too long."""
        if self._transport is None:
            return
        quiet = now - self.progressed_at
        request, limits = self._reader.request, self._listener.limits
        if self._answers.stalled:
            if self._answers.has_timed_out(now):
                self._listener.counters.add("caller_closed", reason="unread")
                self._transport.abort()
        elif self._current is not None:
            return
        elif request is not None and not self._reader.head_done:
            if now - request.started > limits.header_timeout:
                self._listener.counters.add("caller_closed", reason="slow_head")
                self._reject(408)
        elif request is not None:
            if now - request.started > self._body_timeout(request):
                self._listener.counters.add("caller_closed", reason="slow_body")
                self._reject(408)
        elif quiet > limits.idle_timeout and not self._pipelined:
            self._listener.counters.add("caller_closed", reason="idle")
            self._transport.close()

    @staticmethod
    def _body_timeout(request: CallerRequest) -> float:
        """Time, in seconds, for a request to arrive; later nobody awaits the answer."""
        if request.deadline_ms is None:
            return DEFAULT_BODY_SECONDS
        return request.deadline_ms / 1000

    def close_if_idle(self) -> None:
        """Close the connection if it has no request in progress."""
        idle = self._current is None and self._reader.request is None
        if idle and not self._pipelined and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def shed(self, kind: Enum) -> None:
        """Close the connection; requests that have not been handed on never run."""
        if self._transport is None:
            return
        if kind is Shedding.BODIES:
            self._reject(ReadStatus.OVERLOADED)
        elif kind is Shedding.HEADS and self.busy:
            self._end_after_current()
        else:
            self._release_all()
            self._transport.abort()

    def _begin_next(self) -> None:
        if self._closing or self._answers.stalled:
            return
        if self._current is None and self._pipelined:
            request = self._pipelined.popleft()
            self.update_reading()
            self._begin(request)

    def _begin(self, request: CallerRequest) -> None:
        self._current = request
        if request.error_status:
            request.closes_connection = True
            reason = REASON_BY_STATUS.get(request.error_status, Reason.BAD_REQUEST)
            request.respond_plain(request.error_status, reason, Outcome.NOT_RUN)
            return
        if not self._reserve_run(request):
            request.refuse(Reason.OVERLOADED, Outcome.NOT_RUN, ANSWERS_RETRY_SECONDS)
            return
        try:
            self._listener.handler.handle(request)
        except Exception:
            # A failed request must not affect others or leave its caller waiting.
            LOGGER.exception("request failed unexpectedly")
            self._listener.counters.add("unexpected_errors")
            request.closes_connection = True
            request.respond_plain(502, Reason.NONE, Outcome.UNKNOWN)

    def _reserve_run(self, request: CallerRequest) -> bool:
        """Reserve memory for a request that is to run; return whether there is room."""
        if request.head_bytes > LARGE_HEAD_BYTES:
            missing = HEAD_COPIES * request.head_bytes - request.head_charge
            if missing > 0:
                if not self.charge(missing):
                    return False
                request.head_charge += missing
        return self._listener.memory_account.may_begin(self)

    def _end_after_answer(self) -> None:
        """Close the connection after the current answer, or at once without one."""
        if self._current is not None or self._pipelined:
            self._end_after_current()
        elif not self._closing and self._transport is not None:
            self._closing = True
            close_lingering(self._transport)

    def _end_after_current(self) -> None:
        """Drop what waits behind the current or next request, and close after it."""
        self._rejected = True
        last = self._current
        if last is None:
            last = self._pipelined.popleft()
        for pending in (self._reader.stop(), *self._pipelined):
            self._release(pending)
        self._pipelined.clear()
        last.closes_connection = True
        if last is not self._current:
            # Its turn comes when the parser has ended its present step.
            self._pipelined.append(last)
        self._transport.pause_reading()

    def _reject(self, status: int) -> None:
        if self._transport is None or self._closing or self._rejected:
            return
        self._listener.counters.add("caller_rejected", reason=str(int(status)))
        if self._current is not None or self._pipelined:
            # The caller still gets the answer to its current request.
            self._end_after_current()
            return
        request = self._reader.stop() or CallerRequest(self)
        self._current = request
        request.closes_connection = True
        reason = REASON_BY_STATUS.get(status, Reason.BAD_REQUEST)
        request.respond_plain(int(status), reason, Outcome.NOT_RUN)

    def _release(self, request: CallerRequest | None) -> None:
        """Release the memory of a request."""
        if request is None:
            return
        account = self._listener.memory_account
        if request.head_charge:
            size, request.head_charge = request.head_charge, 0
            self._charged -= size
            account.release(size)
        if request.small_bytes:
            size, request.small_bytes = request.small_bytes, 0
            account.small_bodies.release(size)
        if request.reserved_bytes:
            size, request.reserved_bytes = request.reserved_bytes, 0
            account.bodies.release(size)
