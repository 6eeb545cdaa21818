"""Bytes that may be held at the same time.

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
    """Count of bytes held, with a limit.

    Parameters
    ----------
    limit : int
        Most bytes held.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes held now."""
        return self._used

    @property
    def limit(self) -> int:
        """Most bytes held."""
        return self._limit

    def resize(self, limit: int) -> None:
        """Set the limit; what is held beyond it stays."""
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Count bytes in, unless the limit would be passed."""
        if size and self._used + size > self._limit:
            return False
        self._used += size
        return True

    def reserve_alone(self, size: int) -> bool:
        """Count bytes in as `reserve` does, or whatever number if none are held."""
        if self._used == 0:
            self._used = size
            return True
        return self.reserve(size)

    def reserve_unchecked(self, size: int) -> None:
        """Count bytes in that are held already, whatever the limit."""
        self._used += size

    def release(self, size: int) -> None:
        """Count bytes out."""
        self._used -= size
