"""Servers and configuration of a fleet of any size."""

import orjson

from damaskramp.core import ServiceName
from damaskramp.fleet import BackendServer, ServerId
from damaskramp.fleet.model import Epoch, Revision

__all__ = ["EPOCH", "address_of", "configuration_document", "server_of"]

HOSTS_PER_SERVICE = 15
MAX_ZONES = 8
EPOCH = Epoch(1)
ROUTES, TEAMS, SERVICES = 300, 100, 96


def address_of(n):
    """Return the IP address of a host."""
    return f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"


def zones_of(hosts):
    """Return the number of zones of a fleet."""
    return max(3, min(MAX_ZONES, hosts // 25))


def server_of(n, hosts, revision=None, service=None):
    """Return the description of the server of a host."""
    return BackendServer(
        ServerId(f"i-{n}"),
        ServiceName(service or f"svc-{n // HOSTS_PER_SERVICE}"),
        f"{address_of(n)}:8105",
        f"z{n % zones_of(hosts)}",
        8,
        False,
        0.0,
        1_700_000_000_000 + n,
        Revision(revision or 10 + n),
        1,
        EPOCH,
    )


def configuration_document(version):
    """Return the text of a configuration."""
    return orjson.dumps(
        {
            "version": f"r{version}",
            "routes": {
                f"route-{n}": {
                    "host": f"h{n % 10}.example",
                    "path-prefix": f"/p{n}/",
                    "service": f"svc-{n % SERVICES}",
                    "kind": "idempotent",
                    "timeout": "2s",
                    "target-latency": "300ms",
                    "max-attempts": 2,
                    "priority": n % 3,
                }
                for n in range(ROUTES)
            },
            "tenants": {
                f"team-{n}": {
                    "api-keys": [f"key-{n}-{i}" for i in range(3)],
                    "rate-per-s": 50.0,
                    "burst": 100.0,
                }
                for n in range(TEAMS)
            },
            "services": {f"svc-{n}": {"max-connections": 64} for n in range(SERVICES)},
        }
    )
