"""Parsing of a backend server's answers on one connection.

Only an answer that echoes the id of the present request is its answer. Answers to
earlier requests are skipped and counted. What a server sends is bounded: the fields of
an answer, all bytes outside bodies, and the bodies of skipped answers.
"""

from collections.abc import Callable

import httptools

from damaskramp.core import Counters
from damaskramp.http import is_status
from damaskramp.relay.answer_intake import AnswerIntake, append_chunk
from damaskramp.relay.headers import OPTIONAL_WHITESPACE, ReservedNames
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.messages import FRAGMENT_BYTES
from damaskramp.relay.server_answer import ServerAnswer

__all__ = ["OTHER_BYTES", "SWITCHING_PROTOCOLS", "AnswerReader"]

MAX_HEAD_BYTES = 64 * 1024
"""Most bytes outside bodies for each request without a body, and between two parts of
one: heads, including those of informational answers, and trailers. The parser holds all
bytes of a field. Several times the largest head that callers may send."""

MAX_FIELDS = 500
"""Most header fields of an answer. A field of a few bytes takes 300 as an object."""

MAX_CHUNK_OVERHEAD = 8
"""Further bytes outside bodies for each byte of a body: chunks of one byte have 5."""

SWITCHING_PROTOCOLS = 101
"""Status after which no further answer follows; no request asks for it."""

OTHER_BYTES = 4 * 1024 * 1024
"""Most bytes of bodies of skipped answers to earlier requests, for each request."""


