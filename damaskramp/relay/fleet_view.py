"""View of the fleet: the blackboard that this node's controllers write and read."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from damaskramp.core import Blackboard, ServiceName, ZoneName
from damaskramp.dispatch import RouteTable, Suspects
from damaskramp.fleet import (
    BackendServer,
    Directory,
    Epoch,
    Evacuations,
    FleetConfiguration,
    Freshness,
    LeavingAnnouncements,
    RegionName,
    ServerId,
)
from damaskramp.fleet.model import Team
from damaskramp.relay.readers import zone_readers

__all__ = ["FleetView", "KeyHolder", "key_digest"]

DIGEST_BYTES = 16


def key_digest(key: str) -> bytes:
    """Compute the digest by which nodes refer to a key in messages."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """Team that holds a key, and the digest of the key."""

    team: Team
    digest: bytes


class FleetView:
    """Configuration and backend servers of the fleet, with proof of their freshness.

    Parameters
    ----------
    service : ServiceName
        Service of the backend server on this host.
    address : str
        ``IP:PORT`` of the backend server on this host.
    key_max_age : float
        Longest age of the configuration at which keys are honoured, in seconds.
    evacuations : Evacuations or None
        Evacuations of zones; None where zones are not evacuated.
    """

    def __init__(
        self,
        host: str,
        zone: ZoneName,
        service: ServiceName,
        address: str,
        key_max_age: float,
        clock: Callable[[], float],
        suspects: Suspects,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._host = host
        self._zone = zone
        self._service = service
        self._address = address
        self._key_max_age = key_max_age
        board = Blackboard()
        self._configuration = board.create("configuration", None)
        self._board = board
        self._routes = RouteTable(())
        self._keys: dict[bytes, KeyHolder] = {}
        self._digests: set[bytes] = set()
        self._home_regions: dict[str | bytes, frozenset[RegionName]] = {}
        self._own_server: BackendServer | None = None
        self._own_generation = -1
        self._readers: tuple[list[tuple[str, ZoneName]], list[str]] = ([], [])
        self._host_zones: tuple[list[tuple[str, ZoneName]], dict[str, ZoneName]] = (
            [],
            {},
        )
        self.directory = Directory(clock)
        self.leaving_announcements = LeavingAnnouncements(clock)
        self.freshness = Freshness()
        self.epoch_freshness = Freshness()
        self.suspects = suspects
        self.evacuations = evacuations

    @property
    def host(self) -> str:
        """IP address of this host."""
        return self._host

    @property
    def zone(self) -> ZoneName:
        """Availability zone of this host."""
        return self._zone

    @property
    def service(self) -> ServiceName:
        """Service of the backend server on this host."""
        return self._service

    @property
    def configuration(self) -> FleetConfiguration | None:
        """Newest known configuration; None if none is known."""
        return self._configuration.value

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if none is known."""
        configuration = self._configuration.value
        return configuration.version if configuration is not None else 0

    @property
    def routes(self) -> RouteTable:
        """Routes of the newest configuration."""
        return self._routes

    @property
    def keys_usable(self) -> bool:
        """Whether the configuration is recent enough for keys to be honoured."""
        return self.freshness.age < self._key_max_age

    @property
    def own_server(self) -> BackendServer | None:
        """Directory entry of the backend server on this host; None if not listed."""
        if self._own_generation != self.directory.generation:
            self._own_generation = self.directory.generation
            self._own_server = self.directory.find_by_address(
                self._address, self._service
            )
        return self._own_server

    @property
    def own_slots(self) -> int:
        """Slots of the backend server on this host; 0 if it is not listed."""
        own = self.own_server
        return own.slots if own is not None else 0

    @property
    def evacuations_known(self) -> bool:
        """Whether the evacuated zones are known, where zones are evacuated at all."""
        return self.evacuations is None or self.evacuations.is_known

    @property
    def is_evacuated(self) -> bool:
        """Whether nothing may be sent to the backend server on this host."""
        if self.evacuations is None or not self.evacuations.zones:
            return False
        own = self.own_server
        zones = self.evacuations.zones
        return self._zone in zones or (own is not None and own.zone in zones)

    def has_announced_leaving(self, server: ServerId) -> bool:
        """Return whether a server has announced that it is leaving."""
        if not self.leaving_announcements:
            return False
        listed = self.directory.find(server)
        started = listed.started if listed is not None else 0
        return self.leaving_announcements.holds(server, started)

    @property
    def readers(self) -> list[str]:
        """Hosts of the own availability zone that read the platform for it."""
        hosts = self.directory.hosts()
        if self._readers[0] is not hosts:
            self._readers = (hosts, zone_readers(hosts, self._zone))
        return self._readers[1]

    @property
    def host_zones(self) -> dict[str, ZoneName]:
        """Zone of each host, in the order of the hosts; not to be changed."""
        hosts = self.directory.hosts()
        if self._host_zones[0] is not hosts:
            self._host_zones = (hosts, dict(hosts))
        return self._host_zones[1]

    def states_later_epoch(self, epoch: Epoch, stated_at: float) -> bool:
        """Whether the store stated another epoch later than the one that is followed.

        Parameters
        ----------
        stated_at : float
            Time of the statement on the clock of ``freshness``.
        """
        followed_at = self.epoch_freshness.now - self.epoch_freshness.age
        return epoch != self.directory.epoch and stated_at > followed_at

    def set_key_max_age(self, key_max_age: float) -> None:
        """Set the longest age of the configuration at which keys are honoured."""
        self._key_max_age = key_max_age

    def subscribe_configuration(
        self, callback: Callable[[FleetConfiguration], None]
    ) -> None:
        """Call `callback` with each new configuration."""
        self._configuration.subscribe(callback)

    def find_key_holder(self, key: bytes) -> KeyHolder | None:
        """Find the holder of a key; None if no team holds it."""
        return self._keys.get(key)

    def holds_key(self, digest: bytes) -> bool:
        """Return whether a team holds the key with this digest."""
        return digest in self._digests

    def home_regions_of(
        self, route: str, key_digest: bytes
    ) -> list[frozenset[RegionName]]:
        """Home regions of a route and of the holder of a key, where they have some."""
        if not self._home_regions:
            return []
        found = (self._home_regions.get(name) for name in (route, key_digest))
        return [regions for regions in found if regions]

    def adopt_configuration(self, configuration: FleetConfiguration) -> bool:
        """Adopt a configuration if it is newer; return whether it was.

        The version never decreases within the lifetime of a process.
        """
        if configuration.version <= self.version:
            return False
        self._routes = RouteTable(configuration.routes)
        self._keys = {
            key.encode(): KeyHolder(team, key_digest(key))
            for team in configuration.teams
            for key in team.keys
        }
        self._digests = {holder.digest for holder in self._keys.values()}
        self._home_regions = {
            route.name: route.home_regions
            for route in configuration.routes
            if route.home_regions
        }
        self._home_regions |= {
            holder.digest: holder.team.home_regions
            for holder in self._keys.values()
            if holder.team.home_regions
        }
        self._configuration.replace(configuration)
        return True
