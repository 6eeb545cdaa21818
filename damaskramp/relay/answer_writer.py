"""Writer of a large answer to a caller, paced by how fast the caller reads."""

import asyncio
from collections.abc import Callable

from damaskramp.relay.body_source import BodySource
from damaskramp.relay.messages import FRAGMENT_BYTES

__all__ = ["AnswerWriter"]


class AnswerWriter:
    """Writer of the body of one answer.

    It takes bytes of the body only while the transport's buffer has room, so that a
    slow caller holds back the source.

    Parameters
    ----------
    on_end : callable
        Called with whether the body has been written completely. If not, the caller
        must not take the answer for a complete one.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        body: BodySource,
        on_end: Callable[[bool], None],
    ) -> None:
        self._transport = transport
        self._body: BodySource | None = body
        self._on_end = on_end
        self._is_writing = False
        self.is_paused = False

    def start(self) -> None:
        """Write what there is, and then whatever arrives."""
        self._body.on_change = self.write
        self.write()

    def write(self) -> None:
        """Write as much as the transport has room for."""
        # Taking bytes may make the source call this method again.
        if self._is_writing:
            return
        self._is_writing = True
        while not self.is_paused and self._body is not None:
            data = self._body.take(FRAGMENT_BYTES)
            if not data:
                break
            self._transport.write(data)
        self._is_writing = False
        body = self._body
        if body is not None and (body.is_broken or not body.remaining):
            complete = not body.is_broken
            self.close()
            self._on_end(complete)

    def close(self) -> None:
        """Give up what is not written."""
        body, self._body = self._body, None
        if body is not None:
            body.close()
