"""Calls to other nodes over gRPC."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

from expression import Error, Ok, Result
from grpclib.client import Channel, Stream, UnaryStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from damaskramp.core import Reason, TimerService
from damaskramp.http import IncompleteResponseError
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.codec import decode_head, encode_call
from damaskramp.tls import TlsContexts
from damaskramp.wire import peer_pb2
from damaskramp.wire.peer_grpc import PeerStub

__all__ = ["FAILURES", "PeerClient", "PeerPool", "exchange"]

CONNECT_TIMEOUT_SECONDS = 1.0
REPLY_GRACE_SECONDS = 0.05
"""Time beyond the deadline in which a peer may still report the outcome."""

FAILURES = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class PeerPool:
    """Pool with one gRPC channel for each peer address.

    Parameters
    ----------
    tls : TlsContexts
        TLS contexts, for mutual TLS between nodes where it is configured.
    """

    def __init__(self, tls: TlsContexts) -> None:
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    def channel(self, address: str) -> Channel:
        """Channel to an address, which connects on first use."""
        if address not in self._channels:
            host, _, port = address.rpartition(":")
            self._channels[address] = Channel(
                host.strip("[]"), int(port), ssl=self._tls.peer_client
            )
        return self._channels[address]

    def forget(self, addresses: set[str]) -> None:
        """Close the channels to addresses that no member uses any more."""
        for address in addresses & self._channels.keys():
            self._channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class PeerClient:
    """Client for calls from an entry node to executing nodes.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    pool : PeerPool
        Channels to other nodes.
    """

    def __init__(self, timers: TimerService, pool: PeerPool) -> None:
        self._timers = timers
        self._pool = pool

    async def execute(self, member: Member, call: Call) -> Reply:
        """Send a call to a member and return its reply.

        The reply is `not_run` for a failure before the message is sent, and
        `unknown` for any later failure.
        """
        remaining = call.context.deadline - self._timers.now
        if remaining <= 0:
            return Reply.not_run(Reason.DEADLINE_EXCEEDED)
        method = PeerStub(self._pool.channel(member.peer)).Execute
        result = await exchange(
            method, lambda: encode_call(call, self._timers.now), _unchanged, remaining
        )
        if result.is_error():
            return Reply.not_run(Reason.CONNECT_FAILED, detail=result.error)
        return result.ok


async def exchange(
    method: UnaryStreamMethod,
    make_message: Callable[[], object],
    decode: Callable[[object], peer_pb2.ExecuteReply],
    remaining: float,
) -> Result[Reply, str]:
    """Send one message and read the streamed reply.

    Parameters
    ----------
    method : UnaryStreamMethod
        Method of the peer.
    make_message : callable
        Function that builds the message, called once the stream is open.
    decode : callable
        Function that returns the ``ExecuteReply`` in each received message.
    remaining : float
        Seconds until the deadline of the call.

    Returns
    -------
    Result
        The reply, with outcome unknown if it was lost; an error if the message was
        provably not sent.
    """
    exchanged = _Exchange(make_message, decode)
    try:
        await exchanged.run(method, remaining)
    except (*FAILURES, TimeoutError) as error:
        return exchanged.result_after_failure(error)
    return Ok(exchanged.reply)


class _Exchange:
    """One message on one stream, with the progress of the exchange."""

    def __init__(
        self,
        make_message: Callable[[], object],
        decode: Callable[[object], peer_pb2.ExecuteReply],
    ) -> None:
        self._make_message = make_message
        self._decode = decode
        self._message_sent = False
        self._reply: Reply | None = None

    @property
    def reply(self) -> Reply | None:
        """Reply once it has been read, else None."""
        return self._reply

    async def run(self, method: UnaryStreamMethod, remaining: float) -> None:
        """Send the message and read the reply."""
        async with AsyncExitStack() as stack:
            stream = await stack.enter_async_context(
                method.open(timeout=remaining + REPLY_GRACE_SECONDS)
            )
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, remaining)):
                await stream.send_request()
            message = self._make_message()
            self._message_sent = True
            await stream.send_message(message, end=True)
            first = await stream.recv_message()
            if first is None:
                raise ConnectionResetError("the peer sent no reply")
            head = self._decode(first).head
            if not head.more:
                self._reply = decode_head(head)
                await stream.recv_message()
                return
            tail = _stream_tail(stack.pop_all(), stream, self._decode)
            self._reply = decode_head(head, tail)

    def result_after_failure(self, error: BaseException) -> Result[Reply, str]:
        """Reply for an exchange that ended with `error`."""
        if self._reply is not None:
            # The reply was read completely; a failure of its stream doesn't matter.
            return Ok(self._reply)
        if not self._message_sent:
            return Error(str(error))
        if isinstance(error, TimeoutError):
            return Ok(Reply.unknown(Reason.DEADLINE_EXCEEDED))
        return Ok(Reply.unknown(Reason.ANSWER_LOST, str(error)))


def _unchanged(message: peer_pb2.ExecuteReply) -> peer_pb2.ExecuteReply:
    return message


async def _stream_tail(
    stack: AsyncExitStack,
    stream: Stream,
    decode: Callable[[object], peer_pb2.ExecuteReply],
) -> AsyncIterator[bytes]:
    try:
        async with stack:
            async for message in stream:
                yield decode(message).chunk
    except (*FAILURES, TimeoutError) as error:
        raise IncompleteResponseError(str(error)) from error
