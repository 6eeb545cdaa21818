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
from damaskramp.relay.answer_intake import AnswerIntake
from damaskramp.relay.answer_reader import AnswerReader
from damaskramp.relay.body_source import READ_BYTES
from damaskramp.relay.messages import FRAGMENT_BYTES
from damaskramp.relay.read_size import FIRST_READ_BYTES, next_read_bytes
from damaskramp.relay.server_answer import Exchange, ExchangeFailure

if TYPE_CHECKING:
    from damaskramp.relay.backend_connection import ServerConnections

__all__ = ["ServerConnection"]


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
        self._exchange: Exchange | None = None
        self._reader: AnswerReader | None = None
        self._read_bytes = FIRST_READ_BYTES
        self._is_handed_on = False
        self._is_paused = False
        self.idle_until = 0.0
        self.opened_at = 0.0

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and begin to parse.

        The reader refers to the connection. If one was made for a connection that is
        refused, both would stay until the garbage collector runs.
        """
        self._transport = transport
        pool = self._pool
        self._reader = AnswerReader(
            pool.names,
            pool.counters,
            pool.memory,
            pool.update_idle_timeout,
            self._advance,
            self._taker_gone,
        )

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
        self._read_bytes = FIRST_READ_BYTES
        self._is_handed_on = False
        self._reader.begin(exchange.head_received, request_id, head_only)
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
        self._discard(self._reader.stop())
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
        reader = self._reader
        if reader.complete_answer is not None:
            # The answer waits for memory. What follows it belongs to no request, and
            # the parser would hold all of a field without end.
            reader.has_unsolicited = True
            self._is_paused = True
            self._transport.pause_reading()
            return
        reader.received += size
        reader.parts = 0
        try:
            reader.parser.feed_data(self._pool.read_buffer[:size])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            reader.reusable = False
            if reader.complete_answer is None:
                self._fail(ExchangeFailure.BROKEN)
                return
        if reader.complete_answer is None and reader.has_bad_status:
            self._pool.counters.add("backend_bad_statuses")
            self._fail(ExchangeFailure.BROKEN)
            return
        if reader.complete_answer is None and reader.is_too_large:
            self._fail(ExchangeFailure.TOO_LARGE)
            return
        self._read_bytes = next_read_bytes(size, reader.parts, READ_BYTES)
        self._advance()

    def eof_received(self) -> bool:
        """Complete an answer without a length, which ends with its connection."""
        if not self._reader.end_input():
            return False
        self._advance()
        # The answer may wait for memory; the server's end is closed with it.
        return self._reader.complete_answer is not None

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the open request, and release the body of its answer."""
        self._transport = None
        self._pool.lost(self)
        if self._reader.complete_answer is None:
            self._fail(ExchangeFailure.RESET)
        self._reader.close()

    def _advance(self) -> None:
        """Hand on what is ready, and read further if there is memory for it."""
        reader = self._reader
        intake = reader.intake
        if reader.complete_answer is not None:
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
            answer = self._reader.answer
            answer.body = intake.body
            self._exchange.answered(answer)

    def _update_reading(self) -> None:
        intake = self._reader.intake
        may_read = intake is None or intake.may_read
        if self._transport is None or may_read is not self._is_paused:
            return
        self._is_paused = not may_read
        if may_read:
            self._transport.resume_reading()
        else:
            self._pool.counters.add("answers_held_back")
            self._transport.pause_reading()

    def _deliver(self) -> None:
        reader = self._reader
        answer, reader.complete_answer = reader.complete_answer, None
        exchange, self._exchange = self._exchange, None
        intake, reader.intake = reader.intake, None
        if self._is_paused:
            self._update_reading()
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if reader.has_unsolicited or not reader.reusable or unsent:
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
            self._discard(self._reader.drop_body())
        if exchange is not None:
            exchange.failed(failure)

    def _discard(self, intake: AnswerIntake | None) -> None:
        """Release the memory of a body.

        A body that has been handed on belongs to its taker, who is told that the rest
        will never come.
        """
        if intake is None:
            return
        if self._is_handed_on:
            intake.break_off()
        else:
            intake.close()
