"""What makes two requests the same for quarantine."""

import hashlib
from typing import NewType

from damaskramp.core import TeamId

__all__ = ["Fingerprint", "fingerprint"]

Fingerprint = NewType("Fingerprint", int)
"""First 64 bits of a digest of team, route and contents."""

BYTES = 8


def fingerprint(
    team: TeamId, route: str, method: str, target: str, body: bytes
) -> Fingerprint:
    """Fingerprint of a request.

    The team is part of it, so that no team can have another's requests refused.
    A request without a body is told by its target: the route alone would put all
    reads of a team under one suspicion.

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
    return Fingerprint(int.from_bytes(digest.digest()[:BYTES], "big"))
