"""HTTP/1.1 connections of callers, with one request at a time on each.

A request is handed on when it is complete. Pipelined requests wait on the connection
until the earlier ones are answered and their answers are sent.

Memory for a body is reserved when the head has arrived. If there is none, the
connection is not read until other requests have ended, and TCP flow control holds the
caller back. What else a connection holds is reserved as it comes; if there is no room,
the connections that hold most and progress least are closed (docs/design/memory.md).
"""

import asyncio
from collections import deque
from enum import Enum

import httptools

from damaskramp.http import close_lingering
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.caller_buffers import ReadBuffer, UnsentAnswers
from damaskramp.relay.caller_context import CallerContext
from damaskramp.relay.caller_memory import ClientHolder
from damaskramp.relay.caller_reader import ReadStatus, RequestReader, RequestSink
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.caller_timeouts import arrival_timeout
from damaskramp.relay.caller_turns import TurnTaker
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.request_charges import RequestCharges
from damaskramp.relay.request_starter import RequestStarter
from damaskramp.relay.shedding import Shedding, client_address

__all__ = ["CallerConnection"]

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

MAX_PIPELINED_REQUESTS = 8
"""Most requests that may wait on a connection behind an unanswered one."""

NEW_CALLER_WEIGHT = 10
"""Weight of connections that have served no request yet when descriptors run out,
against those that have and are kept for reuse."""


