"""Body whose length is known only when it ends."""

from damaskramp.relay.body_source import READ_BYTES, ReceivedBody
from damaskramp.relay.memory_queue import MemoryQueue

__all__ = ["GrowingBody"]

GROWTH_BYTES = 1024 * 1024
"""First reservation of a body of unknown length, in bytes."""


class GrowingBody(ReceivedBody):
    """Body of unknown length, which is always held whole.

    It reserves a little first, then all that it may need. A body that waits for memory
    thus never waits for another one that waits too.

    Parameters
    ----------
    max_size : int
        Largest length in bytes.
    """

    __slots__ = ("_finished", "_max_size")

    def __init__(self, memory: MemoryQueue, max_size: int) -> None:
        super().__init__(memory, max_size)
        self._max_size = max_size
        self._finished = False
        self.is_whole = True

    def open(self) -> None:
        """Reserve memory for a body of moderate length."""
        self._reserve(GROWTH_BYTES)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return self._finished

    @property
    def is_ready(self) -> bool:
        """Whether the body is complete, and its memory reserved."""
        return self._finished and self._granted >= self.received

    @property
    def may_read(self) -> bool:
        """Whether there is memory for what one read of a connection may return."""
        room = self._granted - self.received
        return room >= min(READ_BYTES, self._max_size - self.received)

    def feed(self, data: bytes) -> None:
        """Add the next bytes, and reserve memory for those that may follow."""
        super().feed(data)
        if self._waiter is None and self._granted and not self.may_read:
            self._reserve(self._max_size - self._granted)

    def finish(self) -> None:
        """Record that all bytes have arrived, and release memory that is not needed."""
        self._finished = True
        self._size = self.received
        if self._granted >= self.received:
            self._shrink()

    def _grant(self, size: int) -> None:
        super()._grant(size)
        if self._finished and self._reserved:
            self._shrink()

    def _reserve(self, size: int) -> None:
        if self._memory.reserve_alone(size):
            self._grant(size)
        else:
            self._waiter = self._memory.wait(size, lambda: self._grant(size))

    def _shrink(self) -> None:
        memory, held = self._memory, self._reserved
        if self._waiter is not None:
            self._waiter.cancel()
            self._waiter = None
        memory.release(held)
        if memory.reserve_alone(self._size):
            self._reserved = self._size
        elif not memory.reserve_alone(held):
            # Unread answers may exceed the account; these bytes are held all the same.
            memory.budget.reserve_unchecked(self._size)
            self._reserved = self._size

    def _free(self, size: int) -> None:
        # A part of a reservation beyond the limit can't be released.
        if self.remaining == 0:
            self._memory.release(self._reserved)
            self._reserved = 0
