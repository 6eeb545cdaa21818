"""Digests by bucket over a set of entries, updated with each change."""

import xxhash

__all__ = ["BUCKETS", "BucketDigests", "bucket_of"]

BUCKETS = 64


def bucket_of(key: str) -> int:
    """Return the number of a key's bucket."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


class BucketDigests:
    """Order-independent digests: equal sets of entries have equal digests.

    Examples
    --------
    >>> one, two = BucketDigests(), BucketDigests()
    >>> one.set("a", "1"), one.set("b", "2"), two.set("b", "2")
    (None, None, None)
    >>> one.total == two.total, one.differing(two.values) == [bucket_of("a")]
    (False, True)
    >>> one.set("a", None)
    >>> one.total == two.total
    True
    """

    def __init__(self) -> None:
        self._values = [0] * BUCKETS
        self._entries: dict[str, int] = {}

    @property
    def values(self) -> tuple[int, ...]:
        """Digest of each bucket."""
        return tuple(self._values)

    @property
    def total(self) -> int:
        """Digest of all entries."""
        return xxhash.xxh32_intdigest(",".join(map(str, self._values)).encode())

    def set(self, key: str, version: str | None) -> None:
        """Set the version of a key; None removes it."""
        bucket = bucket_of(key)
        self._values[bucket] ^= self._entries.pop(key, 0)
        if version is not None:
            value = xxhash.xxh32_intdigest(f"{key}\0{version}".encode())
            self._entries[key] = value
            self._values[bucket] ^= value

    def differing(self, values: tuple[int, ...]) -> list[int]:
        """Return the buckets whose digest differs from the given digests.

        All buckets are returned if the number of digests isn't the number of buckets.
        """
        if len(values) != BUCKETS:
            return list(range(BUCKETS))
        pairs = zip(self._values, values, strict=True)
        return [number for number, (own, other) in enumerate(pairs) if own != other]
