"""Immutable values for the published configuration and the running backend servers."""

from dataclasses import dataclass, field
from typing import NamedTuple, NewType

from damaskramp.core.findings import Finding
from damaskramp.core.ids import BundleVersion, ServiceName, TeamId, ZoneName

__all__ = [
    "NO_EPOCH",
    "BackendServer",
    "CallerLimits",
    "Epoch",
    "EvacuationStatement",
    "FleetConfiguration",
    "RegionName",
    "Removal",
    "Revision",
    "Route",
    "ServerId",
    "ServerReport",
    "ServiceWarmup",
    "StorePosition",
    "Team",
    "WeightedService",
]

Epoch = NewType("Epoch", int)
"""Number of a history of the platform's store, which begins a new one when it is
restored from a copy."""

NO_EPOCH = Epoch(0)
"""Epoch of a store that states none."""

Revision = NewType("Revision", int)
"""Counter of the platform's store that grows with each change within an epoch."""

RegionName = NewType("RegionName", str)
"""Name of a region, which holds one or more availability zones."""

ServerId = NewType("ServerId", str)
"""Id that a backend server has for one or more of its lifetimes."""


class StorePosition(NamedTuple):
    """Point in a history of the platform's store.

    Revisions of different epochs can't be compared: a store that is restored from a
    copy gives revisions out again.
    """

    epoch: Epoch
    revision: Revision


class ServerReport(NamedTuple):
    """Report that a backend server makes about itself.

    Reports are ordered by the server's own count, whatever becomes of the store.

    Attributes
    ----------
    started : int
        Start of the server in milliseconds since the epoch; 0 if not reported.
    number : int
        Number of the report since that start; 0 if not reported.
    """

    started: int
    number: int


class Removal(NamedTuple):
    """Deletion of the description of a backend server from the store.

    Attributes
    ----------
    revision, epoch : Revision, Epoch
        Position of the deletion in the store.
    report : ServerReport or None
        Latest report of the server that was known then; None if none was.
    """

    server: ServerId
    revision: Revision
    epoch: Epoch = NO_EPOCH
    report: ServerReport | None = None


class EvacuationStatement(NamedTuple):
    """Statement of the store on the evacuation of an availability zone.

    Attributes
    ----------
    evacuated : bool
        Whether nothing may be sent to the servers of the zone.
    revision, epoch : Revision, Epoch
        Position of the statement in the store.
    """

    zone: ZoneName
    evacuated: bool
    revision: Revision
    epoch: Epoch = NO_EPOCH


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the division of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes
    ----------
    prefix : str
        Beginning of the path; begins and ends with a slash.
    targets : tuple of WeightedService
        Services that share the requests by weight.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time that a caller waits for an answer, in seconds.
    latency_target : float
        Time within which an answer has its full value, in seconds.
    attempts : int
        Largest number of backend servers that one request may be sent to.
    priority : int
        Rank; 0 is the most important.
    public : bool
        Whether requests need no key.
    usable : bool
        Whether the services of the route are known; if not, its requests are refused.
    home_regions : frozenset of RegionName
        Regions whose servers may run the route's requests; empty for all regions.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[WeightedService, ...]
    idempotent: bool
    timeout: float
    latency_target: float
    attempts: int
    priority: int
    public: bool
    usable: bool = True
    home_regions: frozenset[RegionName] = frozenset()


@dataclass(frozen=True, slots=True)
class Team:
    """A customer with its keys and its rate over the whole fleet.

    Attributes
    ----------
    priority : int or None
        Rank that takes precedence over the route's; None keeps the route's.
    rate : float
        Requests a second; 0 means no limit.
    burst : float
        Number of requests that may come at once beyond the rate.
    usable : bool
        Whether the team's rate is known; if not, its requests are refused.
    keys_complete : bool
        Whether all keys of the team could be read.
    home_regions : frozenset of RegionName
        Regions whose servers may run the team's requests; empty for all regions.
    """

    name: TeamId
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    usable: bool = True
    keys_complete: bool = True
    home_regions: frozenset[RegionName] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class ServiceWarmup:
    """Warm-up of the servers of a service.

    Attributes
    ----------
    rate : float
        Requests a second that a server tolerates while it is cold.
    seconds : float
        Length of the warm-up after a server's start; 0 if it is not stated.
    health_path : str
        Path of the service's health check; empty if it is not stated.
    """

    rate: float
    seconds: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One published version of the configuration.

    Attributes
    ----------
    document : bytes
        The published form, kept so that hosts can hand it on unchanged.
    max_connections : dict
        Number of connections that each backend server of a service accepts.
    warmups : dict
        Warm-up of each service whose servers tolerate few requests while they are cold.
    routes_complete : bool
        Whether the host and prefix of every route are known. If not, a request that
        matches no known route may still belong to one.
    keys_complete : bool
        Whether all keys of all teams are known. If not, a key that belongs to no known
        team may still be valid.
    findings : tuple of Finding
        Parts of the configuration that could not be read as published.
    """

    version: BundleVersion
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    limits: CallerLimits = CallerLimits()
    max_connections: dict[ServiceName, int] = field(default_factory=dict)
    warmups: dict[ServiceName, ServiceWarmup] = field(default_factory=dict)
    document: bytes = b""
    routes_complete: bool = True
    keys_complete: bool = True
    findings: tuple[Finding, ...] = ()

    @property
    def needs_keys(self) -> bool:
        """Whether requests need a key, unless their route is public."""
        return bool(self.teams) or not self.keys_complete


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server as it describes itself.

    Attributes
    ----------
    address : str
        ``IP:PORT``; the IP is that of the server's host, where its node listens too.
    slots : int
        Number of requests that the server runs at the same time.
    leaving : bool
        Whether the server takes no new work.
    warmup : float
        Seconds for which the server is still slow after its start, as of its last
        report.
    started : int
        Start of this lifetime, in milliseconds since the epoch; 0 if not reported.
    revision : Revision
        Revision of the store at which this description was written.
    report_number : int
        Number of the server's report since its start; 0 if not reported.
    epoch : Epoch
        Epoch of the store that listed this description.
    host : str
        IP address of the server's host.
    """

    id: ServerId
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    leaving: bool
    warmup: float
    started: int
    revision: Revision
    report_number: int = 0
    epoch: Epoch = NO_EPOCH
    host: str = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        # Each request compares the hosts of the servers that it may be sent to.
        object.__setattr__(self, "host", self.address.rpartition(":")[0])

    @property
    def report(self) -> ServerReport:
        """Report that this description stems from."""
        return ServerReport(self.started, self.report_number)
