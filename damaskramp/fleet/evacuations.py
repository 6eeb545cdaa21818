"""Evacuated availability zones, merged from the platform and from peers.

Each statement carries its position in the store, so that an older one never overrides
a newer one, whatever the order in which they arrive. Within an epoch of the store the
revision decides. Across epochs, a statement of the epoch that is followed counts more;
of two statements of earlier epochs, the one that the store made later.

A store that is restored from a copy may have lost an evacuation. The evacuation stands
until the store of the new epoch has made a statement of its own on that zone, or has
listed none for a time in which it would have been written again. The copy may also list
an evacuation whose withdrawal it has lost. The withdrawal then stands for a short time;
after that the store's list counts.

Withdrawals are remembered as long as the process runs. Zones are few, and a host that
was cut off for hours may still hand on an evacuation that was withdrawn meanwhile.
"""

from collections.abc import Callable, Collection, Iterable

from damaskramp.core.ids import ZoneName
from damaskramp.fleet.evacuation_order import KnownStatement
from damaskramp.fleet.evacuation_terms import (
    EvacuationChange,
    EvacuationSource,
    EvacuationState,
    EvacuationTerms,
    ReportedStatement,
)
from damaskramp.fleet.freshness import boot_clock
from damaskramp.fleet.model import (
    NO_EPOCH,
    Epoch,
    EvacuationStatement,
    Revision,
    StorePosition,
)

__all__ = ["Evacuations"]

MAX_WITHDRAWALS = 64
"""Most withdrawals that are remembered and handed on, the newest. A fleet has some
eight zones; the bound limits messages if keys name zones that don't exist."""

KEPT_SECONDS = 60.0
"""Time, in seconds, for which an evacuation of an earlier epoch stands against a store
that lists none. What a restore has lost is written again within seconds; an evacuation
whose withdrawal no host could see would otherwise stand for ever."""

UNKNOWN_POSITION = StorePosition(NO_EPOCH, Revision(-1))
"""Position of a host that has not learned of the evacuations yet."""


