"""Connections between nodes that carry many calls at once.

Each node opens one connection to each node that it sends calls to and receives the
answers on it. Messages of one loop iteration are sent in one write; large bodies follow
in fragments between other messages. A link on which nothing moves while it owes an
answer counts as broken, because a partitioned network resets no connection.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from damaskramp.core import Counters, Reason
from damaskramp.http import discard_on_close
from damaskramp.relay.body_source import BytesBody
from damaskramp.relay.body_transfer import BodySender
from damaskramp.relay.incoming_answer import IncomingAnswers
from damaskramp.relay.link_health import LinkHealth
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.message_stream import SILENCE_TIMEOUT_SECONDS, MessageStream
from damaskramp.relay.messages import (
    FRAGMENT_BYTES,
    REASONS,
    Call,
    Kind,
    check_answer,
    pack_call,
    unpack_load,
)
from damaskramp.relay.outcome_sink import Cancel, OutcomeSink

__all__ = ["LinkState", "LoanCallback", "PeerLink"]

CONNECT_TIMEOUT_SECONDS = 0.2
"""Timeout for connecting to another node, in seconds: many round trips between zones,
and shorter than the second after which TCP resends a lost opening packet."""

PROBE_AFTER_SECONDS = 0.2
"""Silence, in seconds, after which a link with open calls is sent a heartbeat ping."""

MIN_UPTIME_SECONDS = 0.25
"""Time, in seconds, for which a link must have been up to be reopened at once after a
reset, so that a node that resets each link is not reconnected all the time."""

LoanCallback = Callable[[float, float], None]
"""Receives the permits that a lender gave and those that it has left."""


class LinkState(Enum):
    """State of a link to another node."""

    CONNECTING = "connecting"
    UP = "up"
    DOWN = "down"


class PeerLink(MessageStream):
    """Outgoing link to the node on another host.

    Parameters
    ----------
    memory : MemoryQueue
        Memory for the bodies of answers.
    on_pong : callable
        Called with the host and the fields of each answer to a ping.
    on_down : callable
        Called when the link breaks, with the host, the cause, the number of open calls
        and whether the other side has ended a link that had been up for a while.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Callable[[], float],
        counters: Counters,
        memory: MemoryQueue,
        on_pong: Callable[[str, list], None],
        on_down: Callable[[str, str, int, bool], None],
    ) -> None:
        super().__init__(memory.budget)
        self._host = host
        self._port = port
        self._clock = clock
        self._counters = counters
        self._on_pong = on_pong
        self._on_down = on_down
        self._last_number = 0
        self._calls: dict[int, OutcomeSink] = {}
        self._unsent: dict[int, tuple] = {}
        self._loans: dict[int, LoanCallback] = {}
        self._sender = BodySender(self)
        self._answers = IncomingAnswers(self, memory, counters, self._forget_call)
        self._health = LinkHealth(SILENCE_TIMEOUT_SECONDS, clock())
        self._opened_at = clock()
        self._calls_end_at: float | None = None
        self._task: asyncio.Task | None = None
        self._state = LinkState.CONNECTING
        self.last_used_at = clock()

    @property
    def host(self) -> str:
        """IP address of the other host."""
        return self._host

    @property
    def state(self) -> LinkState:
        """Current state of the link."""
        return self._state

    @property
    def open_calls(self) -> int:
        """Number of calls without an outcome, and of answers that are arriving."""
        return len(self._calls) + len(self._answers)

    @property
    def arriving_answers(self) -> int:
        """Number of answers whose bodies are arriving."""
        return len(self._answers)

    @property
    def is_awaiting(self) -> bool:
        """Whether the other node has to answer something."""
        return self._health.is_awaiting

    def open(self) -> None:
        """Start to connect."""
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(lambda: self, self._host, self._port)
        except (OSError, TimeoutError) as error:
            self._counters.add("peer_links", reason="connect_failed")
            self._mark_down(repr(error), sent=False)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the calls that have waited for the connection."""
        if self._state is LinkState.DOWN:
            transport.abort()
            return
        self._state = LinkState.UP
        self._opened_at = self._clock()
        self._health.record_opened(self._opened_at)
        self._counters.add("peer_links", reason="opened")
        super().connection_made(transport)
        unsent, self._unsent = self._unsent, {}
        for message in unsent.values():
            self.send(message)
        if self._calls_end_at is not None:
            self._send_end()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss to all open calls and loans."""
        self.drop_input()
        lasted = self._clock() - self._opened_at > MIN_UPTIME_SECONDS
        self._mark_down(repr(error), sent=True, was_reset=lasted)

    def call(self, call: Call, reply: OutcomeSink) -> Cancel:
        """Send a call; return a function that cancels it."""
        self._last_number += 1
        number = self._last_number
        self._calls[number] = reply
        self.last_used_at = self._clock()
        self._health.record_question(self.last_used_at)
        if len(call.body) <= FRAGMENT_BYTES:
            message = (Kind.CALL, *pack_call(call, number))
        else:
            call, body = call._replace(body=b""), call.body
            message = (Kind.LARGE_CALL, len(body), *pack_call(call, number))
            self._counters.add("link_bodies", reason="request")
            self._sender.start(number, BytesBody(body), _ignore_end)
        if self._state is LinkState.CONNECTING:
            self._unsent[number] = message
        else:
            self.send(message)
        return lambda: self._cancel(number)

    def end_calls(self, end_at: float) -> None:
        """Tell the other node when this one ends, whose calls must not wait longer.

        Parameters
        ----------
        end_at : float
            Clock time in seconds.
        """
        self._calls_end_at = end_at
        if self._state is LinkState.UP:
            self._send_end()

    def _send_end(self) -> None:
        self.send((Kind.END_CALLS, self._calls_end_at - self._clock()))

    def send_fragment(self, number: int, data: bytes | memoryview) -> None:
        """Send a part of a body; its bytes are then awaited on the other host."""
        super().send_fragment(number, data)
        self.mark_position()
        self._record_question()

    def ping(self, *fields: object) -> None:
        """Ask for the other node's fleet view."""
        self._record_question()
        self.send((Kind.PING, *fields))

    def borrow(
        self, team: str, min_permits: float, max_permits: float, done: LoanCallback
    ) -> None:
        """Ask for permits; `done` gets those lent and those left there."""
        self._record_question()
        self._last_number += 1
        self._loans[self._last_number] = done
        self.send((Kind.BORROW, self._last_number, team, min_permits, max_permits))

    def check(self) -> bool:
        """Break the link if it has been silent too long; return whether to ping it."""
        now = self._clock()
        if self._state is not LinkState.UP:
            return False
        if self._sender.unfinished:
            self._health.record_delivered(self.delivered_bytes(), self._marked, now)
        if self._health.is_dead(now):
            # TCP would send calls whose packets were lost again after the close, and
            # they would run when nobody waits for them.
            discard_on_close(self._transport)
            self._mark_down("silent", sent=True)
            return False
        return self.open_calls > 0 and self._health.silence(now) > PROBE_AFTER_SECONDS

    def data_received(self, data: bytes) -> None:
        """Record that bytes move, also if they don't complete a message."""
        self._health.record_received(self._clock())
        super().data_received(data)

    def close(self) -> None:
        """Close the link without reporting the other node as lost."""
        self._on_down = _ignore_down
        self._mark_down("closed", sent=True)

    def received(self, message: list) -> None:
        """Process one message."""
        kind = message[0]
        if kind == Kind.ANSWER:
            _, number, status, head, body, *elements = message
            check_answer(status, head)
            load = unpack_load(elements)
            reply = self._calls.pop(number, None)
            if reply is not None:
                reply.answered(status, head, body, load)
        elif kind == Kind.REFUSED:
            self._refuse(message)
        elif kind == Kind.FRAGMENT:
            self._answers.receive(message[1], message[2])
        elif kind == Kind.GRANT:
            self._sender.handle_grant(message[1], message[2])
        elif kind == Kind.LARGE_ANSWER:
            self._begin_answer(message)
        elif kind == Kind.FAILED:
            self._fail(message)
        elif kind == Kind.PONG:
            self._on_pong(self._host, message)
        elif kind == Kind.LENT:
            lent, left = float(message[2]), float(message[3])
            done = self._loans.pop(message[1], None)
            if done is not None:
                done(lent, left)

    def _refuse(self, message: list) -> None:
        _, number, code, wait, arrived, *elements = message
        reason, wait, load = REASONS[code], float(wait), unpack_load(elements)
        self._sender.cancel(number)
        reply = self._calls.pop(number, None)
        if reply is not None:
            reply.refused(reason, wait, arrived, load)

    def _fail(self, message: list) -> None:
        """Process a failed call, or an answer that has broken off midway."""
        _, number, code, *elements = message
        reason, load = REASONS[code], unpack_load(elements)
        self._answers.fail(number)
        reply = self._calls.pop(number, None)
        if reply is not None:
            reply.failed(reason, load)

    def _begin_answer(self, message: list) -> None:
        _, number, status, head, size, *elements = message
        check_answer(status, head)
        load = unpack_load(elements)
        reply = self._calls.get(number)
        # The answer to a cancelled call is dropped by the other node.
        if reply is not None:
            reply.answer_started()
            self._answers.begin(number, status, head, size, load, reply)

    def _forget_call(self, number: int) -> None:
        del self._calls[number]

    def _record_question(self) -> None:
        self._health.record_question(self._clock())

    def _cancel(self, number: int) -> bool:
        if self._calls.pop(number, None) is None:
            return False
        if self._answers.cancel(number):
            return False
        # A call whose body has not been sent completely can't run.
        incomplete = self._sender.cancel(number)
        if self._unsent.pop(number, None) is not None:
            return True
        self.send((Kind.CANCEL, number))
        return incomplete

    def _mark_down(self, cause: str, sent: bool, was_reset: bool = False) -> None:
        if self._state is LinkState.DOWN:
            return
        self._state = LinkState.DOWN
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        calls, self._calls = self._calls, {}
        self._unsent.clear()
        loans, self._loans = self._loans, {}
        unrun = {number for number in calls if self._sender.cancel(number)}
        self._answers.break_off()
        self._sender.close()
        self._on_down(self._host, cause, len(calls), was_reset)
        for number, reply in calls.items():
            if sent and number not in unrun:
                reply.failed(Reason.BACKEND_SERVER_LOST, None)
            else:
                reply.refused(Reason.CONNECT_FAILED, 0.0, False, None)
        for done in loans.values():
            done(0.0, 0.0)


def _ignore_end(number: int, complete: bool) -> None:
    """Ignore that a body has been sent; the answer to the call follows."""


def _ignore_down(host: str, cause: str, open_calls: int, was_reset: bool) -> None:
    """Ignore the end of a link that this node has closed."""
