"""Home zones of callers' own ids, by rendezvous hashing over the bundle's zones."""

from collections import deque
from typing import NamedTuple

from damaskramp.core import TimerService, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.dedup.request_ids import ClaimKey, OwnId

__all__ = ["HomeZones"]

MAX_CHANGES = 32
"""Most changes of the list of zones that are remembered. Zones change a few times a
year, and claims are kept for much less."""


class HomeZones:
    """Home zones under the bundle in force, and when its earlier lists moved them.

    Both sides of a network partition hold the same signed list of zones, so they
    agree on the home zone of an id whichever nodes they can reach.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._zones: tuple[str, ...] = ()
        self._changes: deque[_ZoneChange] = deque(maxlen=MAX_CHANGES)
        self._forgotten_until = float("-inf")

    def set_zones(self, zones: tuple[str, ...]) -> None:
        """Set the zones of the bundle in force."""
        if frozenset(zones) == frozenset(self._zones):
            return
        if self._zones:
            if len(self._changes) == MAX_CHANGES:
                self._forgotten_until = self._changes[0].made_at
            change = _ZoneChange(self._timers.now, self._zones, zones)
            self._changes.append(change)
        self._zones = zones

    def home(self, own_id: OwnId, key: ClaimKey) -> ZoneName | None:
        """Return the home zone of an id, or None if it names an unknown zone."""
        if not own_id.zone:
            return _highest_ranked_zone(self._zones, key)
        return own_id.zone if own_id.zone in self._zones else None

    def moved_at(self, own_id: OwnId, key: ClaimKey) -> float:
        """Return the monotonic time of the last change of an id's home zone.

        The result is in seconds, and minus infinity if no change of the zones moved
        the id. Of ids that none of the last changes moved, it is the time of the newest
        change that is no longer known.
        """
        for change in reversed(self._changes):
            if change.moves(own_id, key):
                return change.made_at
        return self._forgotten_until


class _ZoneChange(NamedTuple):
    """Change of the list of zones at a monotonic time in seconds."""

    made_at: float
    before: tuple[str, ...]
    after: tuple[str, ...]

    def moves(self, own_id: OwnId, key: ClaimKey) -> bool:
        """Return whether the change has given an id another home zone."""
        if own_id.zone:
            return own_id.zone in self.after and own_id.zone not in self.before
        before = _highest_ranked_zone(self.before, key)
        return before != _highest_ranked_zone(self.after, key)


def _highest_ranked_zone(zones: tuple[str, ...], key: ClaimKey) -> ZoneName | None:
    resource = key.hex()
    ranked = max(zones, key=lambda zone: (rendezvous_score(zone, resource), zone))
    return ZoneName(ranked)
