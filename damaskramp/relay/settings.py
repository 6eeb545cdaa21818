"""Settings of a node that relays beside one backend server.

Unknown keys are ignored, so that an installation may set more keys than a version
knows. A known key with an invalid value is a finding that names its place.
"""

import ipaddress
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from damaskramp.core import Findings, Place, parse_seconds

__all__ = ["RelaySettings", "is_relay_document", "load_relay_settings"]


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of a relay node; all times are in seconds.

    Attributes
    ----------
    callers, peers, readiness, metrics : str
        ``IP:PORT`` at which the node serves callers, other nodes, readiness checks and
        readers of metrics.
    bind_peers : str
        ``IP:PORT`` at which the node listens for other nodes, if it differs from
        `peers`, the address that they use; empty otherwise.
    backend_address : str
        ``IP:PORT`` of the backend server on this host.
    platform_address : str
        ``IP:PORT`` of the platform's store.
    revoke_seconds : float
        Time after its withdrawal from which a key must not work anywhere.
    grace_seconds : float
        Time that the process has to stop.
    retry_ratio, retry_window, retry_allowance : float
        Retry budget: repeats for each request, the sliding window in seconds, and the
        further repeats over all hosts.
    warmup_overshoot, warmup_slack : float or None
        Bound on the requests that a cold backend server gets in any second: its
        tolerated rate times the first, and the second. Without both there is no bound.
    chain_control : bool
        Whether calls and new requests are treated by rank and team of whole chains of
        calls, see docs/operators/chains.md.
    log_lines_per_second : float
        Limit on log lines about single decisions.
    memory_mb : float
        Memory of this process, in megabytes. Parts of it bound the bytes of requests
        and answers that are held.
    region : str
        Region of this host; empty if it is not known.
    zone_regions : dict
        Region of each availability zone; empty if they are not known.
    evacuation_seconds : float or None
        Time after which nothing may be sent to the servers of a zone whose evacuation
        was requested; None where zones are not evacuated.
    """

    host: str
    zone: str
    callers: str
    peers: str
    readiness: str
    metrics: str
    backend_service: str
    backend_address: str
    platform_address: str
    revoke_seconds: float = 5.0
    grace_seconds: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 48.0
    warmup_overshoot: float | None = None
    warmup_slack: float | None = None
    log_lines_per_second: float = 20.0
    memory_mb: float = 200.0
    bind_peers: str = ""
    region: str = ""
    zone_regions: dict[str, str] = field(default_factory=dict)
    evacuation_seconds: float | None = None
    chain_control: bool = False


SECTIONS = {
    "host": ("relay", "text"),
    "zone": ("relay", "text"),
    "callers": ("listen", "address"),
    "peers": ("listen", "address"),
    "bind_peers": ("listen", "address"),
    "readiness": ("listen", "address"),
    "metrics": ("listen", "address"),
    "backend_service": ("backend_server", "text"),
    "backend_address": ("backend_server", "address"),
    "platform_address": ("platform", "address"),
    "revoke_seconds": ("bounds", "time"),
    "grace_seconds": ("bounds", "time"),
    "retry_ratio": ("bounds", "number"),
    "retry_window": ("bounds", "time"),
    "retry_allowance": ("bounds", "number"),
    "warmup_overshoot": ("bounds", "number"),
    "warmup_slack": ("bounds", "number"),
    "log_lines_per_second": ("log", "number"),
    "memory_mb": ("bounds", "number"),
    "region": ("relay", "text"),
    "evacuation_seconds": ("bounds", "time"),
    "chain_control": ("chains", "flag"),
}
"""Table of the settings file and type of value of each setting."""

ZONE_REGIONS_TABLE = "zone_regions"
"""Table of the settings file with the region of each availability zone."""


def is_relay_document(document: dict[str, Any]) -> bool:
    """Return whether a settings document is for a relay node."""
    return "relay" in document


def load_relay_settings(path: str) -> Result[RelaySettings, Findings]:
    """Read and check a settings file; return all findings at once."""
    findings = Findings()
    try:
        text = Path(path).read_bytes().decode("utf-8")
        document = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        findings.error(Place(path), str(error))
        return Error(findings)
    values: dict[str, Any] = {}
    for name, (section, kind) in SECTIONS.items():
        table = document.get(section)
        if not isinstance(table, dict):
            table = {}
        key = name
        place = Place(path, f"{section}.{key}", _find_line(text, section, key))
        if key not in table:
            if name not in _OPTIONAL:
                findings.error(place, "Field required")
            continue
        value, problem = _check(table[key], kind)
        if problem:
            findings.error(place, problem)
        else:
            values[name] = value
    values["zone_regions"] = _read_zone_regions(document, path, text, findings)
    if findings.has_errors:
        return Error(findings)
    return Ok(RelaySettings(**values))


_OPTIONAL = frozenset(
    {
        "bind_peers",
        "revoke_seconds",
        "grace_seconds",
        "retry_ratio",
        "retry_window",
        "retry_allowance",
        "warmup_overshoot",
        "warmup_slack",
        "log_lines_per_second",
        "memory_mb",
        "region",
        "evacuation_seconds",
        "chain_control",
    }
)


def _read_zone_regions(
    document: dict[str, Any], path: str, text: str, findings: Findings
) -> dict[str, str]:
    table = document.get(ZONE_REGIONS_TABLE, {})
    if not isinstance(table, dict):
        findings.error(Place(path, ZONE_REGIONS_TABLE), "must be a table")
        return {}
    for zone, region in table.items():
        _, problem = _check(region, "text")
        if problem:
            line = _find_line(text, ZONE_REGIONS_TABLE, zone)
            findings.error(Place(path, f"{ZONE_REGIONS_TABLE}.{zone}", line), problem)
    return table


def _check(value: object, kind: str) -> tuple[Any, str]:
    if kind == "text":
        good = isinstance(value, str) and value != ""
        return value, "" if good else "must be a non-empty string"
    if kind == "flag":
        return value, "" if isinstance(value, bool) else "must be true or false"
    if kind == "number":
        good = isinstance(value, int | float) and not isinstance(value, bool)
        good = good and value >= 0
        return value, "" if good else "must be a non-negative number"
    if kind == "time":
        seconds = parse_seconds(value)
        good = seconds is not None and seconds > 0
        return seconds, "" if good else 'must be a time such as "1500ms" or "2.5s"'
    return value, _address_problem(value)


def _address_problem(value: object) -> str:
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "must be an IP address and a port, as 10.0.0.1:8080"
    if not port.isdigit() or not 0 <= int(port) <= 65535:
        return "port must be a number from 0 to 65535"
    return ""


def _find_line(text: str, section: str, key: str) -> int:
    """Find the line of a key, else the line of its table, else 0."""
    current, found = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*\[([^\[\]]+)\]", line)
        if header:
            current = header.group(1).strip()
            found = number if current == section else found
        elif current == section and re.match(rf"\s*{re.escape(key)}\s*=", line):
            return number
    return found