class Evacuations:
    """Evacuations of availability zones as one host knows them.

    Parameters
    ----------
    clock : callable
        Clock in seconds that includes time of suspension.

    Examples
    --------
    >>> evacuations = Evacuations(EvacuationTerms(), lambda: 0.0)
    >>> evacuations.is_known
    False
    >>> listed = [EvacuationStatement(ZoneName("z1"), True, Revision(7), Epoch(1))]
    >>> evacuations.apply_snapshot(listed, StorePosition(Epoch(1), Revision(9)))
    >>> evacuations.zones
    frozenset({'z1'})
    """

    def __init__(
        self, terms: EvacuationTerms, clock: Callable[[], float] = boot_clock
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._position = UNKNOWN_POSITION
        self._epoch_start = UNKNOWN_POSITION
        self._epoch_entered_at = 0.0
        self._known: dict[ZoneName, KnownStatement] = {}
        self._unconfirmed: dict[ZoneName, tuple[KnownStatement, float]] = {}
        self._zones: frozenset[ZoneName] = frozenset()
        self._begun_at: dict[ZoneName, float] = {}
        self._callbacks: list[Callable[[EvacuationChange], None]] = []

    @property
    def is_known(self) -> bool:
        """Whether a complete list of evacuations has been read or received."""
        return self._position != UNKNOWN_POSITION

    @property
    def position(self) -> StorePosition:
        """Position in the store up to which the evacuations are complete."""
        return self._position

    @property
    def zones(self) -> frozenset[ZoneName]:
        """Zones to whose servers nothing may be sent."""
        return self._zones

    @property
    def in_force(self) -> list[EvacuationChange]:
        """Evacuations in force, with their sources and ages, ordered by zone."""
        now = self._clock()
        return [
            EvacuationChange(
                self._known[zone].statement, self._known[zone].source, now - begun_at
            )
            for zone, begun_at in sorted(self._begun_at.items())
        ]

    def age_of(self, zone: ZoneName) -> float:
        """Seconds for which the evacuation of a zone is known; 0 if there is none."""
        begun_at = self._begun_at.get(zone)
        return 0.0 if begun_at is None else self._clock() - begun_at

    def subscribe(self, callback: Callable[[EvacuationChange], None]) -> None:
        """Call `callback` with each begin and end of an evacuation."""
        self._callbacks.append(callback)

    def state(self) -> EvacuationState | None:
        """State for other hosts; None if this host has no complete list yet."""
        if not self.is_known:
            return None
        now = self._clock()
        known = {
            **self._known,
            **{zone: found for zone, (found, _) in self._unconfirmed.items()},
        }
        return EvacuationState(
            self._position,
            tuple(
                ReportedStatement(found.statement, max(0.0, now - found.stated_at))
                for found in known.values()
            ),
        )

    def apply_snapshot(
        self, listed: Iterable[EvacuationStatement], position: StorePosition
    ) -> None:
        """Apply the complete list of the store, which is at least as new as `position`.

        If it belongs to another epoch, that one is followed from now on.
        """
        now = self._clock()
        self._enter_epoch(position)
        listed = tuple(listed)
        for statement in listed:
            self._add(KnownStatement(statement, now, EvacuationSource.STORE))
        zones = {statement.zone for statement in listed}
        self._end_missing(zones, position, EvacuationSource.STORE, now)
        self._complete_to(position)

    def apply_changes(
        self, statements: Iterable[EvacuationStatement], position: StorePosition
    ) -> None:
        """Apply statements that the store has made up to a position."""
        now = self._clock()
        for statement in statements:
            self._add(KnownStatement(statement, now, EvacuationSource.STORE))
        self._complete_to(position)

    def merge(self, state: EvacuationState, epoch: Epoch, asked_at: float) -> None:
        """Merge what a peer knows.

        Parameters
        ----------
        epoch : Epoch
            Epoch of the store that this host follows as of this message.
        asked_at : float
            Clock time at which the peer was asked, in seconds.
        """
        position, complete_before = state.position, self._position
        if position.epoch == epoch or not self.is_known:
            self._enter_epoch(position)
        for statement, age in state.statements:
            if not self._is_known_withdrawn(statement, complete_before):
                self._add(
                    KnownStatement(statement, asked_at - age, EvacuationSource.PEER)
                )
        if position.epoch == self._position.epoch:
            listed = {
                statement.zone
                for statement, _ in state.statements
                if statement.epoch == position.epoch
            }
            self._end_missing(listed, position, EvacuationSource.PEER, asked_at)
            self._complete_to(position)
        self._update_zones()

    def expire_withdrawals(self) -> None:
        """Let the store's list count where a withdrawal has stood long enough."""
        now = self._clock()
        for zone, (known, until) in list(self._unconfirmed.items()):
            if until <= now:
                del self._unconfirmed[zone]
                self._known[zone] = known
        self._update_zones()

    def _enter_epoch(self, position: StorePosition) -> None:
        if position.epoch != self._position.epoch or not self.is_known:
            self._position = position
            self._epoch_start = position
            self._epoch_entered_at = self._clock()
            self._unconfirmed.clear()

    def _complete_to(self, position: StorePosition) -> None:
        if self.is_known and position.epoch == self._position.epoch:
            self._position = max(self._position, position)
            if self._clock() - self._epoch_entered_at >= KEPT_SECONDS:
                self._end_kept()
        self._update_zones()

    def _end_kept(self) -> None:
        """End evacuations of earlier epochs, which the store has not written again."""
        for zone, (statement, _, source) in list(self._known.items()):
            if statement.evacuated and statement.epoch != self._position.epoch:
                ended = EvacuationStatement(
                    zone, False, self._position.revision, self._position.epoch
                )
                self._add(KnownStatement(ended, self._clock(), source))

    def _is_known_withdrawn(
        self, statement: EvacuationStatement, complete: StorePosition
    ) -> bool:
        """Whether a peer's evacuation must have been withdrawn, as this host lacks it.

        A process that has just started needs this check, because it doesn't know the
        withdrawals before its first snapshot.
        """
        known = self._latest_of(statement.zone)
        return (
            statement.evacuated
            and statement.epoch == complete.epoch
            and statement.revision <= complete.revision
            and (known is None or known.statement.epoch != statement.epoch)
        )

    def _latest_of(self, zone: ZoneName) -> KnownStatement | None:
        waiting = self._unconfirmed.get(zone)
        return waiting[0] if waiting is not None else self._known.get(zone)

    def _add(self, new: KnownStatement) -> None:
        zone = new.statement.zone
        latest = self._latest_of(zone)
        if latest is not None and not new.is_newer(latest, self._position.epoch):
            return
        self._unconfirmed.pop(zone, None)
        known = self._known.get(zone)
        if known is not None and new.may_be_of_copy(known, self._epoch_start):
            until = self._clock() + self._terms.withdrawal_seconds
            self._unconfirmed[zone] = (new, until)
        else:
            self._known[zone] = new

    def _end_missing(
        self,
        listed: Collection[ZoneName],
        position: StorePosition,
        source: EvacuationSource,
        stated_at: float,
    ) -> None:
        """End evacuations of an epoch that a complete list of this epoch lacks."""
        for zone in list(self._known):
            statement = self._latest_of(zone).statement
            if (
                statement.evacuated
                and statement.zone not in listed
                and statement.epoch == position.epoch
                and statement.revision <= position.revision
            ):
                ended = EvacuationStatement(
                    statement.zone, False, position.revision, position.epoch
                )
                self._add(KnownStatement(ended, stated_at, source))

    def _update_zones(self) -> None:
        """Recompute the evacuated zones, and report what has changed."""
        before, now = self._zones, self._clock()
        self._zones = frozenset(
            zone for zone, known in self._known.items() if known.statement.evacuated
        )
        for zone in sorted(before ^ self._zones):
            known = self._known[zone]
            if zone in self._zones:
                begun_at = self._begun_at[zone] = min(now, known.stated_at)
            else:
                begun_at = self._begun_at.pop(zone)
            change = EvacuationChange(known.statement, known.source, now - begun_at)
            for callback in self._callbacks:
                callback(change)
        self._forget_withdrawals()

    def _forget_withdrawals(self) -> None:
        withdrawn = [z for z, k in self._known.items() if not k.statement.evacuated]
        if len(withdrawn) > MAX_WITHDRAWALS:
            withdrawn.sort(key=lambda zone: self._known[zone].stated_at)
            for zone in withdrawn[:-MAX_WITHDRAWALS]:
                del self._known[zone]
