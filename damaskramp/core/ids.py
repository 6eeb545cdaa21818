"""Identifiers as distinct types."""

from typing import NewType

__all__ = [
    "BundleVersion",
    "HostId",
    "Incarnation",
    "KeyDigest",
    "RequestId",
    "ServiceName",
    "TeamId",
    "ZoneName",
]

HostId = NewType("HostId", str)
"""Name of a backend server host, unique in the fleet."""

Incarnation = NewType("Incarnation", int)
"""Start time of a node process in microseconds since the epoch."""

ZoneName = NewType("ZoneName", str)
"""Name of an availability zone."""

TeamId = NewType("TeamId", str)
"""Name of a team: the tenant to which rates and keys belong."""

ServiceName = NewType("ServiceName", str)
"""Name of a service of the call graph."""

RequestId = NewType("RequestId", str)
"""Identifier of a whole request, the same for all its retries."""

BundleVersion = NewType("BundleVersion", int)
"""Version of a bundle, which grows with each accepted configuration."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 digest of a caller's key."""
