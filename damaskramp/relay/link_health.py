"""Decision that a link is dead, from the bytes that move on it."""

__all__ = ["LinkHealth"]


MAX_CHECK_GAP_SECONDS = 0.3
"""Time, in seconds, between two checks above which this process was held up itself.
Bytes may then have arrived that it has not read."""


class LinkHealth:
    """Record of the movement on one link.

    A link is dead if something has been awaited for `timeout` and no byte has moved
    since then. Received bytes are movement, whether or not they complete a message. So
    are bytes of bodies that the other host acknowledges; other acknowledged bytes are
    not, since the kernel of a host accepts them for a process that is frozen.

    Parameters
    ----------
    timeout : float
        Silence, in seconds, after which the link is dead.
    """

    __slots__ = (
        "_awaiting_since",
        "_checked_at",
        "_delivered",
        "_moved_at",
        "_timeout",
    )

    def __init__(self, timeout: float, now: float) -> None:
        self._timeout = timeout
        self._moved_at = self._checked_at = now
        self._awaiting_since: float | None = None
        self._delivered = 0

    @property
    def is_awaiting(self) -> bool:
        """Whether an answer is awaited and nothing has been received since."""
        return self._awaiting_since is not None

    def record_opened(self, now: float) -> None:
        """Record that the link has been opened, perhaps with open questions."""
        self._moved_at = self._checked_at = now

    def record_question(self, now: float) -> None:
        """Record a message that the other node has to answer."""
        if self._awaiting_since is None:
            self._awaiting_since = now

    def record_received(self, now: float) -> None:
        """Record received bytes."""
        self._moved_at = now
        self._awaiting_since = None

    def record_delivered(self, position: int, bodies_end: int, now: float) -> None:
        """Record how far the other host has acknowledged the stream.

        Parameters
        ----------
        position : int
            Position in the stream, in bytes, that is acknowledged.
        bodies_end : int
            Position in the stream, in bytes, after the last part of a body.
        """
        if self._delivered < min(position, bodies_end):
            self._moved_at = now
        self._delivered = max(self._delivered, position)

    def silence(self, now: float) -> float:
        """Seconds since the last movement."""
        return now - self._moved_at

    def is_dead(self, now: float) -> bool:
        """Whether the link is dead; to be asked several times within the timeout."""
        if now - self._checked_at > MAX_CHECK_GAP_SECONDS:
            self._moved_at = now
        self._checked_at = now
        since = self._awaiting_since
        return (
            since is not None
            and now - since > self._timeout
            and self.silence(now) > self._timeout
        )
