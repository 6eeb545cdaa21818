"""Backend servers that have announced themselves that they are leaving.

A server announces in its answers that it is leaving, which hosts may learn before the
platform lists it as leaving, or while they can't reach the platform. An announcement
holds until the server has started again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from damaskramp.fleet.model import ServerId

__all__ = ["LeavingAnnouncements"]

RETENTION_SECONDS = 120.0
"""Time for which an announcement is kept after it was last asked for, in seconds. It is
longer than a server that is leaving goes on serving."""


@dataclass(slots=True)
class _Announcement:
    started: int
    until: float
    last_used_at: float


class LeavingAnnouncements:
    """Announcements of backend servers by id.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> announcements = LeavingAnnouncements(lambda: 0.0)
    >>> announcements.record(ServerId("s1"), started=7)
    >>> announcements.holds(ServerId("s1"), 7), announcements.holds(ServerId("s1"), 8)
    (True, False)
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._announcements: dict[ServerId, _Announcement] = {}

    def __len__(self) -> int:
        """Number of announcements that are kept."""
        return len(self._announcements)

    def record(
        self, server: ServerId, started: int, until: float = float("inf")
    ) -> None:
        """Record an announcement.

        Parameters
        ----------
        started : int
            Start of the server in milliseconds since the epoch; 0 if it is not known.
        until : float
            Clock time in seconds at which the announcement ends.
        """
        known = self._announcements.get(server)
        if known is not None and known.started == started:
            until = max(until, known.until)
        self._announcements[server] = _Announcement(started, until, self._clock())

    def holds(self, server: ServerId, started: int) -> bool:
        """Whether an announcement holds for a start of a server.

        Parameters
        ----------
        started : int
            Start of the server as far as it is known; 0 if it is not.
        """
        known = self._announcements.get(server)
        if known is None:
            return False
        now = self._clock()
        if known.until <= now:
            del self._announcements[server]
            return False
        if started and not known.started:
            known.started = started
        if started > known.started:
            del self._announcements[server]
            return False
        known.last_used_at = now
        return True

    def is_lasting(self, server: ServerId) -> bool:
        """Whether a server's announcement holds until the server starts again."""
        known = self._announcements.get(server)
        return known is not None and known.until == float("inf")

    def forget_old(self) -> None:
        """Forget announcements that were not asked for in a long time."""
        oldest = self._clock() - RETENTION_SECONDS
        self._announcements = {
            server: known
            for server, known in self._announcements.items()
            if known.last_used_at > oldest
        }
