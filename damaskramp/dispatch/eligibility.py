"""Servers that a request may be sent to by the evacuations and home regions.

A request is sent to no server of an evacuated zone. A request whose route or team has
home regions is sent to no server of another region; where both have some, both apply. A
zone whose region is not known is in no home region.

The node beside a server may know of an evacuation before this host does, and then
refuses the request. This host then avoids the whole zone for a short time, in which it
learns of the evacuation itself, instead of being refused by one server after another.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from damaskramp.core import Reason
from damaskramp.core.ids import ZoneName
from damaskramp.fleet.evacuations import Evacuations
from damaskramp.fleet.model import BackendServer, RegionName

__all__ = ["Eligibility", "RegionSettings", "Rejection"]

NO_REGION = RegionName("")
"""Stands for the region of a host that is not known."""

REFUSED_ZONE_SECONDS = 1.0
"""Time, in seconds, for which a zone is avoided after one of its nodes has refused a
request because of an evacuation. Gossip reaches all hosts within that time."""

MIN_EVACUATED_RETRY_SECONDS = 0.5
"""Shortest retry-after, in seconds, where an evacuation leaves no server."""

MAX_EVACUATED_RETRY_SECONDS = 5.0
"""Longest retry-after, in seconds, where an evacuation leaves no server, so that
callers return soon after its end."""

EVACUATED_RETRY_SHARE = 0.5
"""Retry-after where an evacuation leaves no server, as a part of the evacuation's age:
one that has lasted long is likely to last longer."""

NO_HOME_RETRY_SECONDS = 1.0
"""Retry-after, in seconds, where no server of a home region is listed and reachable.
Servers that lapsed return within seconds."""


@dataclass(frozen=True, slots=True)
class RegionSettings:
    """Regions of this host and of the availability zones.

    Attributes
    ----------
    region : RegionName
        Region of this host and its zone; empty if it is not known.
    zone_regions : mapping
        Region of each zone, as far as they are known.
    """

    region: RegionName = NO_REGION
    zone_regions: Mapping[ZoneName, RegionName] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request can be sent to no server, and when the caller may come again.

    Attributes
    ----------
    wait : float
        Seconds until a server may be expected.
    """

    reason: Reason
    wait: float


class Eligibility:
    """Filter of servers before one of them is selected.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this host.
    evacuations : Evacuations or None
        Evacuations of zones; None where zones are not evacuated.
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> regions = RegionSettings(RegionName("north"), {ZoneName("z2"): "south"})
    >>> eligibility = Eligibility(regions, ZoneName("z1"), None, lambda: 0.0)
    >>> homes = [frozenset({RegionName("north")})]
    >>> eligibility.allows(ZoneName("z1"), homes)
    True
    >>> eligibility.allows(ZoneName("z2"), homes)
    False
    """

    def __init__(
        self,
        settings: RegionSettings,
        zone: ZoneName,
        evacuations: Evacuations | None,
        clock: Callable[[], float],
    ) -> None:
        self._regions = dict(settings.zone_regions)
        if settings.region:
            self._regions[zone] = settings.region
        self._evacuations = evacuations
        self._clock = clock
        self._refused_until: dict[ZoneName, float] = {}

    def record_refused_zone(self, zone: ZoneName) -> None:
        """Record that a node refused a request because its zone is evacuated."""
        self._refused_until[zone] = self._clock() + REFUSED_ZONE_SECONDS

    def select(
        self,
        servers: list[BackendServer],
        homes: Collection[frozenset[RegionName]],
    ) -> list[BackendServer]:
        """Select the servers that a request may be sent to.

        Parameters
        ----------
        homes : collection of frozenset
            Sets of regions that all bind the request.
        """
        avoided = self._avoided_zones()
        if avoided:
            servers = [server for server in servers if server.zone not in avoided]
        if homes:
            servers = [server for server in servers if self.allows(server.zone, homes)]
        return servers

    def allows(self, zone: ZoneName, homes: Collection[frozenset[RegionName]]) -> bool:
        """Whether the servers of a zone may run a request by its home regions."""
        region = self._regions.get(zone)
        return all(region in regions for regions in homes)

    def rejection(
        self,
        servers: Collection[BackendServer],
        homes: Collection[frozenset[RegionName]],
    ) -> Rejection | None:
        """Why none of some usable servers may be chosen; None if this is not the cause.

        Parameters
        ----------
        servers : collection of BackendServer
            Usable servers of the service, in any zone.
        """
        at_home = [server for server in servers if self.allows(server.zone, homes)]
        if not at_home and homes:
            return Rejection(Reason.NO_HOME_REGION, NO_HOME_RETRY_SECONDS)
        avoided = self._avoided_zones()
        if not at_home or not all(server.zone in avoided for server in at_home):
            return None
        ages = [self._age_of(server.zone) for server in at_home]
        wait = EVACUATED_RETRY_SHARE * min(ages)
        return Rejection(
            Reason.ZONE_EVACUATED,
            min(max(wait, MIN_EVACUATED_RETRY_SECONDS), MAX_EVACUATED_RETRY_SECONDS),
        )

    def _age_of(self, zone: ZoneName) -> float:
        return self._evacuations.age_of(zone) if self._evacuations is not None else 0.0

    def _avoided_zones(self) -> Collection[ZoneName]:
        zones = self._evacuations.zones if self._evacuations is not None else ()
        if not self._refused_until:
            return zones
        now = self._clock()
        for zone in [z for z, until in self._refused_until.items() if until <= now]:
            del self._refused_until[zone]
        return {*zones, *self._refused_until}
