"""Calls to other nodes by gRPC."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, suppress

from expression import Error, Ok, Result
from grpclib.client import Channel, Stream, UnaryStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from damaskramp.core import Reason, TimerService
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.codec import decode_head, encode_call
from damaskramp.wire import peer_pb2
from damaskramp.wire.peer_grpc import PeerStub

__all__ = ["FAILURES", "PeerClient", "PeerPool", "exchange"]

CONNECT_SECONDS = 1.0
GRACE_SECONDS = 0.05
"""Time beyond the deadline in which a peer may still tell the outcome."""

FAILURES = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class PeerPool:
    """One channel for each address of a peer."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def channel(self, address: str) -> Channel:
        """Channel to an address; it connects when first used."""
        if address not in self._channels:
            host, _, port = address.rpartition(":")
            self._channels[address] = Channel(host, int(port))
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
        method = PeerStub(self._pool.channel(member.peer)).Execute
        sent = await exchange(
            method, lambda: encode_call(call, self._timers.now), _same, remaining
        )
        if sent.is_error():
            return Reply.not_run(Reason.CONNECT_FAILED, detail=sent.error)
        return sent.ok


async def exchange(
    method: UnaryStreamMethod,
    make_message: Callable[[], object],
    decode: Callable[[object], peer_pb2.ExecuteReply],
    remaining: float,
) -> Result[Reply, str]:
    """Send one message and read the reply that streams back.

    Returns
    -------
    Result
        The reply, unknown where it was lost; an error where the message was
        provably not sent.
    """
    reply = None
    try:
        async with AsyncExitStack() as stack:
            stream = await stack.enter_async_context(
                method.open(timeout=remaining + GRACE_SECONDS)
            )
            try:
                async with asyncio.timeout(min(CONNECT_SECONDS, remaining)):
                    await stream.send_request()
            except (*FAILURES, TimeoutError) as error:
                await _reset(stream)
                return Error(str(error))
            reply = Reply.unknown(Reason.ANSWER_LOST, "the peer sent no reply")
            await stream.send_message(make_message(), end=True)
            first = await stream.recv_message()
            if first is not None:
                part = decode(first)
                reply = decode_head(part.head)
                if part.head.more:
                    tail = _tail(stack.pop_all(), stream, decode)
                    reply = decode_head(part.head, tail)
    except TimeoutError:
        if reply is None or reply.reason is Reason.ANSWER_LOST:
            reply = Reply.unknown(Reason.DEADLINE_EXCEEDED)
    except FAILURES as error:
        # A reply that was read whole stands, however its stream ended.
        if reply is None:
            return Error(str(error))
        if reply.reason is Reason.ANSWER_LOST:
            reply = Reply.unknown(Reason.ANSWER_LOST, str(error))
    return Ok(reply)


async def _reset(stream: Stream) -> None:
    with suppress(*FAILURES):
        await stream.reset()


def _same(message: peer_pb2.ExecuteReply) -> peer_pb2.ExecuteReply:
    return message


async def _tail(
    held: AsyncExitStack,
    stream: Stream,
    decode: Callable[[object], peer_pb2.ExecuteReply],
) -> AsyncIterator[bytes]:
    async with held:
        async for message in stream:
            yield decode(message).chunk
