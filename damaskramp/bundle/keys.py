"""Digests of callers' keys."""

import hashlib

from damaskramp.core import KeyDigest

__all__ = ["key_digest"]


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest under which a bundle lists a key."""
    return KeyDigest(hashlib.sha256(key).hexdigest())
