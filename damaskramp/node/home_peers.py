"""Messages to homes and to the nodes that keep copies of claims, over gRPC."""

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from damaskramp.core import HostId, Incarnation, TimerService
from damaskramp.http import IncompleteResponseError
from damaskramp.node.calls import Reply
from damaskramp.node.codec import decode_call, encode_call, encode_head
from damaskramp.node.home import Home
from damaskramp.node.home_messages import ClaimCopy, CopyResult, HomeCall, HomeMessages
from damaskramp.node.peer_server import PeerService
from damaskramp.node.peers import FAILURES, PeerPool, exchange
from damaskramp.ownership import Owner
from damaskramp.wire import dedup_pb2, peer_pb2
from damaskramp.wire.dedup_grpc import HomeBase, HomeStub

__all__ = ["GrpcHomeMessages", "HomeService"]


class GrpcHomeMessages(HomeMessages):
    """Client of the homes on other nodes, over gRPC.

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

    async def run(self, peer: str, home_call: HomeCall) -> Reply | None:
        """Ask a home to run a call; return None if the call was provably not sent."""
        remaining = home_call.call.context.deadline - self._timers.now
        if remaining <= 0:
            return None
        method = HomeStub(self._pool.channel(peer)).Run
        sent = await exchange(
            method, lambda: self._message(home_call), _decode, remaining
        )
        return sent.ok if sent.is_ok() else None

    async def copy(self, peer: str, copy: ClaimCopy, timeout: float) -> CopyResult:
        """Ask a node to keep a copy of a claim, and wait `timeout` seconds at most."""
        message = dedup_pb2.ClaimCopy(
            claim=copy.key,
            fingerprint=copy.fingerprint,
            home_host=copy.home.host,
            home_incarnation=copy.home.incarnation,
            probe=copy.probe,
        )
        stub = HomeStub(self._pool.channel(peer))
        try:
            async with asyncio.timeout(timeout):
                return CopyResult((await stub.Copy(message)).result)
        except (*FAILURES, TimeoutError, ValueError):
            return CopyResult.LOST

    def _message(self, home_call: HomeCall) -> dedup_pb2.RunRequest:
        call = encode_call(home_call.call, self._timers.now)
        return dedup_pb2.RunRequest(
            call=call.SerializeToString(),
            scope=home_call.scope,
            first_attempt=home_call.first_attempt,
            look_only=home_call.look_only,
        )


class HomeService(HomeBase):
    """Server of the home on this node, over gRPC.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    home : Home
        Home at this node.
    peers : PeerService
        Service that counts the calls being served.
    """

    def __init__(self, timers: TimerService, home: Home, peers: PeerService) -> None:
        self._timers = timers
        self._home = home
        self._peers = peers

    async def Run(self, stream: Stream) -> None:
        """Run one call and stream its reply."""
        with self._peers.serving():
            await self._serve(stream)

    async def _serve(self, stream: Stream) -> None:
        message = await stream.recv_message()
        execute = peer_pb2.ExecuteRequest.FromString(message.call)
        home_call = HomeCall(
            decode_call(execute, self._timers.now),
            message.scope,
            message.first_attempt,
            message.look_only,
        )
        reply = await self._home.run(home_call)
        await stream.send_message(_encode(encode_head(reply)))
        if reply.tail is None:
            return
        try:
            async for chunk in reply.tail:
                part = peer_pb2.ExecuteReply(chunk=chunk)
                await stream.send_message(_encode(part))
        except IncompleteResponseError as error:
            raise GRPCError(Status.DATA_LOSS, str(error)) from error

    async def Copy(self, stream: Stream) -> None:
        """Keep a copy of a claim."""
        message = await stream.recv_message()
        home = Owner(
            HostId(message.home_host), Incarnation(message.home_incarnation), ""
        )
        copy = ClaimCopy(message.claim, message.fingerprint, home, message.probe)
        result = self._home.keep_copy(copy)
        await stream.send_message(dedup_pb2.ClaimCopied(result=result.value))


def _encode(part: peer_pb2.ExecuteReply) -> dedup_pb2.RunReply:
    return dedup_pb2.RunReply(part=part.SerializeToString())


def _decode(message: dedup_pb2.RunReply) -> peer_pb2.ExecuteReply:
    return peer_pb2.ExecuteReply.FromString(message.part)
