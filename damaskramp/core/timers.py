"""Clock and timers as a service that components subscribe to.

Components never read a clock or sleep by themselves. They hold a `TimerService`:
`LoopTimers` in the daemons, `VirtualTimers` in tests and in programs that embed the
components and supply their own time.

Examples
--------
>>> timers = VirtualTimers()
>>> ticks = []
>>> handle = timers.every(2.0, lambda: ticks.append(timers.now))
>>> timers.advance(5.0)
>>> ticks
[2.0, 4.0]
>>> handle.cancel()
"""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["LoopTimers", "TimerHandle", "TimerService", "VirtualTimers"]

Callback = Callable[[], None]


class TimerHandle:
    """Handle of a pending or periodic callback that can be cancelled."""

    def __init__(self) -> None:
        self._cancelled = False
        self._loop_handle: asyncio.TimerHandle | None = None

    @property
    def cancelled(self) -> bool:
        """Whether the timer has been cancelled."""
        return self._cancelled

    def cancel(self) -> None:
        """Cancel the timer; a pending callback does not run."""
        self._cancelled = True
        if self._loop_handle is not None:
            self._loop_handle.cancel()


class TimerService(ABC):
    """Source of monotonic time, wall-clock time and timed callbacks."""

    @property
    @abstractmethod
    def now(self) -> float:
        """Monotonic time in seconds."""

    @property
    @abstractmethod
    def wall_now(self) -> float:
        """Wall-clock time in seconds since the epoch; may jump."""

    @abstractmethod
    def after(self, delay: float, callback: Callback) -> TimerHandle:
        """Run `callback` once, `delay` seconds from now."""

    async def sleep(self, seconds: float) -> None:
        """Wait until `seconds` have passed; return at once if not positive."""
        if seconds <= 0:
            return
        done = asyncio.get_running_loop().create_future()
        handle = self.after(seconds, lambda: done.done() or done.set_result(None))
        try:
            await done
        finally:
            handle.cancel()

    def every(self, period: float, callback: Callback) -> TimerHandle:
        """Run `callback` every `period` seconds until cancelled.

        Runs that come late do not delay the next ones, so timers that were started
        together and have multiples of a period run in the same turn of the loop. Runs
        that were missed altogether are not made up for.
        """
        handle = TimerHandle()
        due = self.now + period

        def fire() -> None:
            nonlocal due
            if handle.cancelled:
                return
            late = self.now - due
            if late >= period:
                due, late = self.now, 0.0
            due += period
            handle._loop_handle = self.after(period - late, fire)._loop_handle
            callback()

        handle._loop_handle = self.after(period, fire)._loop_handle
        return handle


class LoopTimers(TimerService):
    """Timers of the running asyncio loop."""

    @property
    def now(self) -> float:
        """Monotonic time in seconds, by the clock of the asyncio loop."""
        return time.monotonic()

    @property
    def wall_now(self) -> float:
        """Wall-clock time in seconds since the epoch."""
        return time.time()

    def after(self, delay: float, callback: Callback) -> TimerHandle:
        """Run `callback` once, `delay` seconds from now."""
        handle = TimerHandle()
        loop = asyncio.get_running_loop()
        handle._loop_handle = loop.call_later(max(0.0, delay), callback)
        return handle


class VirtualTimers(TimerService):
    """Timers whose time moves only by calls of `advance`.

    Parameters
    ----------
    start : float
        Initial monotonic time in seconds.
    epoch : float
        Wall-clock seconds at monotonic time 0.
    """

    def __init__(self, start: float = 0.0, epoch: float = 1_700_000_000.0) -> None:
        self._now = start
        self._epoch = epoch
        self._queue: list[tuple[float, int, TimerHandle, Callback]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Virtual monotonic time in seconds."""
        return self._now

    @property
    def wall_now(self) -> float:
        """Virtual wall-clock seconds since the epoch."""
        return self._epoch + self._now

    def after(self, delay: float, callback: Callback) -> TimerHandle:
        """Run `callback` once virtual time has advanced by `delay` seconds."""
        handle = TimerHandle()
        due = self._now + max(0.0, delay)
        heapq.heappush(self._queue, (due, next(self._order), handle, callback))
        return handle

    def advance(self, seconds: float) -> None:
        """Move time forward and run the callbacks that come due, in order."""
        end = self._now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, handle, callback = heapq.heappop(self._queue)
            self._now = max(self._now, due)
            if not handle.cancelled:
                callback()
        self._now = end
