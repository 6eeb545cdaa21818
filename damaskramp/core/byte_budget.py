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
"""

__all__ = ["ByteBudget"]


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
        if size and self._used + size > self._limit:
            return False
        self._used += size
        return True

    def reserve_alone(self, size: int) -> bool:
        """Reserve bytes as `reserve` does; if none are held, reserve any number."""
        if self._used == 0:
            self._used = size
            return True
        return self.reserve(size)

    def reserve_unchecked(self, size: int) -> None:
        """Reserve bytes that are already held, regardless of the limit."""
        self._used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._used -= size
