"""Home zones of callers' own ids, by rendezvous hashing over the bundle's zones."""

from damaskramp.core import TimerService, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.dedup.request_ids import ClaimKey, OwnId

__all__ = ["HomeZones"]


class HomeZones:
    """Home zones under the bundle in force and under the previous list of zones.

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
        self._previous_zones: tuple[str, ...] = ()
        self._changed_at = float("-inf")

    def set_zones(self, zones: tuple[str, ...]) -> None:
        """Set the zones of the bundle in force."""
        if frozenset(zones) == frozenset(self._zones):
            return
        if self._zones:
            self._previous_zones = self._zones
            self._changed_at = self._timers.now
        self._zones = zones

    def home(self, own_id: OwnId, key: ClaimKey) -> ZoneName | None:
        """Return the home zone of an id, or None if it names an unknown zone."""
        if not own_id.zone:
            return _highest_ranked_zone(self._zones, key)
        return own_id.zone if own_id.zone in self._zones else None

    def moved_at(self, own_id: OwnId, key: ClaimKey) -> float:
        """Return the monotonic time of the last change of an id's home zone.

        The result is in seconds, and minus infinity if the last change of the zones
        didn't move the id.
        """
        if not self._previous_zones:
            return float("-inf")
        if own_id.zone:
            moved = own_id.zone not in self._previous_zones
        else:
            moved = _highest_ranked_zone(self._previous_zones, key) != self.home(
                own_id, key
            )
        return self._changed_at if moved else float("-inf")


def _highest_ranked_zone(zones: tuple[str, ...], key: ClaimKey) -> ZoneName | None:
    resource = key.hex()
    ranked = max(zones, key=lambda zone: (rendezvous_score(zone, resource), zone))
    return ZoneName(ranked)
