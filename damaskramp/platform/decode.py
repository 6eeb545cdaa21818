"""Bodies of the platform's store turned into the product's types.

What can't be read in a configuration costs only the requests that need it: the rest of
the document is in force, and the configuration carries the findings. A body of which
nothing can be used raises `DecodeError`.
"""

import ipaddress
from typing import Any

from damaskramp.core import Findings
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
from damaskramp.platform.fields import (
    DecodeError,
    Fields,
    digits,
    number,
    read_object,
    seconds,
    text,
    whole_number,
)

__all__ = ["DecodeError", "decode_configuration", "decode_server"]

STATES = {"ready": False, "draining": True}
"""State of an entry, and whether its server is leaving."""

KINDS = {"idempotent": True, "non_idempotent": False, "upload": False}
"""Kind of a route, and whether its requests may run more than once. Uploads are
non-idempotent requests with large bodies."""

DEFAULT_TIMEOUT = 5.0
"""Seconds that a caller waits on a route whose timeout can't be read, unless it sets a
shorter deadline itself."""

COUNT = whole_number(1)
"""Reader of numbers of things, of which there is one at least."""

RANK = whole_number(0)
"""Reader of priorities; 0 is the highest."""

LAST_PORT = 65535

NO_SERVICE = ServiceName("")
"""Stands for a service that can't be read; no backend server belongs to it."""


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
    entry = read_object(value)

    def read(key: str, reader: Any, default: object = None) -> Any:
        try:
            return reader(entry.get(key, default))
        except DecodeError as error:
            raise DecodeError(f"{key}: {error}") from error

    return BackendServer(
        id=ServerId(name),
        service=ServiceName(read("service", text)),
        address=read("address", _address),
        zone=ZoneName(read("zone", text)),
        slots=read("slots", COUNT),
        leaving=read("state", _is_leaving),
        # How much longer the server is slow, as of this report.
        warmup=read("warmup-left", seconds, "0ms"),
        # Start of the lifetime in Unix milliseconds, told by some servers only.
        started=read("born", whole_number(0), 0),
        revision=Revision(whole_number(0)(revision)),
    )


def decode_configuration(document: bytes) -> FleetConfiguration:
    """Read a published configuration.

    Raises
    ------
    DecodeError
        If it has no version that can be compared with others.
    """
    findings = Findings()
    body = Fields(read_object(document), "", findings)
    version = _version(body.raw("version"))
    routes = _routes(body.table("routes"))
    teams = _teams(body.optional_table("tenants"))
    return FleetConfiguration(
        version=version,
        routes=tuple(route for route in routes if route is not None),
        teams=tuple(team for team in teams if team is not None),
        limits=_limits(body.optional_table("limits")),
        max_connections=_max_connections(body.optional_table("services")),
        document=document,
        routes_complete=None not in routes,
        keys_complete=None not in teams and all(team.keys_complete for team in teams),
        findings=tuple(findings),
    )


def _routes(table: Fields) -> list[Route | None]:
    """Routes; None for each one whose requests can't be told."""
    if not table.is_table:
        return [None]
    routes = {name: table.table(name) for name in table.names()}
    ranks = [fields.raw("priority") for fields in routes.values()]
    last = max((rank for rank in ranks if type(rank) is int), default=0)
    return [_route(name, fields, last) for name, fields in routes.items()]


def _route(name: str, fields: Fields, last_rank: int) -> Route | None:
    host = fields.required("host", text)
    prefix = fields.required("path-prefix", _prefix)
    if host is None or prefix is None:
        return None
    targets = _targets(fields)
    timeout = fields.value("timeout", seconds, DEFAULT_TIMEOUT)
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        targets=targets or (WeightedService(NO_SERVICE, 1.0),),
        idempotent=_is_idempotent(fields),
        timeout=timeout,
        latency_target=fields.value("target-latency", seconds, timeout),
        # Counts backend servers, not sends.
        attempts=fields.value("max-attempts", COUNT, 1),
        priority=fields.value("priority", RANK, last_rank),
        public=fields.value("public", _flag, False),
        usable=targets is not None,
    )


