"""Models of the contents of a bundle, as operators write them."""

import math
from datetime import datetime
from typing import Annotated

from pydantic import Field, model_validator

from damaskramp.config.settings import Name, Settings

__all__ = [
    "Bundle",
    "BundleHead",
    "Key",
    "Objective",
    "Route",
    "Service",
    "Team",
]

Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False, strict=False)]
Fraction = Annotated[float, Field(gt=0, lt=1, strict=False)]
Timestamp = Annotated[datetime, Field(strict=False)]
Names = Annotated[tuple[Name, ...], Field(strict=False)]


class BundleHead(Settings):
    """Metadata and fleet-wide settings of a bundle.

    Attributes
    ----------
    version : int
        Version number, which increases with each signed bundle.
    expires : datetime or None
        Time after which nodes do not adopt the bundle; a node on which it is
        already in force keeps it.
    zones : tuple of str
        All availability zones of the fleet; the homes of requests are ranked over
        these names.
    roll_first : tuple of str
        Zones in which the bundle takes force before the others.
    roll_seconds : float
        Time for which the other zones wait.
    classes : tuple of str
        Priority classes, most important first.
    repeat_window_seconds : float
        Time for which an outcome is kept for repeats of its request id.
    retries : int
        Maximum number of retries of one request over its whole call chain.
    retry_ratio : float
        Retries that one team may make for each first attempt.
    first_start : bool
        Whether it is certain that no request ran before this bundle.
    """

    version: Annotated[int, Field(ge=1)]
    issued: Timestamp
    expires: Timestamp | None = None
    zones: Annotated[tuple[Name, ...], Field(min_length=1, strict=False)]
    roll_first: Names = ()
    roll_seconds: Annotated[float, Field(ge=0, strict=False)] = 0.0
    classes: Annotated[tuple[Name, ...], Field(min_length=1, strict=False)]
    repeat_window_seconds: Positive = 600.0
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    retry_ratio: Annotated[float, Field(ge=0, le=1, strict=False)] = 0.1
    first_start: bool = False


class Team(Settings):
    """A team, with its quota and weight.

    Attributes
    ----------
    rate : float
        Requests per second over all hosts together.
    burst : int
        Requests that may arrive at once in excess of the rate.
    weight : float
        Weight in fair sharing with other teams of the same priority class.
    zone_shares : dict of str to float
        Fraction of rate and burst that each zone holds; all zones have equal shares
        if it is empty.
    """

    name: Name
    rate: Positive
    burst: Annotated[int, Field(ge=1)]
    weight: Positive = 1.0
    zone_shares: dict[Name, Annotated[float, Field(ge=0, le=1, strict=False)]] = {}

    @model_validator(mode="after")
    def _check_shares(self) -> "Team":
        total = math.fsum(self.zone_shares.values())
        if self.zone_shares and not math.isclose(total, 1.0, abs_tol=1e-9):
            raise ValueError(f"zone_shares must sum to 1, not {total:g}")
        return self


class Key(Settings):
    """Digest of a caller's key, and the team that the key belongs to."""

    team: Name
    digest: Digest


class Service(Settings):
    """A service of the call graph.

    Attributes
    ----------
    slots : int
        Number of requests that one backend server can run at once.
    connections : int
        Number of connections that one backend server can hold.
    backend_servers : int
        Expected number of backend servers over all zones.
    zones : tuple of str
        Zones in which the service has backend servers; all zones if empty.
    shed_means_not_run : bool
        Whether a 503 response of the backend server proves that the request did not
        run.
    """

    name: Name
    slots: Annotated[int, Field(ge=1)]
    connections: Annotated[int, Field(ge=1)]
    backend_servers: Annotated[int, Field(ge=1)]
    zones: Names = ()
    shed_means_not_run: bool = False


class Route(Settings):
    """Requests of one method and path prefix.

    Attributes
    ----------
    prefix : str
        Path prefix; the longest match wins.
    methods : tuple of str
        Methods that match; any method if empty.
    priority : str
        One of the priority classes of the bundle.
    idempotent : bool
        Whether running the request twice is harmless.
    open : bool
        Whether callers need no key.
    timeout_seconds : float
        Timeout of a request whose caller states none.
    """

    service: Name
    prefix: Annotated[str, Field(pattern=r"^/[!-~]*$")]
    methods: Annotated[
        tuple[Annotated[str, Field(pattern=r"^[A-Z]+$")], ...], Field(strict=False)
    ] = ()
    priority: Name
    idempotent: bool
    open: bool = False
    timeout_seconds: Positive = 5.0


class Objective(Settings):
    """A service-level objective.

    Attributes
    ----------
    priority : str
        Priority class that the objective applies to; all classes if empty.
    good_ratio : float
        Fraction of requests that must be answered within `latency_seconds`.
    latency_seconds : float
        Latency above which an answer counts as bad.
    window_days : float
        Length of the window over which the error budget is spread.
    """

    service: Name
    priority: str = ""
    good_ratio: Fraction
    latency_seconds: Positive
    window_days: Positive = 28.0


class Bundle(Settings):
    """A whole bundle; each field is a section that is transferred separately."""

    bundle: BundleHead
    teams: Annotated[tuple[Team, ...], Field(strict=False)] = ()
    keys: Annotated[tuple[Key, ...], Field(strict=False)] = ()
    withdrawn_keys: Annotated[tuple[Digest, ...], Field(strict=False)] = ()
    services: Annotated[tuple[Service, ...], Field(strict=False)] = ()
    routes: Annotated[tuple[Route, ...], Field(strict=False)] = ()
    objectives: Annotated[tuple[Objective, ...], Field(strict=False)] = ()

    def team(self, name: str) -> Team | None:
        """Return the team with the given name, or None."""
        return next((team for team in self.teams if team.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service with the given name, or None."""
        return next((item for item in self.services if item.name == name), None)

    def zone_share(self, team: Team, zone: str) -> float:
        """Return the fraction of a team's rate and burst that `zone` holds."""
        if team.zone_shares:
            return team.zone_shares.get(zone, 0.0)
        return 1.0 / len(self.bundle.zones) if zone in self.bundle.zones else 0.0
