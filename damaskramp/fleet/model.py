"""What operators publish and which backend servers run, as immutable values."""

from dataclasses import dataclass, field
from typing import NewType

from damaskramp.core.findings import Finding
from damaskramp.core.ids import BundleVersion, ServiceName, TeamId, ZoneName

__all__ = [
    "BackendServer",
    "CallerLimits",
    "FleetConfiguration",
    "Revision",
    "Route",
    "ServerId",
    "Team",
    "WeightedService",
]

Revision = NewType("Revision", int)
"""Counter of the platform's store that grows with each change."""

ServerId = NewType("ServerId", str)
"""Name that a backend server has for one or more of its lifetimes."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its part of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and how they are treated.

    Attributes
    ----------
    prefix : str
        Beginning of the path; begins and ends with a slash.
    targets : tuple of WeightedService
        Services that share the requests by weight.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time that a caller waits, in seconds.
    latency_target : float
        Time within which an answer has its full value, in seconds.
    attempts : int
        Most backend servers that one request may be sent to.
    priority : int
        Rank; 0 is the most important.
    public : bool
        Whether requests need no key.
    usable : bool
        Whether it is known which services the requests may go to; others are refused.
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


@dataclass(frozen=True, slots=True)
class Team:
    """A customer with its keys and its rate over the whole fleet.

    Attributes
    ----------
    priority : int or None
        Rank that goes before the route's; None leaves the route's.
    rate : float
        Requests a second; 0 means no limit.
    burst : float
        Requests that may come at once beyond the rate.
    usable : bool
        Whether its rate is known; the requests of others are refused.
    keys_complete : bool
        Whether all its keys could be read.
    """

    name: TeamId
    keys: frozenset[str]
    priority: int | None
    rate: float
    burst: float
    usable: bool = True
    keys_complete: bool = True


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send; bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One published version of the configuration.

    Attributes
    ----------
    document : bytes
        The published form, kept so that hosts can hand it on unchanged.
    max_connections : dict
        Connections that each backend server of a service accepts.
    routes_complete : bool
        Whether it is known for all routes which requests are theirs. If not, a request
        that matches none is not known to have none.
    keys_complete : bool
        Whether all keys of all teams are known. If not, a key that no team holds is
        not known to be wrong.
    findings : tuple of Finding
        What could not be read as published.
    """

    version: BundleVersion
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    limits: CallerLimits = CallerLimits()
    max_connections: dict[ServiceName, int] = field(default_factory=dict)
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
        ``IP:PORT``; the IP is that of its host, where its node listens too.
    slots : int
        Requests that it runs at the same time.
    leaving : bool
        Whether it takes no new work.
    warmup : float
        Seconds for which it is still slow after its start, as of its last report.
    started : int
        Start of this lifetime, in milliseconds since the epoch; 0 if not told.
    revision : Revision
        Change of the store that this description comes from.
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

    @property
    def host(self) -> str:
        """IP address of the host."""
        return self.address.rpartition(":")[0]
