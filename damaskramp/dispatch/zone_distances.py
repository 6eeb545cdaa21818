"""Time to each availability zone and back, from pings that are sent anyway."""

from damaskramp.core.ids import ZoneName

__all__ = ["ZoneDistances"]

RISE_SHARE = 0.02
"""Part by which the known time of a zone may rise with each measurement. The shortest
times tell the distance; longer ones contain the pauses of the two processes."""


class ZoneDistances:
    """Shortest recent times to the zones and back.

    Examples
    --------
    >>> distances = ZoneDistances()
    >>> for seconds in (0.012, 0.0108, 0.3):
    ...     distances.record("z2", seconds)
    >>> round(distances.round_trip("z2"), 4), distances.round_trip("z3")
    (0.011, 0.0)
    """

    def __init__(self) -> None:
        self._seconds: dict[ZoneName, float] = {}

    def record(self, zone: ZoneName, seconds: float) -> None:
        """Record the time between a ping to a host of a zone and its answer."""
        known = self._seconds.get(zone, seconds)
        self._seconds[zone] = min(seconds, known * (1.0 + RISE_SHARE))

    def round_trip(self, zone: ZoneName) -> float:
        """Seconds to a zone and back; 0 if not known."""
        return self._seconds.get(zone, 0.0)
