"""Connections between nodes that carry many calls at once.

Each node opens one connection to each node that it has calls for; answers come back on
it. Messages written within one turn of the loop leave in one write. A link that has
been silent while something was asked counts as broken: a cut network resets nothing.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum

import msgpack

from damaskramp.core import Counters, Reason
from damaskramp.dispatch import Load
from damaskramp.relay.execution import CallReply, Cancel, Executor
from damaskramp.relay.messages import REASON_CODES, REASONS, Call, Kind

__all__ = ["IncomingLink", "Lent", "LinkService", "LinkState", "PeerLink"]

LOGGER = logging.getLogger(__name__)

CONNECT_SECONDS = 0.2
"""Wait for a connection to another node: many round trips between zones, and shorter
than the second after which a lost opening packet is sent again."""

SILENCE_SECONDS = 0.6
"""Silence after which a link with open questions is broken. Several round trips and
the time that a busy node may take for one turn of its loop."""

PROBE_SECONDS = 0.2
"""Silence after which a link with open calls is asked for a sign of life."""

LASTING_SECONDS = 0.25
"""Time for which a link must have been up to be opened again at once after a reset, so
that a node that resets each link is not asked all the time."""

MESSAGE_BYTES = 80 * 1024 * 1024
"""Largest message: the largest body of a request, with room for its head."""


Lent = Callable[[float, float], None]
"""Takes the permits that a lender gave and those that it has left."""


class LinkState(Enum):
    """State of a link to another node."""

    CONNECTING = "connecting"
    UP = "up"
    DOWN = "down"


class _Stream(asyncio.Protocol):
    """Stream of messages with writes gathered by turn of the loop."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_BYTES)
        self._pack = msgpack.Packer().pack

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the transport; send what has gathered."""
        self._transport = transport
        set_user_timeout(transport)
        if self._out:
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Take messages."""
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self.received(message)
        except Exception as error:
            # Whatever a peer sends costs this link and nothing else.
            LOGGER.warning("unreadable message", extra={"reason": repr(error)})
            if self._transport is not None:
                self._transport.abort()

    def received(self, message: list) -> None:
        """Take one message."""
        raise NotImplementedError

    def send(self, message: tuple) -> None:
        """Send a message with this turn's others."""
        if not self._out and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(self._pack(message))

    def _flush(self) -> None:
        if self._transport is not None and self._out:
            self._transport.write(b"".join(self._out))
            self._out.clear()


