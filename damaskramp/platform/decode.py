"""Decoders for the documents in the platform's store.

A part of a configuration that can't be read affects only the requests that need it: the
rest of the document is in force, and the configuration carries the findings. A document
of which nothing can be used raises `DecodeError`.
"""

import ipaddress
import re
from typing import Any

from damaskramp.core import Findings
from damaskramp.core.ids import BundleVersion, ServiceName, TeamId, ZoneName
from damaskramp.fleet.model import (
    NO_EPOCH,
    BackendServer,
    CallerLimits,
    Epoch,
    FleetConfiguration,
    Revision,
    Route,
    ServerId,
    ServiceWarmup,
    Team,
    WeightedService,
)
from damaskramp.platform.fields import (
    DecodeError,
    Fields,
    integer_parser,
    parse_digits,
    parse_duration,
    parse_number,
    parse_text,
    read_object,
    shorten,
)
from damaskramp.platform.home_regions import read_home_regions

__all__ = ["DecodeError", "decode_configuration", "decode_server"]

LEAVING_BY_STATE = {"ready": False, "draining": True}
"""Whether a server is leaving, by the state in its entry."""

IDEMPOTENT_BY_KIND = {"idempotent": True, "non_idempotent": False, "upload": False}
"""Whether the requests of a route may run more than once, by the kind of the route.
Uploads are non-idempotent requests with large bodies."""

DEFAULT_TIMEOUT_SECONDS = 5.0
"""Timeout of a route that publishes none or one that can't be read. A caller may set a
shorter deadline itself."""

parse_count = integer_parser(1)
"""Parser of counts and sizes, which are 1 or more."""

parse_priority = integer_parser(0)
"""Parser of priorities; 0 is the highest."""

parse_slots = integer_parser(1, 65_535)
"""Parser of the slots of a server, which serves one request on a connection: a host has
no more ports for its connections to one address."""

MAX_PORT = 65535

_VISIBLE_TEXT = re.compile(r"[!-~]+")
"""Text that can be sent in a request line."""

UNREADABLE_SERVICE = ServiceName("")
"""Placeholder for a service that can't be read; it has no backend servers."""


def decode_server(
    name: str, value: bytes, revision: int, epoch: Epoch = NO_EPOCH
) -> BackendServer:
    """Decode the entry that a backend server publishes about itself.

    Parameters
    ----------
    name : str
        Id of the server, from the entry's key.
    value : bytes
        JSON text of the entry.
    revision : int
        Store revision that wrote the entry.
    epoch : Epoch
        Epoch of the store that lists the entry.

    Raises
    ------
    DecodeError
        If a field is missing or has another type or an unknown value.
    """
    if not name or not name.isprintable():
        raise DecodeError(f"{shorten(name)} is no id that can be sent in a header")
    entry = read_object(value)

    def read_field(key: str, parse: Any, default: object = None) -> Any:
        try:
            return parse(entry.get(key, default))
        except DecodeError as error:
            raise DecodeError(f"{key}: {error}") from error

    return BackendServer(
        id=ServerId(name),
        service=ServiceName(read_field("service", parse_text)),
        address=read_field("address", _parse_address),
        zone=ZoneName(read_field("zone", parse_text)),
        slots=read_field("slots", parse_slots),
        leaving=read_field("state", _parse_leaving),
        # Seconds until the warm-up of the server ends, at the time of this report.
        warmup=read_field("warmup-left", parse_duration, "0ms"),
        # Start time of the server in Unix milliseconds; only some servers report it.
        started=read_field("born", integer_parser(0), 0),
        revision=Revision(integer_parser(0)(revision)),
        # Counts the server's reports; the store keeps that of the last change.
        report_number=read_field("sequence", integer_parser(0), 0),
        epoch=epoch,
    )


