"""Scenario of `chain_fleet`: services, rates of callers, and the configuration.

The call graph is the example of docs/design/hard_load.md: a lookup (priority 2) makes 2
calls to *second*, each of these one to *third*, and each of these 4 calls, one after
another, to *deep*. A posting (priority 0) makes one call to *third*. A listing
(priority 2) makes no calls.
"""

from dataclasses import dataclass

from damaskramp.core import ServiceName, TeamId
from damaskramp.fleet import FleetConfiguration
from damaskramp.fleet.model import Route, Team, WeightedService

__all__ = [
    "CALLS",
    "CLIENT_TRIES",
    "ENTRY",
    "HOSTS",
    "LINK_SECONDS",
    "OWN_LIMIT_MS",
    "OWN_SECONDS",
    "RATES",
    "RETRY_RATIO",
    "RETRY_WINDOW_SECONDS",
    "SERVER_LINK_SECONDS",
    "TEAMS",
    "TIMEOUTS",
    "WORTH",
    "Scenario",
    "configuration",
]

LINK_SECONDS = 0.0007
SERVER_LINK_SECONDS = 0.0003
"""Way between a server and its node, including both processes."""

HOSTS = {"front": 4, "post": 2, "second": 3, "third": 4, "deep": 6}
CALLS = {"front": ("second", 2), "second": ("third", 1), "third": ("deep", 4)}
OWN_SECONDS = {"front": 0.02, "post": 0.02, "second": 0.01, "third": 0.01, "deep": 0.01}
RATES = {"lookup": 437.0, "posting": 173.0, "listing": 200.0}
PRIORITIES = {"lookup": 2, "posting": 0, "listing": 2}
WORTH = {"lookup": 1.0, "posting": 3.0, "listing": 1.0}
ENTRY = {"lookup": "front", "posting": "post", "listing": "front"}
TEAMS = {"large": 0.6, "medium": 0.3, "small": 0.1}
TIMEOUTS = {"lookup": 2.5, "posting": 3.0, "listing": 2.0}
OWN_LIMIT_MS = {"deep": 700}
"""Time that calls of a service state at most, in milliseconds."""

RETRY_RATIO = 0.2
"""Repeats allowed for each request within `RETRY_WINDOW_SECONDS`."""

RETRY_ALLOWANCE = 91
"""Further repeats allowed within that window, at a scale of 1."""

RETRY_WINDOW_SECONDS = 10.0
LOADING_SECONDS = 4.0
"""Time at the beginning that is left out of the results."""

CLIENT_TRIES = 3


@dataclass(frozen=True)
class Scenario:
    """One play; times in seconds.

    Attributes
    ----------
    scale : float
        Part of the rates and of the retry allowance that is played.
    attempts : int
        Number of servers that one request of a caller may be sent to.
    reject_share : float
        Part of the arrivals at the deepest service that it rejects in the stress.
    stress_from, stress_to, end : float
        Times at which the stress begins and ends, and at which callers stop.
    deep_slots : int
        Slots of each server of the deepest service; fewer make a queue there.
    surge : float
        Factor on the rates of callers in the stress.
    used_ratio : float
        Share of the retry ratio that hosts spend with chain control; 0 for the default.
    """

    seed: int = 1
    scale: float = 0.25
    attempts: int = 3
    reject_share: float = 0.55
    stress_from: float = 14.0
    stress_to: float = 22.0
    end: float = 27.0
    deep_slots: int = 64
    surge: float = 1.0
    used_ratio: float = 0.0

    @property
    def retry_allowance(self) -> float:
        """Repeats allowed within the window beyond those for the requests."""
        return RETRY_ALLOWANCE * self.scale

    def phase(self, at: float) -> str:
        """Part of the play at a clock time; empty while the fleet takes up its load."""
        if at >= self.stress_to:
            return "after"
        if at >= self.stress_from:
            return "stress"
        return "calm" if at >= LOADING_SECONDS else ""


def configuration(scenario):
    """Return the routes and teams of a scenario."""

    def route(name, service, timeout, priority, public):
        targets = (WeightedService(ServiceName(service), 1.0),)
        return Route(
            name,
            "a.example",
            f"/{name}/",
            targets,
            True,
            timeout,
            timeout / 2,
            scenario.attempts,
            priority,
            public,
        )

    routes = [
        route(kind, ENTRY[kind], TIMEOUTS[kind], PRIORITIES[kind], False)
        for kind in RATES
    ]
    routes += [
        route(service, service, 5.0, 1, True) for service in ("second", "third", "deep")
    ]
    teams = tuple(
        Team(TeamId(name), frozenset({name}), None, 0.0, 0.0) for name in TEAMS
    )
    return FleetConfiguration(1, tuple(routes), teams)