class AnswerReader:
    """Parser that finds the answer to the present request.

    Parameters
    ----------
    memory : MemoryQueue
        Memory for large bodies.
    on_keep_alive : callable
        Called with the value of each Keep-Alive field.
    on_room : callable
        Called when there may be room for more of a body, or it has become ready.
    on_taker_gone : callable
        Called when the taker of a body that is still arriving has given it up.

    Attributes
    ----------
    parser : HttpResponseParser
        Parser to feed with the bytes that arrive.
    received : int
        Bytes that have arrived for the present request.
    parts : int
        Parts of bodies that have arrived since it was last set to 0.
    answer : ServerAnswer or None
        Answer that is arriving.
    complete_answer : ServerAnswer or None
        Answer to the present request, once all of it has arrived.
    intake : AnswerIntake or None
        Receiver of its body, if it is large or of unknown length.
    has_bad_status : bool
        Whether an answer had a status that is none, or can't be awaited further.
    has_unsolicited : bool
        Whether another answer has followed it.
    reusable : bool
        Whether the connection may be used for another request.
    """

    def __init__(
        self,
        names: ReservedNames,
        counters: Counters,
        memory: MemoryQueue,
        on_keep_alive: Callable[[bytes], None],
        on_room: Callable[[], None],
        on_taker_gone: Callable[[], None],
    ) -> None:
        self._names = names
        self._counters = counters
        self._memory = memory
        self._on_keep_alive = on_keep_alive
        self._on_room = on_room
        self._on_taker_gone = on_taker_gone
        self._on_head: Callable[[ServerAnswer], None] | None = None
        self._request_id = b""
        self._head_only = False
        self._chunks: list[bytes] | None = None
        self._body_bytes = 0
        self._received_at_body = 0
        self._other_bytes = 0
        self._has_framing = False
        self._echoed_id = b""
        self._is_own = False
        self.parser = httptools.HttpResponseParser(self)
        self.received = 0
        self.parts = 0
        self.answer: ServerAnswer | None = None
        self.complete_answer: ServerAnswer | None = None
        self.intake: AnswerIntake | None = None
        self.has_bad_status = False
        self.has_unsolicited = False
        self.reusable = True

    @property
    def is_too_large(self) -> bool:
        """Whether the server has sent more than is allowed."""
        answer = self.answer
        overhead = self.received - self._body_bytes
        return (
            (self.intake is not None and self.intake.is_too_large)
            or (answer is not None and len(answer.headers) > MAX_FIELDS)
            or overhead > MAX_HEAD_BYTES + MAX_CHUNK_OVERHEAD * self._body_bytes
            or self.received - self._received_at_body > MAX_HEAD_BYTES
            or self._other_bytes > OTHER_BYTES
        )

    def begin(
        self,
        on_head: Callable[[ServerAnswer], None],
        request_id: bytes,
        head_only: bool,
    ) -> None:
        """Expect the answer to a request; `on_head` gets its head."""
        self._on_head = on_head
        self._request_id = request_id
        self._head_only = head_only
        self.received = self._body_bytes = self._other_bytes = 0
        self._received_at_body = 0
        # The answer to a request without an id can't be distinguished from a late one.
        self.reusable = bool(request_id)

    def stop(self) -> AnswerIntake | None:
        """Expect no answer any more; return the body that was arriving."""
        self._on_head = None
        self.complete_answer = None
        self.reusable = False
        return self.drop_body()

    def drop_body(self) -> AnswerIntake | None:
        """Store no more of the body; return the receiver of a large one."""
        intake, self.intake = self.intake, None
        self._chunks = None
        return intake

    def end_input(self) -> bool:
        """Complete an answer without a length, which ends with its connection."""
        answer = self.answer
        if answer is None or self._has_framing or answer.status < 200:
            return False
        self.reusable = False
        self.on_message_complete()
        return True

    def close(self) -> None:
        """Break the reference cycles with the parser and the connection."""
        self.parser = None
        self._on_head = self._on_room = self._on_taker_gone = None

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self.complete_answer is not None:
            self.has_unsolicited = True
            return
        self.answer = ServerAnswer(0)
        self._has_framing = False
        self._echoed_id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, and evaluate those that the relay uses."""
        answer = self.answer
        if self.has_unsolicited or answer is None or answer.status:
            # Fields after the body (trailers) are not forwarded.
            return
        if len(answer.headers) > MAX_FIELDS:
            # The answer fails once the parser returns.
            return
        lower, value = name.lower(), value.rstrip(OPTIONAL_WHITESPACE)
        answer.headers.append((lower, name, value))
        names = self._names
        if lower == names.request_id:
            self._echoed_id = value
        elif lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
            if lower == b"content-length":
                answer.length = value
        elif lower == names.not_executed:
            answer.not_executed = True
        elif lower == names.signature:
            answer.signed = bool(value)
        elif lower == names.load:
            answer.load = value
        elif lower == names.rate_limit:
            answer.limit_values += (value,)
        elif lower == names.leaving:
            answer.leaving_values += (value,)
        elif lower == b"keep-alive":
            self._on_keep_alive(value)

    def on_headers_complete(self) -> None:
        """Check whom the answer is for, and prepare to receive its body."""
        if self.has_unsolicited:
            return
        answer, status = self.answer, self.parser.get_status_code()
        if not is_status(status) or status == SWITCHING_PROTOCOLS:
            # Nothing that follows can be told from the rest of this answer.
            self.has_bad_status = True
            self.answer = None
            return
        answer.status = status
        if answer.status in (204, 304):
            self._has_framing = True
        if answer.status < 200:
            return
        self._is_own = self._is_own_answer()
        if self._on_head is not None and self._is_own:
            # An idle connection must not keep the request that it has answered.
            on_head, self._on_head = self._on_head, None
            on_head(answer)
        if self._head_only:
            # The parser can't know that an answer to HEAD has no body.
            self.reusable = False
            self.on_message_complete()
        elif self._is_own or self._is_rejection(answer):
            self._open_intake(answer)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, or count that of a skipped answer."""
        if self.has_unsolicited or self.complete_answer is not None:
            return
        self._body_bytes += len(data)
        self._received_at_body = self.received
        self.parts += 1
        if self._chunks is not None:
            append_chunk(self._chunks, data)
        elif self.intake is not None:
            self.intake.feed(data)
        else:
            self._other_bytes += len(data)

    def on_message_complete(self) -> None:
        """Complete the answer, if it is for the present request."""
        answer = self.answer
        if self.has_unsolicited or self.complete_answer is not None or answer is None:
            return
        if answer.status < 200:
            return
        self.answer = None
        if not self._is_own and not self._is_rejection(answer):
            # This answers an earlier request; the present one's answer may still come.
            self._counters.add("backend_other_answers")
            self.reusable = False
            return
        if not self._head_only and not self.parser.should_keep_alive():
            self.reusable = False
        if self._chunks is not None:
            answer.body = b"".join(self._chunks)
            self._chunks = None
        elif self.intake is not None:
            if self.intake.is_too_large:
                return
            self.intake.finish()
        self.complete_answer = answer

    def _open_intake(self, answer: ServerAnswer) -> None:
        length = int(answer.length) if answer.length.isdigit() else None
        if answer.status in (204, 304):
            length = 0
        if length is not None and length <= FRAGMENT_BYTES:
            # The server's slots bound the number of small bodies held here.
            self._chunks = []
            return
        intake = AnswerIntake(self._memory, length, self._on_room)
        if intake.is_passed_on:
            self._counters.add("answers_passed_on")
            intake.body.on_close = self._on_taker_gone
        self.intake = intake

    def _is_own_answer(self) -> bool:
        """Return whether the answer echoes the id of the present request."""
        return self._echoed_id == self._request_id

    def _is_rejection(self, answer: ServerAnswer) -> bool:
        """Return whether an answer without an id answers the present request.

        A server may refuse a request before it has read the id. Such an answer can't be
        a late copy of an earlier one, because its connection is never reused.
        """
        if self._echoed_id or not answer.not_executed:
            return False
        self.reusable = False
        return True
