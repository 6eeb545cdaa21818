"""Transfer of bodies over a link in fragments, with credits.

The receiver grants a body as many bytes as it has reserved memory for, and the sender
sends no more. Besides, a limit for the whole link bounds the fragments that are under
way, so that any other message waits behind at most `LINK_WINDOW_BYTES`. Bodies take
turns by fragment.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from damaskramp.relay.body_source import BodySource, ReceivedBody
from damaskramp.relay.message_stream import MessageStream
from damaskramp.relay.messages import FRAGMENT_BYTES, Kind

__all__ = ["LINK_WINDOW_BYTES", "BodyReceiver", "BodySender"]

LINK_WINDOW_BYTES = 256 * 1024
"""Most bytes of fragments that are under way on a link in one direction. They take
21 ms at 100 Mbit/s, and fill a round trip of 11 ms between zones at 190 Mbit/s."""


class _Sending:
    __slots__ = ("credit", "number", "on_end", "source")

    def __init__(
        self, number: int, source: BodySource, on_end: Callable[[int, bool], None]
    ) -> None:
        self.number = number
        self.source = source
        self.on_end = on_end
        self.credit = 0


class BodySender:
    """Sender of the bodies of one link.

    Attributes
    ----------
    sent_bytes : int
        Bytes of fragments sent so far.
    """

    def __init__(self, stream: MessageStream) -> None:
        self._stream: MessageStream | None = stream
        self._bodies: dict[int, _Sending] = {}
        self._turns: deque[_Sending] = deque()
        self._under_way = 0
        self._pumping = False
        self.sent_bytes = 0

    @property
    def unfinished(self) -> int:
        """Number of bodies that are not sent completely."""
        return len(self._bodies)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to send, or unconfirmed by the receiver."""
        return not self._bodies and self._under_way <= 0

    def start(
        self, number: int, source: BodySource, on_end: Callable[[int, bool], None]
    ) -> None:
        """Send a body as credits arrive.

        Parameters
        ----------
        on_end : callable
            Called with the number and whether the body has been sent completely.
        """
        sending = _Sending(number, source, on_end)
        self._bodies[number] = sending
        self._turns.append(sending)
        source.on_change = self._pump

    def handle_grant(self, received: int, credits: list[int]) -> None:
        """Process a message of the receiver.

        Parameters
        ----------
        received : int
            Bytes of fragments that have arrived since the message before.
        credits : list of int
            Numbers of bodies, each followed by the bytes granted to it.
        """
        self._under_way -= received
        for number, credit in zip(credits[::2], credits[1::2], strict=True):
            sending = self._bodies.get(number)
            if sending is not None:
                sending.credit += credit
        self._pump()

    def cancel(self, number: int) -> bool:
        """Stop to send a body; return whether it was not sent completely."""
        sending = self._bodies.pop(number, None)
        if sending is None:
            return False
        self._turns.remove(sending)
        sending.source.close()
        return True

    def break_off(self) -> None:
        """Give up all bodies, and report each as not sent completely."""
        for sending in list(self._bodies.values()):
            self._end(sending, complete=False)

    def close(self) -> None:
        """Give up all bodies, as the link has ended."""
        # Without this, each link that has ended stays until the collector runs.
        self._stream = None
        bodies, self._bodies = self._bodies, {}
        self._turns.clear()
        for sending in bodies.values():
            sending.source.close()

    def _pump(self) -> None:
        # Taking bytes may make more available, which is sent by the loop below.
        if self._pumping:
            return
        self._pumping = True
        try:
            self._send_turns()
        finally:
            self._pumping = False

    def _send_turns(self) -> None:
        idle = 0
        while idle < len(self._turns):
            sending = self._turns[0]
            self._turns.rotate(-1)
            source = sending.source
            if source.is_broken:
                self._end(sending, complete=False)
                continue
            room = min(
                sending.credit, FRAGMENT_BYTES, LINK_WINDOW_BYTES - self._under_way
            )
            data = source.take(room) if room > 0 else b""
            if not data:
                idle += 1
                continue
            idle = 0
            sending.credit -= len(data)
            self._under_way += len(data)
            self.sent_bytes += len(data)
            self._stream.send_fragment(sending.number, data)
            if not source.remaining:
                self._end(sending, complete=True)

    def _end(self, sending: _Sending, complete: bool) -> None:
        del self._bodies[sending.number]
        self._turns.remove(sending)
        sending.source.close()
        sending.on_end(sending.number, complete)


class BodyReceiver:
    """Receiver of the bodies of one link."""

    def __init__(self, stream: MessageStream) -> None:
        self._stream: MessageStream | None = stream
        self._bodies: dict[int, ReceivedBody] = {}
        self._credits: dict[int, int] = {}
        self._received = 0
        self._scheduled = False

    def __len__(self) -> int:
        """Return the number of bodies that have not arrived completely."""
        return len(self._bodies)

    def open(self, number: int, body: ReceivedBody) -> None:
        """Receive a body; its credits are granted to the sender."""
        self._bodies[number] = body
        body.on_credit = lambda size: self._grant(number, size)

    def receive(self, number: int, data: bytes) -> None:
        """Add a fragment to its body; fragments of bodies given up are skipped.

        Raises
        ------
        ValueError
            If the body is longer than its stated length.
        """
        self._received += len(data)
        self._schedule()
        body = self._bodies.get(number)
        if body is None:
            return
        body.feed(data)
        if body.is_complete:
            self._bodies.pop(number, None)

    def close(self, number: int) -> ReceivedBody | None:
        """Stop to receive a body; return it if it was incomplete."""
        self._credits.pop(number, None)
        return self._bodies.pop(number, None)

    def break_off(self) -> None:
        """Break off all incomplete bodies, as the link has ended."""
        self._stream = None
        bodies, self._bodies = self._bodies, {}
        for body in bodies.values():
            body.break_off()

    def _grant(self, number: int, size: int) -> None:
        self._credits[number] = self._credits.get(number, 0) + size
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._send_grant)

    def _send_grant(self) -> None:
        self._scheduled = False
        if self._stream is None:
            return
        credits = [part for pair in self._credits.items() for part in pair]
        received, self._received = self._received, 0
        self._credits.clear()
        self._stream.send((Kind.GRANT, received, credits))
