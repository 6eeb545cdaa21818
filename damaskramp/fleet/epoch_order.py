"""Order of descriptions and deletions of backend servers across epochs of the store.

Within an epoch the store's revision decides. Across epochs, what was certainly written
in the current one is later; otherwise the server's own count of reports decides.
"""

from dataclasses import dataclass

from damaskramp.fleet.model import (
    BackendServer,
    Epoch,
    Removal,
    Revision,
)

__all__ = ["EpochOrder"]


@dataclass(frozen=True, slots=True)
class EpochOrder:
    """Order as of a current epoch.

    Attributes
    ----------
    epoch : Epoch
        Current epoch of the store.
    start : Revision
        Revision up to which descriptions may be those of the copy from which the store
        was restored.

    Examples
    --------
    >>> order = EpochOrder(Epoch(2), Revision(4))
    >>> order.is_current(Epoch(2), Revision(5)), order.is_current(Epoch(1), Revision(9))
    (True, False)
    """

    epoch: Epoch
    start: Revision

    def is_current(self, epoch: Epoch, revision: Revision) -> bool:
        """Whether something was certainly written in the current epoch."""
        return epoch == self.epoch and revision > self.start

    def is_newer(self, server: BackendServer, known: BackendServer) -> bool:
        """Whether a description is newer than the known one of the same server."""
        if server.epoch == known.epoch:
            return server.revision > known.revision
        if self.is_current(server.epoch, server.revision):
            return True
        if self.is_current(known.epoch, known.revision):
            return False
        if server.report != known.report:
            return server.report > known.report
        if server.leaving != known.leaving:
            return server.revision > known.revision
        return server.epoch == self.epoch

    def is_after_removal(self, server: BackendServer, removal: Removal) -> bool:
        """Whether a description was written after a deletion of the same server."""
        if server.epoch == removal.epoch:
            return server.revision > removal.revision
        if self.is_current(server.epoch, server.revision):
            return True
        if self.is_current(removal.epoch, removal.revision):
            return False
        return removal.report is None or server.report > removal.report

    def is_removed_by(self, server: BackendServer, removal: Removal) -> bool:
        """Whether a deletion ended a description of the same server.

        A deletion without a report ends no description of another epoch, unless it was
        made in the current one.
        """
        if server.epoch == removal.epoch:
            return server.revision <= removal.revision
        if self.is_current(removal.epoch, removal.revision):
            return True
        if self.is_current(server.epoch, server.revision):
            return False
        return removal.report is not None and server.report <= removal.report

    def is_later_removal(self, removal: Removal, known: Removal) -> bool:
        """Whether a deletion says more than the known one of the same server."""
        if removal.epoch == known.epoch:
            return removal.revision > known.revision
        if known.epoch == self.epoch:
            return False
        if removal.epoch == self.epoch:
            return True
        return (removal.report or ()) > (known.report or ())
