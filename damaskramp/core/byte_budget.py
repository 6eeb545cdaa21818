"""Limit on the number of bytes held at the same time.

Examples
--------
>>> budget = ByteBudget(10)
>>> budget.reserve(8), budget.reserve(8)
(True, False)
>>> budget.reserve(0)
True
>>> budget.release(8)
>>> budget.used
0

One large body, or one that exceeds the limit, may be held beyond it:

>>> budget.reserve(4), budget.reserve_alone(30), budget.reserve_alone(30)
(True, True, False)
>>> budget.reserve(6), budget.reserve(1)
(True, False)
"""

__all__ = ["LARGE_BYTES", "ByteBudget"]

LARGE_BYTES = 4 * 1024 * 1024
"""Size, in bytes, from which a body may be held beyond the limit. Smaller bodies wait:
many of them share the limit, and one of them never needs more than it."""


class ByteBudget:
    """Counter of bytes held, with a limit.

    Parameters
    ----------
    limit : int
        Maximum number of bytes held.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used = 0
        self._beyond = 0

    @property
    def used(self) -> int:
        """Number of bytes held now."""
        return self._used

    @property
    def limit(self) -> int:
        """Maximum number of bytes held."""
        return self._limit

    def resize(self, limit: int) -> None:
        """Set the limit; bytes held beyond a lower limit stay reserved."""
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if that would exceed the limit."""
        if size and self._used - self._beyond + size > self._limit:
            return False
        self._used += size
        return True

    def reserve_alone(self, size: int) -> bool:
        """Reserve bytes as `reserve` does, or one large body beyond the limit.

        A body that exceeds the limit is therefore never refused for small ones that
        come and go. At most the limit and one such body are held at the same time.
        Such a body has to be released whole.
        """
        if self.reserve(size):
            return True
        if self._beyond or size <= min(self._limit, LARGE_BYTES):
            return False
        self._beyond = size
        self._used += size
        return True

    def reserve_unchecked(self, size: int) -> None:
        """Reserve bytes that are already held, regardless of the limit."""
        self._used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._used -= size
        if size >= self._beyond:
            self._beyond = 0
