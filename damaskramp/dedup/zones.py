"""Home zones of callers' own ids, by rendezvous over the bundle's zones."""

from damaskramp.core import TimerService, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.dedup.request_ids import ClaimKey, OwnId

__all__ = ["HomeZones"]


class HomeZones:
    """Home zones under the bundle in force and under the one before it.

    Both sides of a cut hold the same signed list of zones, so they agree on the
    home zone of an id whoever they can reach.

    Parameters
    ----------
    timers : TimerService
        Time.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._zones: tuple[str, ...] = ()
        self._former: tuple[str, ...] = ()
        self._changed_at = float("-inf")

    def set_zones(self, zones: tuple[str, ...]) -> None:
        """Take the zones of a bundle."""
        if frozenset(zones) == frozenset(self._zones):
            return
        if self._zones:
            self._former = self._zones
            self._changed_at = self._timers.now
        self._zones = zones

    def home(self, own_id: OwnId, key: ClaimKey) -> ZoneName | None:
        """Home zone of an id, None where it names a zone that does not exist."""
        if not own_id.zone:
            return _ranked_first(self._zones, key)
        return own_id.zone if own_id.zone in self._zones else None

    def moved_at(self, own_id: OwnId, key: ClaimKey) -> float:
        """Time at which the home zone of an id last changed."""
        if not self._former:
            return float("-inf")
        if own_id.zone:
            moved = own_id.zone not in self._former
        else:
            moved = _ranked_first(self._former, key) != self.home(own_id, key)
        return self._changed_at if moved else float("-inf")


def _ranked_first(zones: tuple[str, ...], key: ClaimKey) -> ZoneName | None:
    resource = key.hex()
    ranked = max(zones, key=lambda zone: (rendezvous_score(zone, resource), zone))
    return ZoneName(ranked)
