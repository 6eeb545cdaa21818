"""Calls whose bodies arrive in fragments, at the node beside the backend server."""

from damaskramp.relay.body_source import ReceivedBody
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.messages import Call

__all__ = ["IncomingUpload", "UploadBody"]


class UploadBody(ReceivedBody):
    """Body of a call, which is run when the body is complete.

    Memory for all of it is reserved before the first byte is granted, so that uploads
    that arrive together can't hold each other up half-way.
    """

    __slots__ = ("_data",)

    def __init__(self, memory: MemoryQueue, size: int) -> None:
        super().__init__(memory, size)
        self.is_whole = True
        self._data = bytearray()

    def open(self) -> None:
        """Reserve memory for the whole body, or wait for it."""
        memory, size = self._memory, self._size
        if not memory.waiting and memory.reserve_alone(size):
            self._grant(size)
        else:
            self._waiter = memory.wait(size, lambda: self._grant(size))

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for memory."""
        return self._waiter is not None

    def take_whole(self) -> bytearray:
        """Return the complete body, and release its memory for another owner."""
        data, self._data = self._data, bytearray()
        self.close()
        return data

    def close(self) -> None:
        """Give up the body, and release its memory."""
        self._data = bytearray()
        super().close()

    def _add_piece(self, data: bytes) -> None:
        self._data += data


class IncomingUpload:
    """Call whose body is arriving.

    Parameters
    ----------
    call : Call
        The call, without its body.
    arrived_at : float
        Clock time in seconds at which the call arrived.
    """

    __slots__ = ("_arrived_at", "_call", "body")

    def __init__(self, call: Call, body: UploadBody, arrived_at: float) -> None:
        self._call = call
        self._arrived_at = arrived_at
        self.body = body

    @property
    def call(self) -> Call:
        """The call, without its body."""
        return self._call

    @property
    def expires_at(self) -> float:
        """Clock time in seconds after which nobody waits for the answer."""
        return self._arrived_at + self._call.remaining

    def complete(self, now: float) -> Call:
        """Return the call with its body; the memory of the body is released."""
        call, elapsed = self._call, now - self._arrived_at
        return call._replace(
            body=self.body.take_whole(),
            remaining=call.remaining - elapsed,
            target=call.target - elapsed,
        )
