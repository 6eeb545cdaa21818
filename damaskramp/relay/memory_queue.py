"""Memory for bodies, with a queue of those that wait for it."""

import asyncio
from collections.abc import Callable

from damaskramp.core import ByteBudget

__all__ = ["MemoryQueue", "Waiter"]

RETRY_SECONDS = 0.01
"""Interval, in seconds, at which memory is asked for again. The budget may be shared
with others, whose releases are not announced here."""


class Waiter:
    """One body that waits for memory."""

    __slots__ = ("_queue", "on_reserved", "size")

    def __init__(
        self, queue: "MemoryQueue", size: int, on_reserved: Callable[[], None]
    ) -> None:
        self._queue = queue
        self.size = size
        self.on_reserved = on_reserved

    def cancel(self) -> None:
        """Stop waiting."""
        self._queue.remove(self)


class MemoryQueue:
    """Budget of bytes for bodies, and those that wait for a part of it.

    Waiting bodies are tried in order. One that does not fit doesn't hold up a smaller
    one behind it; large bodies have room of their own (`ByteBudget.reserve_alone`).

    Parameters
    ----------
    budget : ByteBudget
        Budget that the bytes are reserved from.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self._waiters: list[Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of bodies that wait for memory."""
        return len(self._waiters)

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if there are none or others wait for them."""
        return not self._waiters and self.budget.reserve(size)

    def reserve_whole(self, size: int) -> bool:
        """Reserve bytes for a whole body, from the first half of the budget.

        The other half is for the windows of bodies that are passed on as they arrive,
        so that a few large ones with slow readers don't hold up all others.
        """
        budget = self.budget
        return budget.used + size <= budget.limit // 2 and self.reserve(size)

    def reserve_alone(self, size: int) -> bool:
        """Reserve bytes, if need be for one large body beyond the limit."""
        return self.budget.reserve_alone(size)

    def wait(self, size: int, on_reserved: Callable[[], None]) -> Waiter:
        """Wait for memory; `on_reserved` is called once it is reserved."""
        waiter = Waiter(self, size, on_reserved)
        self._waiters.append(waiter)
        self._schedule()
        return waiter

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.budget.release(size)

    def remove(self, waiter: Waiter) -> None:
        """Remove a body that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _schedule(self) -> None:
        if self._timer is None and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._timer = None
        for waiter in list(self._waiters):
            # An earlier one of this round may have cancelled this one.
            if waiter in self._waiters and self.budget.reserve_alone(waiter.size):
                self._waiters.remove(waiter)
                waiter.on_reserved()
        self._schedule()