def _is_idempotent(fields: Fields) -> bool:
    kind = fields.raw("kind")
    if isinstance(kind, str) and kind in KINDS:
        return KINDS[kind]
    fields.warning("kind", f"{kind!r} is not known; its requests are never repeated")
    return False


def _targets(fields: Fields) -> tuple[WeightedService, ...] | None:
    """Services of a route; None where they can't be told."""
    if not fields.has("weighted-services"):
        service = fields.required("service", text)
        return (WeightedService(ServiceName(service), 1.0),) if service else None
    parts = fields.raw("weighted-services")
    if not isinstance(parts, list) or not parts:
        fields.error("weighted-services", f"{parts!r} is not a list of services")
        return None
    targets = []
    for part in parts:
        try:
            targets.append(_weighted(part))
        except DecodeError as error:
            fields.error("weighted-services", str(error))
            return None
    if not sum(target.weight for target in targets):
        fields.error("weighted-services", "the weights are all 0")
        return None
    return tuple(targets)


def _weighted(part: object) -> WeightedService:
    if not isinstance(part, dict):
        raise DecodeError(f"{part!r} is not a service with its weight")
    service = ServiceName(text(part.get("service")))
    return WeightedService(service, number(part.get("weight")))


def _teams(table: Fields) -> list[Team | None]:
    """Teams; None where the keys of one can't be told."""
    if not table.is_table:
        return [None]
    return [_team(name, table.table(name)) for name in table.names()]


def _team(name: str, fields: Fields) -> Team | None:
    if not fields.is_table:
        return None
    keys, keys_complete = _keys(fields)
    usable = True
    rate = 0.0
    if fields.has("rate-per-s"):
        # Over all hosts together.
        found = fields.required("rate-per-s", number)
        usable, rate = found is not None, found or 0.0
    return Team(
        name=TeamId(name),
        keys=keys,
        priority=fields.value("priority", RANK, None),
        rate=rate,
        burst=fields.value("burst", number, 0.0),
        usable=usable,
        keys_complete=keys_complete,
    )


def _keys(fields: Fields) -> tuple[frozenset[str], bool]:
    """Keys of a team, and whether these are all."""
    listed = fields.raw("api-keys")
    if listed is None:
        return frozenset(), True
    if not isinstance(listed, list):
        fields.error("api-keys", f"a list is needed, found {type(listed).__name__}")
        return frozenset(), False
    keys = [key for key in listed if isinstance(key, str) and key]
    unread = len(listed) - len(keys)
    if unread:
        # Their values may be keys in another form, so they are not shown.
        fields.error("api-keys", f"{unread} of {len(listed)} keys can't be read")
    return frozenset(keys), not unread


def _max_connections(services: Fields) -> dict[ServiceName, int]:
    found = {}
    for name in services.names():
        most = services.table(name).value("max-connections", COUNT, 0)
        if most:
            found[ServiceName(name)] = most
    return found


def _limits(fields: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=fields.value("max-header-bytes", COUNT, default.header_bytes),
        body_bytes=fields.value("max-body-bytes", COUNT, default.body_bytes),
        header_timeout=fields.value("header-timeout", seconds, default.header_timeout),
        idle_timeout=fields.value("idle-timeout", seconds, default.idle_timeout),
    )


def _address(value: object) -> str:
    address = text(value)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise DecodeError(f"{address!r} is not IP:PORT") from None
    if digits(port) > LAST_PORT:
        raise DecodeError(f"{address!r} has no port")
    return address


def _is_leaving(value: object) -> bool:
    if not isinstance(value, str) or value not in STATES:
        raise DecodeError(f"{value!r} is not known")
    return STATES[value]


def _prefix(value: object) -> str:
    prefix = text(value)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise DecodeError(f"{prefix!r} does not begin and end with a slash")
    return prefix


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise DecodeError(f"{value!r} is not true or false")
    return value


def _version(value: object) -> BundleVersion:
    # "r" followed by the number that versions compare by.
    if not isinstance(value, str) or not value.startswith("r"):
        raise DecodeError(f"version: {value!r} is not r and a number")
    try:
        return BundleVersion(digits(value[1:]))
    except DecodeError as error:
        raise DecodeError(f"version: {error}") from error
