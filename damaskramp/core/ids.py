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
"""Name of a team, the tenant that rates and keys belong to."""

ServiceName = NewType("ServiceName", str)
"""Name of a service of the call graph."""

RequestId = NewType("RequestId", str)
"""Identifier of a whole request, kept over its retries."""

BundleVersion = NewType("BundleVersion", int)
"""Version of a bundle, growing with each accepted configuration."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 digest of a caller's key."""
