"""Rendezvous (highest random weight) hashing.

References
----------
D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

__all__ = ["rendezvous_score"]


def rendezvous_score(name: str, resource: str) -> int:
    """Compute the score of a name for a resource; the highest score is chosen.

    Examples
    --------
    >>> max(("a", "b", "c"), key=lambda name: rendezvous_score(name, "quota/clubs"))
    'a'
    """
    return xxhash.xxh3_64_intdigest(f"{name}\0{resource}".encode())