class CallerConnection(asyncio.BufferedProtocol, RequestSink, ClientHolder, TurnTaker):
    """HTTP/1.1 connection of one caller.

    Parameters
    ----------
    connections : set of CallerConnection
        Open connections, of which this one becomes a member.
    read_buffer : ReadBuffer
        Buffer that every connection is read into, one at a time.
    """

    def __init__(
        self,
        context: CallerContext,
        connections: "set[CallerConnection]",
        read_buffer: ReadBuffer,
    ) -> None:
        self._context = context
        self._connections = connections
        self._read_buffer = read_buffer
        self._transport: asyncio.Transport | None = None
        self._charges = RequestCharges(context.memory)
        self._starter = RequestStarter(context, self._charges)
        self._reader = RequestReader(context, self, self._charges)
        self._current: CallerRequest | None = None
        self._pipelined: deque[CallerRequest] = deque()
        self._answers = UnsentAnswers(context.memory, context.clock)
        self._closing = False
        self._rejected = False
        self._has_served = False
        self._awaits_turn = False

    @property
    def names(self) -> ReservedNames:
        """Names of header fields."""
        return self._context.names

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer, or for its turn to begin."""
        return self._current is not None or self._awaits_turn

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer is not sent because the caller reads slowly."""
        return self._answers.has_unsent

    @property
    def client(self) -> str:
        """Address of the caller."""
        return client_address(self._transport)

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
            is_running = self.busy and not self._pipelined
            return 0 if is_running else self._charges.head_bytes + 1
        return 0 if self.busy else 1 if self._has_served else NEW_CALLER_WEIGHT

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and register the connection."""
        self._transport = transport
        if not self._charges.open(self.client):
            transport.abort()
            return
        self._answers.open(transport)
        self._connections.add(self)
        self._context.counters.add("caller_connections")

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
        self._connections.discard(self)
        self._drop_waiting()
        if self._current is not None:
            self._charges.release(self._current)
        self._answers.close()
        self._charges.close()

    def pause_writing(self) -> None:
        """Stop reading requests of a caller that does not read its answers."""
        self._answers.pause()
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume reading once the caller has read its answers."""
        self._answers.resume()
        self.update_reading()
        if self._pipelined and self._current is None:
            self._await_turn()

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
        return self._read_buffer.free(self._reader, self.busy)

    def buffer_updated(self, size: int) -> None:
        """Parse data from the caller."""
        if self._closing or self._rejected:
            return
        try:
            status = self._reader.feed(self._read_buffer.filled(size))
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

    def receive_request(self, request: CallerRequest) -> None:
        """Hand the request on, or queue it behind the one before it.

        A request that came in one piece with one that is answered at once may be read
        after the connection has begun to close. It never runs.
        """
        if self._rejected or self._closing or not self._charges.is_open:
            self._charges.release(request)
            return
        # A request never overtakes one that waits for its turn.
        is_first = self._current is None and not self._pipelined
        if is_first and not self._answers.stalled:
            if self._context.turns.may_begin():
                self._begin(request)
            else:
                self._pipelined.append(request)
                self._await_turn()
            return
        if not request.head_charge and not self._charges.reserve_head(
            request, request.head_bytes
        ):
            self._charges.release(request)
            self._reject(ReadStatus.OVERLOADED)
            return
        self._pipelined.append(request)
        self.update_reading()

    def respond(
        self, request: CallerRequest, head: bytes, body: bytes | BodySource
    ) -> None:
        """Send the answer to the current request."""
        if request is not self._current or not self._charges.is_open:
            discard_body(body)
            return
        self._has_served = True
        self._charges.release(request)
        # Requests that have already been read get their answers first.
        request.closes_connection = request.closes_connection or (
            self._context.closing and not self._pipelined
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
            self._context.counters.add("answers_broken_off")
            self._transport.abort()

    def _finish_answer(self, request: CallerRequest) -> None:
        self._current = None
        if request.closes_connection:
            self._closing = True
            close_lingering(self._transport)
        elif self._pipelined:
            # The parser may still run its present step; the next request waits for it.
            self._await_turn()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is stalled, slow or idle for too long."""
        if self._transport is None:
            return
        request = self._reader.request
        if self._answers.stalled:
            if self._answers.has_timed_out(now):
                self._context.counters.add("caller_closed", reason="unread")
                self._transport.abort()
        elif self._current is not None:
            return
        elif request is not None:
            timeout, reason = arrival_timeout(
                request, self._reader.head_done, self._context.limits
            )
            if now - request.started > timeout:
                self._context.counters.add("caller_closed", reason=reason)
                self._reject(408)
        elif not self._pipelined and (
            now - self.progressed_at > self._context.limits.idle_timeout
        ):
            self._context.counters.add("caller_closed", reason="idle")
            self._transport.close()

    def announce_end(self, end_at: float) -> None:
        """Tell the current request when the node ends."""
        request = self._current
        if request is not None and request.on_stop is not None:
            request.on_stop(end_at)

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

    def _await_turn(self) -> None:
        """Begin the next request when other connections have had their turn."""
        if not self._awaits_turn:
            self._awaits_turn = True
            self._context.turns.wait(self)

    def take_turn(self) -> bool:
        """Begin the next request; return whether there was one to begin."""
        self._awaits_turn = False
        if self._closing or self._answers.stalled:
            return False
        if self._current is not None or not self._pipelined:
            return False
        request = self._pipelined.popleft()
        self.update_reading()
        self._begin(request)
        return True

    def _begin(self, request: CallerRequest) -> None:
        self._current = request
        self._starter.start(request, self)

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
        self._drop_waiting()
        last.closes_connection = True
        if last is not self._current:
            # Its turn comes when the parser has ended its present step.
            self._pipelined.append(last)
        self._transport.pause_reading()

    def _reject(self, status: int) -> None:
        if self._transport is None or self._closing or self._rejected:
            return
        self._context.counters.add("caller_rejected", reason=str(int(status)))
        if self._current is not None or self._pipelined:
            # The caller still gets the answer to its current request.
            self._end_after_current()
            return
        request = self._reader.stop() or CallerRequest(self)
        self._current = request
        request.reject(int(status))

    def _drop_waiting(self) -> None:
        """Drop the requests that have not begun, and release their memory."""
        unread = self._reader.stop()
        if unread is not None:
            self._charges.release(unread)
        for request in self._pipelined:
            self._charges.release(request)
        self._pipelined.clear()
