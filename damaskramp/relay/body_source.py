"""Bodies that are passed on in parts, paced by whoever takes them."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from damaskramp.relay.memory_queue import MemoryQueue, Waiter

__all__ = [
    "READ_BYTES",
    "WINDOW_BYTES",
    "BodySource",
    "BytesBody",
    "ReceivedBody",
    "discard_body",
]

READ_BYTES = 256 * 1024
"""Most bytes of a body that one read of a connection to a server returns."""

WINDOW_BYTES = READ_BYTES
"""Memory of a body that is passed on as it arrives, in bytes: one read, or the
fragments that are under way on a link."""


SMALL_PIECE_BYTES = 1024
"""Length in bytes below which parts of a body are merged. An object of its own costs
some 40 bytes more than it holds, and a server may send chunks of one byte."""

MERGED_PIECE_BYTES = 16 * 1024
"""Length in bytes from which a merged part is not extended any more."""


class BodySource(ABC):
    """Body whose bytes are taken in order, as many at a time as the taker has room for.

    Attributes
    ----------
    on_change : callable or None
        Called when there is more to take, and when the body has broken off.
    """

    __slots__ = ("on_change",)

    def __init__(self) -> None:
        self.on_change: Callable[[], None] | None = None

    @abstractmethod
    def __len__(self) -> int:
        """Return the length of the whole body in bytes."""

    @property
    @abstractmethod
    def remaining(self) -> int:
        """Bytes that have not been taken."""

    @property
    def is_broken(self) -> bool:
        """Whether the rest will never come."""
        return False

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return True

    @abstractmethod
    def take(self, limit: int) -> bytes | memoryview:
        """Take the next bytes, at most `limit`; empty if there are none yet."""

    @abstractmethod
    def close(self) -> None:
        """Give up the body; nothing more is taken."""


def discard_body(body: bytes | BodySource) -> None:
    """Give up a body that nobody takes, and release its memory."""
    if type(body) is not bytes:
        body.close()


class BytesBody(BodySource):
    """Body whose memory belongs to another, such as the request of a caller."""

    __slots__ = ("_taken", "_view")

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self._view = memoryview(data)
        self._taken = 0

    def __len__(self) -> int:
        """Return the length of the whole body in bytes."""
        return len(self._view)

    @property
    def remaining(self) -> int:
        """Bytes that have not been taken."""
        return len(self._view) - self._taken

    def take(self, limit: int) -> memoryview:
        """Take the next bytes."""
        part = self._view[self._taken : self._taken + limit]
        self._taken += len(part)
        return part

    def close(self) -> None:
        """Drop the reference to the data."""
        self._view = self._view[:0]
        self._taken = 0


class ReceivedBody(BodySource):
    """Body that arrives in parts, as many bytes ahead as memory is reserved for.

    It is held whole if there is memory for all of it, and is then ready when complete:
    a failure on the way can still be reported, or the request repeated. Otherwise it is
    ready as soon as a window is reserved, and its sender is paced by the taker.

    Attributes
    ----------
    on_credit : callable or None
        Called with a number of bytes that the sender may send from now on.
    on_ready : callable or None
        Called when the memory that the body has waited for is reserved.
    on_close : callable or None
        Called if the body is given up before it has arrived completely.
    """

    __slots__ = (
        "_granted",
        "_is_broken",
        "_memory",
        "_pieces",
        "_reserved",
        "_size",
        "_taken",
        "_waiter",
        "is_whole",
        "on_close",
        "on_credit",
        "on_ready",
        "received",
    )

    def __init__(self, memory: MemoryQueue, size: int) -> None:
        super().__init__()
        self._memory = memory
        self._size = size
        self._pieces: deque[bytes | bytearray | memoryview] = deque()
        self._granted = self._reserved = self._taken = self.received = 0
        self._waiter: Waiter | None = None
        self._is_broken = False
        self.is_whole = False
        self.on_credit: Callable[[int], None] | None = None
        self.on_close: Callable[[], None] | None = None
        self.on_ready: Callable[[], None] | None = None

    def open(self) -> None:
        """Reserve memory for the whole body, or wait for that of a window."""
        if self._memory.reserve_whole(self._size):
            self.is_whole = True
            self._grant(self._size)
            return
        window = min(self._size, WINDOW_BYTES)
        if self._memory.reserve(window):
            self._grant(window)
        else:
            self._waiter = self._memory.wait(window, lambda: self._grant(window))

    def __len__(self) -> int:
        """Return the length of the whole body in bytes."""
        return self._size

    @property
    def remaining(self) -> int:
        """Bytes that have not been taken."""
        return self._size - self._taken

    @property
    def is_broken(self) -> bool:
        """Whether the rest will never come."""
        return self._is_broken

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return self.received == self._size

    @property
    def is_ready(self) -> bool:
        """Whether the body may be handed on to its taker."""
        return self.is_complete if self.is_whole else self._granted > 0

    @property
    def may_read(self) -> bool:
        """Whether there is memory for what one read of a connection may return."""
        room = self._granted - self.received
        return room >= min(READ_BYTES, self._size - self.received)

    def feed(self, data: bytes) -> None:
        """Add the next bytes.

        Raises
        ------
        ValueError
            If the body is longer than its stated length.
        """
        self.received += len(data)
        if self.received > self._size:
            raise ValueError("body is longer than stated")
        if data and not self._is_broken:
            self._add_piece(data)
            self._notify()

    def _add_piece(self, data: bytes) -> None:
        """Store the next bytes; small parts share one buffer, as each object costs."""
        if len(data) >= SMALL_PIECE_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1] if self._pieces else None
        if type(last) is bytearray and len(last) < MERGED_PIECE_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def take(self, limit: int) -> bytes | bytearray | memoryview:
        """Take the next bytes, and let the sender send as many more."""
        if not self._pieces or limit <= 0:
            return b""
        piece = self._pieces.popleft()
        if len(piece) > limit:
            self._pieces.appendleft(memoryview(piece)[limit:])
            piece = memoryview(piece)[:limit]
        self._taken += len(piece)
        self._free(len(piece))
        return piece

    def break_off(self) -> None:
        """Record that the rest will never come."""
        self._is_broken = True
        self._release_all()
        self._notify()

    def close(self) -> None:
        """Give up the body, and release its memory."""
        incomplete = not self.is_complete and not self._is_broken
        on_close, self.on_close = self.on_close, None
        self._is_broken = True
        self.on_change = None
        self._release_all()
        if incomplete and on_close is not None:
            on_close()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _grant(self, size: int) -> None:
        self._waiter = None
        self._reserved += size
        self._add_credit(size)
        on_ready = self.on_ready
        if on_ready is not None:
            on_ready()

    def _add_credit(self, size: int) -> None:
        self._granted += size
        if self.on_credit is not None:
            self.on_credit(size)

    def _free(self, size: int) -> None:
        """Use the memory of taken bytes for the next ones, else release it."""
        again = min(size, self._size - self._granted)
        if again > 0:
            self._add_credit(again)
        unused = min(size - again, self._reserved)
        if unused > 0:
            self._reserved -= unused
            self._memory.release(unused)

    def _release_all(self) -> None:
        self._pieces.clear()
        if self._waiter is not None:
            self._waiter.cancel()
            self._waiter = None
        if self._reserved:
            self._memory.release(self._reserved)
            self._reserved = 0
        self.on_credit = self.on_ready = None