def decode_configuration(document: bytes) -> FleetConfiguration:
    """Decode a published configuration.

    Raises
    ------
    DecodeError
        If the document is not a JSON object, or has no version that can be compared
        with other versions.
    """
    findings = Findings()
    body = Fields(read_object(document), "", findings)
    version = _parse_version(body.raw("version"))
    routes = _read_routes(body.table("routes"))
    teams = _read_teams(body.optional_table("tenants"))
    services = body.optional_table("services")
    return FleetConfiguration(
        version=version,
        routes=tuple(route for route in routes if route is not None),
        teams=tuple(team for team in teams if team is not None),
        limits=_read_limits(body.optional_table("limits")),
        max_connections=_read_max_connections(services),
        warmups=_read_warmups(services),
        document=document,
        routes_complete=None not in routes,
        keys_complete=None not in teams and all(team.keys_complete for team in teams),
        findings=tuple(findings),
    )


def _read_routes(table: Fields) -> list[Route | None]:
    """Read the routes; None for a route without a readable host and path prefix.

    The requests that such a route matches are unknown.
    """
    if not table.is_table:
        return [None]
    routes = {name: table.table(name) for name in table.names()}
    priorities = [fields.raw("priority") for fields in routes.values()]
    lowest_priority = max(
        (priority for priority in priorities if type(priority) is int), default=0
    )
    return [
        _read_route(name, fields, lowest_priority) for name, fields in routes.items()
    ]


def _read_route(name: str, fields: Fields, lowest_priority: int) -> Route | None:
    host = fields.required("host", parse_text)
    prefix = fields.required("path-prefix", _parse_prefix)
    if host is None or prefix is None:
        return None
    targets = _read_targets(fields)
    home_regions = read_home_regions(fields)
    timeout = fields.value("timeout", parse_duration, DEFAULT_TIMEOUT_SECONDS)
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        targets=targets or (WeightedService(UNREADABLE_SERVICE, 1.0),),
        idempotent=_read_idempotent(fields),
        timeout=timeout,
        latency_target=fields.value("target-latency", parse_duration, timeout),
        # The number of backend servers to try, not the number of sends.
        attempts=fields.value("max-attempts", parse_count, 1),
        priority=fields.value("priority", parse_priority, lowest_priority),
        public=fields.value("public", _parse_flag, False),
        usable=targets is not None and home_regions is not None,
        home_regions=home_regions or frozenset(),
    )


def _read_idempotent(fields: Fields) -> bool:
    kind = fields.raw("kind")
    if isinstance(kind, str) and kind in IDEMPOTENT_BY_KIND:
        return IDEMPOTENT_BY_KIND[kind]
    fields.warning(
        "kind", f"unknown kind {shorten(kind)}; its requests are never repeated"
    )
    return False


def _read_targets(fields: Fields) -> tuple[WeightedService, ...] | None:
    """Read the services of a route; None if they are unreadable."""
    if not fields.has("weighted-services"):
        service = fields.required("service", parse_text)
        return (WeightedService(ServiceName(service), 1.0),) if service else None
    entries = fields.raw("weighted-services")
    if not isinstance(entries, list) or not entries:
        fields.error(
            "weighted-services", f"{shorten(entries)} is not a list of services"
        )
        return None
    targets = []
    for entry in entries:
        try:
            targets.append(_parse_weighted_service(entry))
        except DecodeError as error:
            fields.error("weighted-services", str(error))
            return None
    if not sum(target.weight for target in targets):
        fields.error("weighted-services", "the weights are all 0")
        return None
    return tuple(targets)


def _parse_weighted_service(entry: object) -> WeightedService:
    if not isinstance(entry, dict):
        raise DecodeError(f"{shorten(entry)} is not a service with its weight")
    service = ServiceName(parse_text(entry.get("service")))
    return WeightedService(service, parse_number(entry.get("weight")))


def _read_teams(table: Fields) -> list[Team | None]:
    """Read the teams; None for one that is not a table, as its keys are unknown."""
    if not table.is_table:
        return [None]
    return [_read_team(name, table.table(name)) for name in table.names()]


