"""Calls to other nodes by gRPC."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from damaskramp.core import Reason, TimerService
from damaskramp.http import BrokenAnswerError
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.codec import decode_head, encode_call
from damaskramp.tls import TlsContexts
from damaskramp.wire.peer_grpc import PeerStub

__all__ = ["PeerClient", "PeerPool"]

CONNECT_SECONDS = 1.0
GRACE_SECONDS = 0.05
"""Time beyond the deadline in which a peer may still tell the outcome."""

FAILURES = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class PeerPool:
    """One channel for each address of a peer.

    Parameters
    ----------
    tls : TlsContexts
        Mutual TLS, where nodes speak it.
    """

    def __init__(self, tls: TlsContexts) -> None:
        self._tls = tls
        self._channels: dict[str, Channel] = {}

    def channel(self, address: str) -> Channel:
        """Channel to an address; it connects when first used."""
        if address not in self._channels:
            host, _, port = address.rpartition(":")
            self._channels[address] = Channel(
                host.strip("[]"), int(port), ssl=self._tls.peer_client
            )
        return self._channels[address]

    def forget(self, addresses: set[str]) -> None:
        """Close the channels to addresses that no member has any more."""
        for address in addresses & self._channels.keys():
            self._channels.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class PeerClient:
    """Client side of the call from an entry node to an executing node.

    Parameters
    ----------
    timers : TimerService
        Time.
    pool : PeerPool
        Channels.
    """

    def __init__(self, timers: TimerService, pool: PeerPool) -> None:
        self._timers = timers
        self._pool = pool

    async def execute(self, member: Member, call: Call) -> Reply:
        """Have a member run a call.

        A failure before the message is sent is told as not run, any later one
        as unknown.
        """
        remaining = call.context.deadline - self._timers.now
        if remaining <= 0:
            return Reply.not_run(Reason.DEADLINE_EXCEEDED)
        stub = PeerStub(self._pool.channel(member.peer))
        exchange = _Exchange(call, self._timers)
        try:
            return await exchange.run(stub, remaining)
        except (*FAILURES, TimeoutError) as error:
            return exchange.failed(error)


class _Exchange:
    """One call on one stream, and how far it has come."""

    def __init__(self, call: Call, timers: TimerService) -> None:
        self._call = call
        self._timers = timers
        self._message_sent = False

    async def run(self, stub: PeerStub, remaining: float) -> Reply:
        async with AsyncExitStack() as stack:
            stream = await stack.enter_async_context(
                stub.Execute.open(timeout=remaining + GRACE_SECONDS)
            )
            async with asyncio.timeout(min(CONNECT_SECONDS, remaining)):
                await stream.send_request()
            message = encode_call(self._call, self._timers.now)
            self._message_sent = True
            await stream.send_message(message, end=True)
            first = await stream.recv_message()
            if first is None:
                raise ConnectionResetError("the peer sent no reply")
            if not first.head.more:
                await stream.recv_message()
                return decode_head(first.head)
            return decode_head(first.head, _tail(stack.pop_all(), stream))

    def failed(self, error: BaseException) -> Reply:
        """Reply for an exchange that ended with `error`."""
        if not self._message_sent:
            return Reply.not_run(Reason.CONNECT_FAILED, detail=str(error))
        if isinstance(error, TimeoutError):
            return Reply.unknown(Reason.DEADLINE_EXCEEDED)
        return Reply.unknown(Reason.ANSWER_LOST, str(error))


async def _tail(held: AsyncExitStack, stream: Stream) -> AsyncIterator[bytes]:
    try:
        async with held:
            async for message in stream:
                yield message.chunk
    except (*FAILURES, TimeoutError) as error:
        raise BrokenAnswerError(str(error)) from error