def set_user_timeout(transport: asyncio.Transport) -> None:
    """Have the kernel break a connection whose bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(2 * SILENCE_SECONDS * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


class PeerLink(_Stream):
    """Link to the node on another host.

    Parameters
    ----------
    on_pong : callable
        Called with the host and the fields of each answer to a ping.
    on_down : callable
        Called with the host, the cause and the open calls where the link breaks, and
        whether the other side has ended a link that had been up for a while.
    """

    def __init__(
        self,
        host: str,
        port: int,
        clock: Callable[[], float],
        counters: Counters,
        on_pong: Callable[[str, list], None],
        on_down: Callable[[str, str, int, bool], None],
    ) -> None:
        super().__init__()
        self._host = host
        self._port = port
        self._clock = clock
        self._counters = counters
        self._on_pong = on_pong
        self._on_down = on_down
        self._numbers = 0
        self._calls: dict[int, CallReply] = {}
        self._unsent: dict[int, tuple] = {}
        self._loans: dict[int, Lent] = {}
        self._heard = clock()
        self._asked: float | None = None
        self._opened_at = clock()
        self._task: asyncio.Task | None = None
        self._state = LinkState.CONNECTING
        self.used = clock()

    @property
    def host(self) -> str:
        """IP address of the other host."""
        return self._host

    @property
    def state(self) -> LinkState:
        """State of the link."""
        return self._state

    @property
    def open_calls(self) -> int:
        """Calls without an outcome."""
        return len(self._calls)

    def open(self) -> None:
        """Begin to connect."""
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: self, self._host, self._port)
        except (OSError, TimeoutError) as error:
            self._counters.add("peer_links", reason="connect_failed")
            self._down(repr(error), sent=False)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send what has waited for the connection."""
        if self._state is LinkState.DOWN:
            transport.abort()
            return
        self._state = LinkState.UP
        self._heard = self._opened_at = self._clock()
        self._counters.add("peer_links", reason="opened")
        super().connection_made(transport)
        unsent, self._unsent = self._unsent, {}
        for message in unsent.values():
            self.send(message)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell all open calls."""
        lasted = self._clock() - self._opened_at > LASTING_SECONDS
        self._down(repr(error), sent=True, was_reset=lasted)

    def call(self, call: Call, reply: CallReply) -> Cancel:
        """Send a call; return how to cancel it."""
        self._numbers += 1
        number = self._numbers
        self._calls[number] = reply
        self.used = self._clock()
        if self._asked is None:
            self._asked = self.used
        message = (Kind.CALL, number, *call[1:])
        if self._state is LinkState.CONNECTING:
            self._unsent[number] = message
        else:
            self.send(message)
        return lambda: self._cancel(number)

    def ping(self, *fields: object) -> None:
        """Ask for the other node's beliefs."""
        self._note_question()
        self.send((Kind.PING, *fields))

    def borrow(self, team: str, least: float, most: float, done: Lent) -> None:
        """Ask for permits; `done` gets how many, and how many are left."""
        self._note_question()
        self._numbers += 1
        self._loans[self._numbers] = done
        self.send((Kind.BORROW, self._numbers, team, least, most))

    def check(self) -> bool:
        """Break the link if it has been silent; return whether to ping it."""
        now = self._clock()
        if self._state is not LinkState.UP:
            return False
        silent = now - self._heard
        overdue = self._asked is not None and now - self._asked > SILENCE_SECONDS
        if overdue and silent > SILENCE_SECONDS:
            self._down("silent", sent=True)
            return False
        return bool(self._calls) and silent > PROBE_SECONDS

    def close(self) -> None:
        """Close the link, which is no sign that the other node is lost."""
        self._on_down = _no_loss
        self._down("closed", sent=True)

    def received(self, message: list) -> None:
        """Take one message."""
        self._heard = self._clock()
        self._asked = None
        kind = message[0]
        if kind == Kind.ANSWER:
            reply = self._calls.pop(message[1], None)
            if reply is not None:
                _, _, status, head, body, *load = message
                reply.answered(status, head, body, Load(*load))
        elif kind == Kind.REFUSED:
            reply = self._calls.pop(message[1], None)
            if reply is not None:
                _, _, reason, wait, arrived, *load = message
                reply.refused(REASONS[reason], wait, arrived, Load(*load))
        elif kind == Kind.FAILED:
            reply = self._calls.pop(message[1], None)
            if reply is not None:
                reply.failed(REASONS[message[2]], Load(*message[3:]))
        elif kind == Kind.PONG:
            self._on_pong(self._host, message)
        elif kind == Kind.LENT:
            done = self._loans.pop(message[1], None)
            if done is not None:
                done(message[2], message[3])

    def _note_question(self) -> None:
        if self._asked is None:
            self._asked = self._clock()

    def _cancel(self, number: int) -> bool:
        if self._calls.pop(number, None) is None:
            return False
        if self._unsent.pop(number, None) is not None:
            return True
        self.send((Kind.CANCEL, number))
        return False

    def _down(self, cause: str, sent: bool, was_reset: bool = False) -> None:
        if self._state is LinkState.DOWN:
            return
        self._state = LinkState.DOWN
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        calls, self._calls = self._calls, {}
        self._unsent.clear()
        loans, self._loans = self._loans, {}
        self._on_down(self._host, cause, len(calls), was_reset)
        for reply in calls.values():
            if sent:
                reply.failed(Reason.BACKEND_SERVER_LOST, None)
            else:
                reply.refused(Reason.CONNECT_FAILED, 0.0, False, None)
        for done in loans.values():
            done(0.0, 0.0)


