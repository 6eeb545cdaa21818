"""Answers whose bodies arrive in fragments, at the node that sent the call."""

from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import Load
from damaskramp.relay.body_source import ReceivedBody
from damaskramp.relay.body_transfer import BodyReceiver
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.message_stream import MessageStream
from damaskramp.relay.messages import Kind
from damaskramp.relay.outcome_sink import OutcomeSink

__all__ = ["IncomingAnswers"]


class _IncomingAnswer:
    __slots__ = ("body", "head", "load", "reply", "status")

    def __init__(
        self,
        status: int,
        head: bytes,
        body: ReceivedBody,
        load: Load,
        reply: OutcomeSink,
    ) -> None:
        self.status = status
        self.head = head
        self.load = load
        self.reply = reply
        self.body = body


class IncomingAnswers:
    """Answers that are arriving on one link.

    An answer is handed on when its body is ready: complete, or paced by whoever takes
    it. Before that it is pending, and its call may still fail or be cancelled.

    Parameters
    ----------
    on_ready : callable
        Called with the number of a call whose answer is handed on next.
    """

    def __init__(
        self,
        stream: MessageStream,
        memory: MemoryQueue,
        counters: Counters,
        on_ready: Callable[[int], None],
    ) -> None:
        self._stream: MessageStream | None = stream
        self._memory = memory
        self._counters = counters
        self._on_ready = on_ready
        self._receiver = BodyReceiver(stream)
        self._pending: dict[int, _IncomingAnswer] = {}

    def __len__(self) -> int:
        """Return the number of answers that have not arrived completely."""
        return len(self._receiver)

    def begin(
        self,
        number: int,
        status: int,
        head: bytes,
        size: int,
        load: Load,
        reply: OutcomeSink,
    ) -> None:
        """Receive an answer with a body of `size` bytes."""
        self._counters.add("link_bodies", reason="answer")
        body = ReceivedBody(self._memory, size)
        body.on_close = lambda: self._give_up(number)
        self._pending[number] = _IncomingAnswer(status, head, body, load, reply)
        self._receiver.open(number, body)
        body.on_ready = lambda: self._hand_on(number)
        body.open()
        if not body.is_whole:
            self._counters.add("link_bodies_passed_on")

    def receive(self, number: int, data: bytes) -> None:
        """Add a fragment to its answer."""
        self._receiver.receive(number, data)
        if number in self._pending:
            self._hand_on(number)

    def fail(self, number: int) -> None:
        """Break off an answer that the other node can't complete."""
        answer = self._pending.pop(number, None)
        body = self._receiver.close(number)
        if body is not None:
            self._counters.add("link_bodies_broken", reason="answer")
            body.break_off()
        if answer is not None:
            answer.body.close()

    def cancel(self, number: int) -> bool:
        """Give up a pending answer; return whether there was one."""
        answer = self._pending.pop(number, None)
        if answer is None:
            return False
        answer.body.close()
        return True

    def break_off(self) -> None:
        """Break off all answers, as the link has ended."""
        broken = len(self._receiver)
        if broken:
            self._counters.add("link_bodies_broken", broken, reason="answer")
        pending, self._pending = self._pending, {}
        self._receiver.break_off()
        for answer in pending.values():
            answer.body.close()
        self._stream = None
        self._on_ready = _ignore

    def _hand_on(self, number: int) -> None:
        answer = self._pending.get(number)
        if answer is None or not answer.body.is_ready:
            return
        del self._pending[number]
        self._on_ready(number)
        answer.reply.answered(answer.status, answer.head, answer.body, answer.load)

    def _give_up(self, number: int) -> None:
        if self._receiver.close(number) is not None:
            self._stream.send((Kind.CANCEL, number))


def _ignore(number: int) -> None:
    """Ignore an answer that can't become ready, as its link has ended."""
