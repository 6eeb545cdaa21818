"""Log lines, counters, gauges and callbacks for evacuations that this node knows."""

import logging
from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.fleet import EvacuationChange
from damaskramp.relay.fleet_view import FleetView

__all__ = ["EvacuationObserver"]

LOGGER = logging.getLogger(__name__)


class EvacuationObserver:
    """Observer of the begin and end of evacuations.

    Attributes
    ----------
    on_own_zone_returned : callable or None
        Called when the evacuation of this host's zone has ended. The backend server on
        this host has had no requests meanwhile and may be cold.
    """

    def __init__(self, fleet_view: FleetView, counters: Counters) -> None:
        self._fleet_view = fleet_view
        self._counters = counters
        self._was_evacuated = False
        self._kept: frozenset[str] = frozenset()
        self.on_own_zone_returned: Callable[[], None] | None = None
        if fleet_view.evacuations is not None:
            fleet_view.evacuations.subscribe(self._record_change)

    def update(self) -> None:
        """Apply what has become due, and report evacuations kept over a restore."""
        evacuations = self._fleet_view.evacuations
        if evacuations is None:
            return
        evacuations.expire_withdrawals()
        # The zone of the backend server may be listed after the evacuation is known.
        self._follow_own_zone()
        kept = {
            change.statement.zone
            for change in evacuations.in_force
            if change.statement.epoch != evacuations.position.epoch
        }
        for zone in sorted(kept - self._kept):
            self._counters.add("evacuations_kept")
            LOGGER.warning(
                "evacuation kept, as the restored platform states nothing",
                extra={"zone": zone, "epoch": evacuations.position.epoch},
            )
        self._kept = frozenset(kept)

    def gauges(self) -> dict[str, float]:
        """Gauges of the evacuations in force; none where zones are not evacuated."""
        evacuations = self._fleet_view.evacuations
        if evacuations is None:
            return {}
        in_force = evacuations.in_force
        by_source = {"store": 0.0, "peer": 0.0}
        for change in in_force:
            by_source[change.source.value] += 1.0
        return {
            "evacuated_zones": float(len(in_force)),
            "evacuated_zones_by_store": by_source["store"],
            "evacuated_zones_by_peer": by_source["peer"],
            "evacuated_zones_kept": float(len(self._kept)),
            "evacuation_age_seconds": max(
                (change.seconds for change in in_force), default=0.0
            ),
            "evacuations_known": float(evacuations.is_known),
            "own_zone_evacuated": float(self._fleet_view.is_evacuated),
        }

    def _record_change(self, change: EvacuationChange) -> None:
        statement, source = change.statement, change.source.value
        name = "evacuations" if statement.evacuated else "evacuations_withdrawn"
        self._counters.add(name, reason=source)
        LOGGER.info(
            "zone evacuated" if statement.evacuated else "evacuation withdrawn",
            extra={
                "zone": statement.zone,
                "source": source,
                "age_seconds": round(change.seconds, 3),
                "epoch": statement.epoch,
                "revision": statement.revision,
            },
        )
        self._follow_own_zone()

    def _follow_own_zone(self) -> None:
        is_evacuated = self._fleet_view.is_evacuated
        has_returned = self._was_evacuated and not is_evacuated
        self._was_evacuated = is_evacuated
        if has_returned:
            self._counters.add("own_zone_returned")
            if self.on_own_zone_returned is not None:
                self.on_own_zone_returned()