def _read_team(name: str, fields: Fields) -> Team | None:
    if not fields.is_table:
        return None
    keys, keys_complete = _read_keys(fields)
    usable = True
    rate = 0.0
    if fields.has("rate-per-s"):
        # The rate applies to all hosts together.
        found = fields.required("rate-per-s", parse_number)
        usable, rate = found is not None, found or 0.0
    home_regions = read_home_regions(fields)
    return Team(
        name=TeamId(name),
        keys=keys,
        priority=fields.value("priority", parse_priority, None),
        rate=rate,
        burst=fields.value("burst", parse_number, 0.0),
        usable=usable and home_regions is not None,
        keys_complete=keys_complete,
        home_regions=home_regions or frozenset(),
    )


def _read_keys(fields: Fields) -> tuple[frozenset[str], bool]:
    """Read the keys of a team, and whether every published key was readable."""
    published_keys = fields.raw("api-keys")
    if published_keys is None:
        return frozenset(), True
    if not isinstance(published_keys, list):
        fields.error(
            "api-keys", f"expected a list, found {type(published_keys).__name__}"
        )
        return frozenset(), False
    keys = [key for key in published_keys if isinstance(key, str) and key]
    unreadable_count = len(published_keys) - len(keys)
    if unreadable_count:
        # The values may be keys in another format, so the message omits them.
        fields.error(
            "api-keys",
            f"{unreadable_count} of {len(published_keys)} keys are unreadable",
        )
    return frozenset(keys), not unreadable_count


def _read_max_connections(services: Fields) -> dict[ServiceName, int]:
    found = {}
    for name in services.names():
        max_connections = services.table(name).value("max-connections", parse_count, 0)
        if max_connections:
            found[ServiceName(name)] = max_connections
    return found


def _read_warmups(services: Fields) -> dict[ServiceName, ServiceWarmup]:
    """Read the warm-up of each service whose cold servers tolerate few requests."""
    found = {}
    for name in services.names():
        if not isinstance(services.raw(name), dict):
            continue
        fields = services.table(name)
        rate = fields.value("warmup-per-s", parse_number, 0.0)
        if rate:
            found[ServiceName(name)] = ServiceWarmup(
                rate,
                fields.value("warmup", parse_duration, 0.0),
                fields.value("health-path", _parse_path, ""),
            )
    return found


def _read_limits(fields: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=fields.value(
            "max-header-bytes", parse_count, default.header_bytes
        ),
        body_bytes=fields.value("max-body-bytes", parse_count, default.body_bytes),
        header_timeout=fields.value(
            "header-timeout", parse_duration, default.header_timeout
        ),
        idle_timeout=fields.value("idle-timeout", parse_duration, default.idle_timeout),
    )


def _parse_address(value: object) -> str:
    address = parse_text(value)
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        raise DecodeError(f"{shorten(address)} is not IP:PORT") from None
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise DecodeError(f"{shorten(address)} is the address of no host")
    if not 1 <= parse_digits(port) <= MAX_PORT:
        raise DecodeError(f"{shorten(address)} has no valid port")
    return address


def _parse_leaving(value: object) -> bool:
    if not isinstance(value, str) or value not in LEAVING_BY_STATE:
        raise DecodeError(f"unknown state {shorten(value)}")
    return LEAVING_BY_STATE[value]


def _parse_prefix(value: object) -> str:
    prefix = parse_text(value)
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise DecodeError(f"{shorten(prefix)} does not begin and end with a slash")
    return prefix


def _parse_path(value: object) -> str:
    path = parse_text(value)
    if not path.startswith("/") or not _VISIBLE_TEXT.fullmatch(path):
        raise DecodeError(f"{shorten(path)} is not a path of visible ASCII characters")
    return path


def _parse_flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise DecodeError(f"{shorten(value)} is not true or false")
    return value


def _parse_version(value: object) -> BundleVersion:
    # A version is "r" followed by a decimal number; versions compare by that number.
    if not isinstance(value, str) or not value.startswith("r"):
        raise DecodeError(f"version: {shorten(value)} is not 'r' followed by a number")
    try:
        return BundleVersion(parse_digits(value[1:]))
    except DecodeError as error:
        raise DecodeError(f"version: {error}") from error
