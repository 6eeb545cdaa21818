"""Deletions of servers' descriptions, remembered while a peer may still have these."""

from collections.abc import Callable

from damaskramp.fleet.model import Epoch, Removal, Revision, ServerId, StorePosition

__all__ = ["Removals"]

TOMBSTONE_SECONDS = 600.0
"""Time for which a deletion is remembered. It is longer than a peer that serves traffic
can be cut off before it hands on the old description, and than a copy from which the
store is restored is old."""

LATE_REMOVAL_SECONDS = 30.0
"""Time for which a late removal is handed on whatever its revision. Gossip reaches all
hosts within a few seconds, and those that were cut off soon after their return."""


class Removals:
    """Remembered deletions by server.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    by_server : dict
        Deletions, each with the clock time in seconds at which it became known.
    known_after : Revision
        Revision of the followed epoch up to which deletions may be missing.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._late: dict[ServerId, Removal] = {}
        self.by_server: dict[ServerId, tuple[Removal, float]] = {}
        self.known_after = Revision(0)

    @property
    def all(self) -> tuple[Removal, ...]:
        """All remembered deletions."""
        return tuple(removal for removal, _ in self.by_server.values())

    @property
    def late(self) -> list[Removal]:
        """Deletions that peers may lack although they are complete up to them."""
        return list(self._late.values())

    def of(self, server: ServerId) -> Removal | None:
        """Deletion of a server's description; None if none is remembered."""
        found = self.by_server.get(server)
        return found[0] if found is not None else None

    def after(self, position: StorePosition) -> list[Removal]:
        """Deletions of an epoch after a revision."""
        epoch, revision = position
        return [
            removal
            for removal, _ in self.by_server.values()
            if removal.epoch == epoch and removal.revision > revision
        ]

    def add(self, removal: Removal, position: StorePosition) -> None:
        """Remember a deletion.

        Parameters
        ----------
        position : StorePosition
            Position up to which this host is complete, and its peers may be.
        """
        name = removal.server
        self.by_server[name] = (removal, self._clock())
        if removal.epoch != position.epoch or removal.revision <= position.revision:
            self._late[name] = removal
        else:
            self._late.pop(name, None)

    def forget(self, server: ServerId) -> None:
        """Forget the deletion of a server that is listed again."""
        self.by_server.pop(server, None)
        self._late.pop(server, None)

    def forget_late(self) -> None:
        """Stop handing on late removals once they have reached all hosts."""
        now = self._clock()
        for name in list(self._late):
            if now - self.by_server[name][1] > LATE_REMOVAL_SECONDS:
                del self._late[name]

    def forget_old(self, epoch: Epoch) -> None:
        """Forget deletions of which no peer has the description any more."""
        now = self._clock()
        for name, (removal, deleted_at) in list(self.by_server.items()):
            if now - deleted_at > TOMBSTONE_SECONDS:
                self.forget(name)
                if removal.epoch == epoch:
                    self.know_after(removal.revision)

    def know_after(self, revision: Revision) -> None:
        """Record that deletions up to a revision may be missing."""
        self.known_after = max(self.known_after, revision)
