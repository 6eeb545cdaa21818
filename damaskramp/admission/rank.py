"""Rank of a request, the same at every hop of its call chain.

Examples
--------
>>> rank = rank_of(1, TeamId("clubs"), RequestId("r-1"))
>>> 1 <= rank < 2
True
>>> rank == rank_of(1, TeamId("clubs"), RequestId("r-1"))
True
"""

import math

import xxhash

from damaskramp.core import RequestId, TeamId

__all__ = ["rank_of"]

HASH_RANGE = 2**64


def rank_of(priority: int, team: TeamId, request_id: RequestId) -> float:
    """Return the class plus a hash in [0, 1) of team and request id; lowest first."""
    digest = xxhash.xxh3_64_intdigest(f"{team}\0{request_id}".encode())
    return min(priority + digest / HASH_RANGE, math.nextafter(priority + 1.0, 0.0))
