"""Buffers of callers' connections: shared for reading, accounted for unsent answers."""

import asyncio
from collections.abc import Callable

from damaskramp.relay.answer_writer import AnswerWriter
from damaskramp.relay.body_source import WINDOW_BYTES, BodySource
from damaskramp.relay.caller_memory import CallerMemory
from damaskramp.relay.caller_reader import RequestReader

__all__ = ["ReadBuffer", "UnsentAnswers"]

HEAD_READ_BYTES, PIPELINED_READ_BYTES = 4096, 1024
"""Most bytes that are read at once where a head is expected, and while another request
is unanswered. Reading stops only between two reads, so this bounds the number of
requests that are parsed beyond the limit."""

BODY_READ_BYTES = 256 * 1024
"""Most bytes that are read at once of a body that is not in chunks. Of one in chunks,
the size of the chunks bounds the reads (`read_size`)."""

WRITE_BUFFER_BYTES = 16 * 1024
"""Bytes of unsent answers from which they are reserved and no request is begun."""

WRITE_STALL_SECONDS = 20.0
"""Time, in seconds, in which a caller that is behind must progress: several times the
longest deadline that interactive callers set."""

PROGRESS_SHARE = 64
MIN_PROGRESS_BYTES = 16 * 1024
"""A caller has progressed when it has read a 64th of what it had not read before, and
at least 16 KiB: of a large answer only a part is in the buffer."""


class ReadBuffer:
    """Buffer that all connections are read into, one at a time."""

    def __init__(self) -> None:
        self._view = memoryview(bytearray(BODY_READ_BYTES))

    def free(self, reader: RequestReader, busy: bool) -> memoryview:
        """Return the part that the next bytes of a connection may fill.

        Parameters
        ----------
        busy : bool
            Whether an earlier request of the connection is unanswered.
        """
        if reader.request is not None and reader.head_done:
            size = reader.chunked_read_bytes if reader.is_chunked else BODY_READ_BYTES
        else:
            size = PIPELINED_READ_BYTES if busy else HEAD_READ_BYTES
        return self._view[:size]

    def filled(self, size: int) -> memoryview:
        """Return the bytes that have been read."""
        return self._view[:size]


class UnsentAnswers:
    """Answers of one connection that its caller has not read yet.

    Attributes
    ----------
    stalled : bool
        Whether the caller reads too slowly for a further answer.
    held_bytes : int
        Bytes reserved for unsent answers.
    progressed_at : float
        Clock time, in seconds, of the last answer or of progress in reading one.
    """

    def __init__(self, memory: CallerMemory, clock: Callable[[], float]) -> None:
        self._memory = memory
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._writer: AnswerWriter | None = None
        self._mark = 0
        self.stalled = False
        self.held_bytes = 0
        self.progressed_at = clock()

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer is not sent."""
        return self._writer is not None or self.unsent_bytes > 0

    @property
    def releasable_bytes(self) -> int:
        """Bytes that closing the connection of a caller that is behind releases."""
        if self._writer is not None and self.stalled:
            return self.held_bytes + WINDOW_BYTES
        return self.held_bytes

    def open(self, transport: asyncio.Transport) -> None:
        """Use the transport of the connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def close(self) -> None:
        """Give up what is not written, and release the memory."""
        self._transport = None
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        self._hold(0)

    def pass_on(
        self, head: bytes, body: BodySource, on_end: Callable[[bool], None]
    ) -> None:
        """Send an answer as fast as the caller reads it.

        Parameters
        ----------
        on_end : callable
            Called with whether the body has been sent completely.
        """

        def end(complete: bool) -> None:
            self._writer = None
            on_end(complete)

        self.progressed_at = self._clock()
        self._transport.write(head + b"\r\n")
        writer = self._writer = AnswerWriter(self._transport, body, end)
        writer.is_paused = self.stalled
        writer.start()

    def write(self, head: bytes, body: bytes) -> None:
        """Send an answer with a small body; `head` ends without the blank line."""
        self.progressed_at = self._clock()
        self._transport.write(b"".join((head, b"\r\n", body)))

    def pause(self) -> None:
        """Reserve memory, as the caller reads more slowly than answers come."""
        self.stalled = True
        self.progressed_at = self._clock()
        if self._writer is not None:
            self._writer.is_paused = True
        self._mark = self.unsent_bytes
        self._hold(self._mark)

    def resume(self) -> None:
        """Release the memory, as the caller has read its answers."""
        self.stalled = False
        self.progressed_at = self._clock()
        self._hold(0)
        if self._writer is not None:
            self._writer.is_paused = False
            self._writer.write()

    def has_timed_out(self, now: float) -> bool:
        """Record what has been read; return whether it is too little."""
        unsent = self.unsent_bytes
        step = max(MIN_PROGRESS_BYTES, self._mark // PROGRESS_SHARE)
        if unsent <= self._mark - step:
            self._mark = unsent
            self.progressed_at = now
            self._hold(unsent)
            return False
        return now - self.progressed_at > WRITE_STALL_SECONDS

    def _hold(self, size: int) -> None:
        """Adapt the reservation to the present size."""
        change = size - self.held_bytes
        self.held_bytes = size
        if change > 0:
            self._memory.hold_answer(change)
        elif change < 0:
            self._memory.release_answer(-change)