class LinkService:
    """What a node does for other nodes.

    Attributes
    ----------
    pong : callable
        From the fields of a ping to those of its answer.
    lend : callable
        From a team and the least and most permits wanted to those given and left.
    take_back : callable
        Takes a team and permits of it that another node could not use.
    news : callable
        Takes changes that another node has read.
    """

    def __init__(
        self,
        executor: Executor,
        pong: Callable[[list], tuple],
        lend: Callable[[str, float, float], tuple[float, float]],
        take_back: Callable[[str, float], None],
        news: Callable[[list], None],
    ) -> None:
        self.news = news
        self.executor = executor
        self.pong = pong
        self.lend = lend
        self.take_back = take_back
        self.links: set[IncomingLink] = set()

    def connect(self) -> "IncomingLink":
        """Protocol of a new connection."""
        return IncomingLink(self)

    def abort(self) -> None:
        """Break all links off."""
        for link in list(self.links):
            link.abort()


class IncomingLink(_Stream):
    """Link that another node has opened."""

    def __init__(self, service: LinkService) -> None:
        super().__init__()
        self._service = service
        self._cancels: dict[int, Cancel] = {}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the link."""
        self._service.links.add(self)
        super().connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the calls of a node that can't take their answers."""
        self._transport = None
        self._service.links.discard(self)
        for cancel in list(self._cancels.values()):
            cancel()
        self._cancels.clear()

    def received(self, message: list) -> None:
        """Take one message."""
        kind = message[0]
        if kind == Kind.CALL:
            call = Call(*message[1:])
            reply = _RemoteReply(self, call.number)
            cancel = self._service.executor.submit(call, reply)
            if not reply.done:
                self._cancels[call.number] = cancel
        elif kind == Kind.CANCEL:
            cancel = self._cancels.pop(message[1], None)
            if cancel is not None:
                cancel()
        elif kind == Kind.PING:
            self.send((Kind.PONG, *self._service.pong(message)))
        elif kind == Kind.NEWS:
            self._service.news(message)
        elif kind == Kind.BORROW:
            _, number, team, least, most = message
            self.send((Kind.LENT, number, *self._service.lend(team, least, most)))
        elif kind == Kind.GIVE_BACK:
            self._service.take_back(message[1], message[2])

    def abort(self) -> None:
        """Break the link off."""
        if self._transport is not None:
            self._transport.abort()

    def finish(self, number: int, message: tuple) -> None:
        """Send the outcome of a call."""
        self._cancels.pop(number, None)
        if self._transport is not None:
            self.send(message)


class _RemoteReply(CallReply):
    __slots__ = ("_link", "_number", "done")

    def __init__(self, link: IncomingLink, number: int) -> None:
        self._link = link
        self._number = number
        self.done = False

    def answered(self, status: int, head: bytes, body: bytes, load: Load) -> None:
        self._send((Kind.ANSWER, self._number, status, head, body, *_wire(load)))

    def refused(self, reason: Reason, wait: float, arrived: bool, load: Load) -> None:
        code = REASON_CODES[reason]
        self._send((Kind.REFUSED, self._number, code, wait, arrived, *_wire(load)))

    def failed(self, reason: Reason, load: Load) -> None:
        self._send((Kind.FAILED, self._number, REASON_CODES[reason], *_wire(load)))

    def _send(self, message: tuple) -> None:
        self.done = True
        self._link.finish(self._number, message)


def _wire(load: Load) -> tuple[int, int, int, float, int]:
    return load.running, load.waiting, load.limit, load.service_time, load.depth


def _no_loss(host: str, cause: str, open_calls: int, was_reset: bool) -> None:
    """Take the end of a link that was closed here."""
