"""Server side of the calls between nodes."""

from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from damaskramp.core import TimerService
from damaskramp.http import IncompleteResponseError
from damaskramp.node.codec import decode_call, encode_head
from damaskramp.node.execution import Executor
from damaskramp.wire import peer_pb2
from damaskramp.wire.peer_grpc import PeerBase

__all__ = ["PeerService"]


class PeerService(PeerBase):
    """Service that runs the calls of other nodes.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    executor : Executor
        Executor that runs calls on this host.
    """

    def __init__(self, timers: TimerService, executor: Executor) -> None:
        self._timers = timers
        self._executor = executor
        self._active = 0
        self._last_call_at = timers.now

    @property
    def active(self) -> int:
        """Number of calls whose reply has not been sent completely."""
        return self._active

    @property
    def quiet_seconds(self) -> float:
        """Time in seconds since the last call arrived."""
        return self._timers.now - self._last_call_at

    async def Execute(self, stream: Stream) -> None:
        """Run one call and stream its reply."""
        with self.serving():
            await self._serve(stream)

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Count a call as active while it is served."""
        self._active += 1
        self._last_call_at = self._timers.now
        try:
            yield
        finally:
            self._active -= 1

    async def _serve(self, stream: Stream) -> None:
        message = await stream.recv_message()
        call = decode_call(message, self._timers.now)
        reply = await self._executor.execute(call)
        await stream.send_message(encode_head(reply))
        if reply.tail is None:
            return
        try:
            async for chunk in reply.tail:
                await stream.send_message(peer_pb2.ExecuteReply(chunk=chunk))
        except IncompleteResponseError as error:
            raise GRPCError(Status.DATA_LOSS, str(error)) from error
