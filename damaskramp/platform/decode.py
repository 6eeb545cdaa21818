"""Bodies of the platform's store turned into the product's types.

An unusable body raises `DecodeError`, which names the field and what is wrong.
"""

from typing import Any

import orjson

from damaskramp.core import parse_seconds
from damaskramp.core.ids import BundleVersion, ServiceName, TeamId, ZoneName
from damaskramp.fleet.model import (
    BackendServer,
    CallerLimits,
    FleetConfiguration,
    Revision,
    Route,
    ServerId,
    Team,
    WeightedService,
)

__all__ = ["DecodeError", "decode_configuration", "decode_server"]

STATES = {"ready": False, "draining": True}
"""State of an entry, and whether its server is leaving."""

KINDS = {"idempotent": True, "non_idempotent": False}
"""Kind of a route, and whether its requests may run more than once."""


class DecodeError(ValueError):
    """A body can't be read; the message names the field."""


def decode_server(name: str, value: bytes, revision: int) -> BackendServer:
    """Read the entry that a backend server keeps about itself.

    Parameters
    ----------
    name : str
        Id of the server, from the entry's key.
    revision : int
        Change of the store that wrote the entry.

    Raises
    ------
    DecodeError
        If a field is missing or has another type or an unknown value.
    """
    entry = _object(value)
    address = _field(entry, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DecodeError(f"address: {address!r} is not IP:PORT")
    state = _field(entry, "state", str)
    if state not in STATES:
        raise DecodeError(f"state: {state!r} is not known")
    return BackendServer(
        id=ServerId(name),
        service=ServiceName(_text(entry, "service")),
        address=address,
        zone=ZoneName(_text(entry, "zone")),
        slots=_count(entry, "slots"),
        leaving=STATES[state],
        # How much longer the server is slow, as of this report.
        warmup=_seconds(entry.get("warmup-left", "0ms"), "warmup-left"),
        # Start of the lifetime in Unix milliseconds, told by some servers only.
        started=_started(entry),
        revision=Revision(revision),
    )


def decode_configuration(document: bytes) -> FleetConfiguration:
    """Read a published configuration.

    Raises
    ------
    DecodeError
        If a field is missing or has another type or an unknown value.
    """
    body = _object(document)
    services = body.get("services") or {}
    return FleetConfiguration(
        version=_version(_field(body, "version", str)),
        routes=tuple(
            _route(name, route) for name, route in _field(body, "routes", dict).items()
        ),
        teams=tuple(
            _team(name, team) for name, team in (body.get("tenants") or {}).items()
        ),
        limits=_limits(body.get("limits") or {}),
        max_connections={
            ServiceName(name): service["max-connections"]
            for name, service in services.items()
            if isinstance(service.get("max-connections"), int)
        },
        document=document,
    )


def _route(name: str, route: dict[str, Any]) -> Route:
    try:
        kind = _field(route, "kind", str)
        if kind not in KINDS:
            raise DecodeError(f"kind: {kind!r} is not known")
        timeout = _seconds(route.get("timeout"), "timeout")
        return Route(
            name=name,
            host=_field(route, "host", str).lower(),
            prefix=_field(route, "path-prefix", str),
            targets=_targets(route),
            idempotent=KINDS[kind],
            timeout=timeout,
            latency_target=_seconds(
                route.get("target-latency", f"{timeout}s"), "target-latency"
            ),
            # Counts backend servers, not sends.
            attempts=max(1, int(route.get("max-attempts") or 1)),
            priority=int(route.get("priority") or 0),
            public=bool(route.get("public")),
        )
    except DecodeError as error:
        raise DecodeError(f"routes.{name}.{error}") from error


def _targets(route: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = route.get("weighted-services")
    if not parts:
        return (WeightedService(ServiceName(_text(route, "service")), 1.0),)
    return tuple(
        WeightedService(ServiceName(_text(part, "service")), float(part["weight"]))
        for part in parts
    )


def _team(name: str, team: dict[str, Any]) -> Team:
    priority = team.get("priority")
    return Team(
        name=TeamId(name),
        keys=frozenset(team.get("api-keys") or ()),
        priority=priority if isinstance(priority, int) else None,
        # Over all hosts together.
        rate=float(team.get("rate-per-s") or 0),
        burst=float(team.get("burst") or 0),
    )


def _limits(limits: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(limits.get("max-header-bytes") or default.header_bytes),
        body_bytes=int(limits.get("max-body-bytes") or default.body_bytes),
        header_timeout=_seconds(
            limits.get("header-timeout", f"{default.header_timeout}s"), "header-timeout"
        ),
        idle_timeout=_seconds(
            limits.get("idle-timeout", f"{default.idle_timeout}s"), "idle-timeout"
        ),
    )


def _started(entry: dict[str, Any]) -> int:
    started = entry.get("born", 0)
    if not isinstance(started, int) or isinstance(started, bool):
        raise DecodeError(f"born: {started!r} is not a whole number")
    return started


def _object(value: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DecodeError(f"an object is needed, found {type(body).__name__}")
    return body


def _field(body: dict[str, Any], key: str, kind: type) -> Any:
    value = body.get(key)
    if not isinstance(value, kind):
        raise DecodeError(f"{key}: {value!r} is not of type {kind.__name__}")
    return value


def _text(body: dict[str, Any], key: str) -> str:
    value = _field(body, key, str)
    if not value:
        raise DecodeError(f"{key}: must not be empty")
    return value


def _count(body: dict[str, Any], key: str) -> int:
    value = _field(body, key, int)
    if isinstance(value, bool) or value < 1:
        raise DecodeError(f"{key}: {value!r} is not a positive number")
    return value


def _version(text: str) -> BundleVersion:
    # "r" followed by the number that versions compare by.
    if not text.startswith("r") or not text[1:].isdigit():
        raise DecodeError(f"version: {text!r} is not r and a number")
    return BundleVersion(int(text[1:]))


def _seconds(value: object, key: str) -> float:
    seconds = parse_seconds(value)
    if seconds is None:
        raise DecodeError(f"{key}: {value!r} is not a time in ms or s")
    return seconds
