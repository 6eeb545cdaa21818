"""Bytes that may be held at the same time.

Examples
--------
>>> budget = ByteBudget(10)
>>> budget.take(8), budget.take(8)
(True, False)
>>> budget.take(0)
True
>>> budget.give(8)
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

    def take(self, size: int) -> bool:
        """Count bytes in, unless the limit would be passed."""
        if size and self._used + size > self._limit:
            return False
        self._used += size
        return True

    def take_alone(self, size: int) -> bool:
        """Count bytes in as `take` does, or whatever their number if none are held."""
        if self._used == 0:
            self._used = size
            return True
        return self.take(size)

    def force(self, size: int) -> None:
        """Count bytes in that are held already, whatever the limit."""
        self._used += size

    def give(self, size: int) -> None:
        """Count bytes out."""
        self._used -= size
