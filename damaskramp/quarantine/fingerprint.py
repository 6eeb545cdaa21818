"""Fingerprints by which quarantine identifies equal requests."""

import hashlib
from typing import NewType

from damaskramp.core import TeamId

__all__ = ["Fingerprint", "fingerprint"]

Fingerprint = NewType("Fingerprint", int)
"""First 64 bits of a digest of the team, the route and the contents of a request."""

FINGERPRINT_BYTES = 8


def fingerprint(
    team: TeamId, route: str, method: str, target: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    The fingerprint covers the team, so that no team can cause another team's requests
    to be refused. A request without a body is identified by its method and target,
    because the route alone would make all reads of a team suspect at once.

    Examples
    --------
    >>> one = fingerprint(TeamId("clubs"), "/desk", "POST", "/desk/a", b"x")
    >>> one == fingerprint(TeamId("clubs"), "/desk", "POST", "/desk/b", b"x")
    True
    >>> one == fingerprint(TeamId("press"), "/desk", "POST", "/desk/a", b"x")
    False
    """
    contents = body or f"{method} {target}".encode()
    digest = hashlib.sha256(f"{team}\0{route}\0".encode())
    digest.update(hashlib.sha256(contents).digest())
    return Fingerprint(int.from_bytes(digest.digest()[:FINGERPRINT_BYTES], "big"))
