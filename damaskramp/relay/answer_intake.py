"""Large body, or one of unknown length, of an answer of the backend server.

A large body reserves memory: for all of it, or for a window if there is too little; it
is then passed on as its taker makes room. A body of unknown length is always held
whole, since only its end tells whether it is complete.
"""

from collections.abc import Callable

from damaskramp.core.byte_budget import LARGE_BYTES
from damaskramp.relay.body_source import ReceivedBody
from damaskramp.relay.growing_body import GrowingBody
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.messages import FRAGMENT_BYTES

__all__ = ["ANSWER_BYTES", "AnswerIntake", "append_chunk"]

ANSWER_BYTES = 32 * 1024 * 1024
"""Largest body of an answer, in bytes."""


MAX_CHUNKS = 64
"""Number of chunks from which those of a small body are joined."""


def append_chunk(chunks: list[bytes], data: bytes) -> None:
    """Append a chunk to those of a small body; many of them become one."""
    chunks.append(data)
    if len(chunks) > MAX_CHUNKS:
        chunks[:] = [b"".join(chunks)]


class AnswerIntake:
    """Receiver of the body of one answer.

    The first ``FRAGMENT_BYTES`` of a body of unknown length need no reservation: the
    backend server's slots bound the number of answers that arrive at the same time.

    Parameters
    ----------
    length : int or None
        Length of the body in bytes, more than ``FRAGMENT_BYTES``; None if only its end
        tells.
    on_room : callable
        Called when there may be room for more bytes, or the body has become ready.

    Attributes
    ----------
    is_too_large : bool
        Whether the body exceeds the limit.
    """

    __slots__ = (
        "_body",
        "_chunks",
        "_memory",
        "_on_room",
        "_small_size",
        "is_too_large",
    )

    def __init__(
        self, memory: MemoryQueue, length: int | None, on_room: Callable[[], None]
    ) -> None:
        self._memory = memory
        self._small_size = 0
        self._on_room = on_room
        self._chunks: list[bytes] = []
        self._body: ReceivedBody | None = None
        self.is_too_large = length is not None and length > ANSWER_BYTES
        if length is not None and length <= ANSWER_BYTES:
            self._open(ReceivedBody(memory, length))

    @property
    def may_read(self) -> bool:
        """Whether the connection may be read further."""
        return self._body is None or self._body.may_read

    @property
    def is_passed_on(self) -> bool:
        """Whether the body is passed on before it is complete."""
        body = self._body
        return body is not None and not body.is_whole

    @property
    def is_ready(self) -> bool:
        """Whether the answer may be handed on, with `finish` called or passed on."""
        return self._body is None or self._body.is_ready

    @property
    def body(self) -> bytes | ReceivedBody:
        """The body; a small one only when it is complete."""
        return self._body if self._body is not None else b"".join(self._chunks)

    def feed(self, data: bytes) -> None:
        """Add the next bytes."""
        if self.is_too_large:
            return
        if self._body is None:
            append_chunk(self._chunks, data)
            self._small_size += len(data)
            if self._small_size <= FRAGMENT_BYTES:
                return
            # Without a known length, it gets little more than the budget itself.
            most = min(ANSWER_BYTES, max(LARGE_BYTES, self._memory.budget.limit))
            self._open(GrowingBody(self._memory, most))
            chunks, self._chunks = self._chunks, []
        else:
            chunks = [data]
        for chunk in chunks:
            self._feed_body(chunk)

    def finish(self) -> None:
        """Record that the body is complete."""
        if isinstance(self._body, GrowingBody):
            self._body.finish()

    def break_off(self) -> None:
        """Discard the body, and tell its taker that the rest will never come."""
        self._chunks.clear()
        if self._body is not None and not self._body.is_complete:
            self._body.break_off()
        self._on_room = _ignore

    def close(self) -> None:
        """Discard the body, which nobody takes, and release its memory."""
        self._chunks.clear()
        self._on_room = _ignore
        if self._body is not None:
            self._body.close()

    def _open(self, body: ReceivedBody) -> None:
        self._body = body
        body.on_credit = self._room_made
        body.on_ready = self._room_made
        body.open()

    def _room_made(self, size: int = 0) -> None:
        self._on_room()

    def _feed_body(self, data: bytes) -> None:
        try:
            self._body.feed(data)
        except ValueError:
            self.is_too_large = True


def _ignore() -> None:
    """Ignore room that is made after the end of the connection's part."""
