"""Example fleet Swan Coast: four services in three zones, and eight teams."""

import hashlib
from datetime import UTC, datetime, timedelta

from examples.fleet import HostSpec
from examples.load import Flow

__all__ = ["ZONES", "bundle_source", "flows", "hosts"]

ZONES = ("perth-north", "perth-central", "perth-south")
TEAMS = {
    "adjudicators": 120.0,
    "secretaries": 80.0,
    "schools-north": 30.0,
    "schools-south": 30.0,
    "schools-hills": 20.0,
    "league-office": 20.0,
    "press": 10.0,
    "archive": 10.0,
}
BURST_SECONDS = 1.0
SERVICES = {
    # name: (backend servers, slots, connections, milliseconds that a slot is occupied)
    "motions-desk": (4, 90, 650, 4.0),
    "registry": (3, 120, 800, 4.0),
    "tabroom": (3, 120, 800, 4.0),
    "drawboard": (3, 16, 200, 400.0),
}
CALLS = {
    "motions-desk": ("GET /registry/check",),
    "registry": (),
    "tabroom": ("POST /drawboard/seal",),
    "drawboard": (),
}


def key_of(team: str) -> str:
    """Return the API key of a team in this example; real keys are random."""
    return f"example-key-of-{team}"


def hosts(records: bool = False) -> list[HostSpec]:
    """Return all hosts; each service is assigned to the zones round-robin."""
    specs = []
    for service, (count, slots, _, milliseconds) in SERVICES.items():
        for position in range(count):
            backend = {"slots": slots, "queue": slots, "service_ms": milliseconds}
            if records:
                backend["records"] = True
            zone = ZONES[position % len(ZONES)]
            name = f"{service}-{position + 1}"
            specs.append(HostSpec(name, zone, service, backend, CALLS[service]))
    return specs


def bundle_source(version: int = 1, extra: str = "") -> str:
    """Return the TOML source of the fleet's bundle."""
    issued = datetime(2026, 1, 1, tzinfo=UTC)
    parts = [
        f"""\
[bundle]
version = {version}
issued = {issued.isoformat()}
expires = {(issued + timedelta(days=3650)).isoformat()}
zones = {list(ZONES)!r}
classes = ["ballots", "draws", "reading"]
repeat_window_seconds = 600.0
retries = 2
retry_ratio = 0.1
first_start = true
"""
    ]
    parts += [_team(team, rate) for team, rate in TEAMS.items()]
    parts += [_service(name) for name in SERVICES]
    parts += [_route(*route) for route in ROUTES]
    parts += [_objective(name) for name in SERVICES]
    return "\n".join(parts) + extra


ROUTES = (
    ("tabroom", "/tabroom/ballots", "ballots", "false", "false"),
    ("motions-desk", "/motions", "draws", "true", "false"),
    ("registry", "/registry", "draws", "true", "false"),
    ("drawboard", "/drawboard", "draws", "true", "false"),
    ("drawboard", "/drawboard/seal", "ballots", "false", "false"),
    ("tabroom", "/tabroom/results", "reading", "true", "false"),
    ("drawboard", "/drawboard/public", "reading", "true", "true"),
)


def _team(team: str, rate: float) -> str:
    digest = hashlib.sha256(key_of(team).encode()).hexdigest()
    return f"""\
[[teams]]
name = "{team}"
rate = {rate}
burst = {int(rate * BURST_SECONDS)}
weight = {rate / 10.0}

[[keys]]
team = "{team}"
digest = "{digest}"
"""


def _service(name: str) -> str:
    count, slots, connections, _ = SERVICES[name]
    return f"""\
[[services]]
name = "{name}"
backend_servers = {count}
slots = {slots}
connections = {connections}
shed_means_not_run = true
"""


def _route(
    service: str, prefix: str, priority: str, idempotent: str, is_open: str
) -> str:
    return f"""\
[[routes]]
service = "{service}"
prefix = "{prefix}"
priority = "{priority}"
idempotent = {idempotent}
open = {is_open}
timeout_seconds = 2.0
"""


def _objective(name: str) -> str:
    return f"""\
[[objectives]]
service = "{name}"
good_ratio = 0.99
latency_seconds = 0.5
"""


def flows(retries: int = 0) -> list[Flow]:
    """Return the flows of ballots, draws and results, weighted by each team's rate."""
    kinds = (
        ("ballots", "POST", "/tabroom/ballots", 0.3),
        ("draws", "GET", "/motions/today", 0.4),
        ("reading", "POST", "/tabroom/results", 0.3),
    )
    return [
        Flow(
            name=f"{team} {priority}",
            team=team,
            key=key_of(team),
            method=method,
            target=target,
            priority=priority,
            share=rate * share,
            retries=retries,
        )
        for team, rate in TEAMS.items()
        for priority, method, target, share in kinds
    ]
