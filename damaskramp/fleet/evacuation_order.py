"""Order of statements on the evacuation of one zone across epochs of the store."""

from typing import NamedTuple

from damaskramp.fleet.evacuation_terms import EvacuationSource
from damaskramp.fleet.model import Epoch, EvacuationStatement, StorePosition

__all__ = ["KnownStatement"]


class KnownStatement(NamedTuple):
    """Statement with the clock time in seconds at which it was made, and its source.

    Examples
    --------
    >>> begin = EvacuationStatement("z", True, 9, Epoch(1))
    >>> end = EvacuationStatement("z", False, 4, Epoch(2))
    >>> known = [KnownStatement(s, 0.0, EvacuationSource.STORE) for s in (begin, end)]
    >>> known[1].is_newer(known[0], Epoch(2)), known[0].is_newer(known[1], Epoch(2))
    (True, False)
    """

    statement: EvacuationStatement
    stated_at: float
    source: EvacuationSource

    def is_newer(self, other: "KnownStatement", epoch: Epoch) -> bool:
        """Whether this statement is newer than another on the same zone.

        Parameters
        ----------
        epoch : Epoch
            Epoch of the store that is followed.
        """
        mine, its = self.statement, other.statement
        if mine.epoch == its.epoch:
            # An end that was inferred from a list has the list's revision, which may be
            # that of the evacuation itself.
            return (mine.revision, not mine.evacuated) > (
                its.revision,
                not its.evacuated,
            )
        if epoch in (mine.epoch, its.epoch):
            return mine.epoch == epoch
        return self.stated_at > other.stated_at

    def may_be_of_copy(self, other: "KnownStatement", start: StorePosition) -> bool:
        """Whether this evacuation may be older than its withdrawal `other`.

        What was written above the revision at which the epoch was entered is no part of
        the copy that the store was restored from.

        Parameters
        ----------
        start : StorePosition
            Position at which the epoch that is followed was entered.
        """
        mine, its = self.statement, other.statement
        return (
            mine.evacuated
            and not its.evacuated
            and its.epoch != mine.epoch
            and mine.epoch == start.epoch
            and mine.revision <= start.revision
        )
