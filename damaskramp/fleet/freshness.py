"""Age of the latest proof that the configuration was current.

A configuration is proved current as of the time at which a linearizable read of it was
requested. A peer hands on the age of its own proof. The receiver subtracts that age
from the time at which it asked the peer, so a delayed answer makes the proof older and
never younger. The clock includes time in which the machine was suspended.

Examples
--------
>>> now = 100.0
>>> freshness = Freshness(lambda: now)
>>> freshness.age
inf
>>> freshness.confirm(99.0)
>>> freshness.confirm_by_peer(asked_at=99.5, age=2.0)
>>> freshness.age
1.0
"""

import time
from collections.abc import Callable

__all__ = ["Freshness", "boot_clock"]


def boot_clock() -> float:
    """Seconds since boot, including time of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Latest proof that the configuration was current.

    Parameters
    ----------
    clock : callable
        Clock in seconds that includes time of suspension.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock) -> None:
        self._clock = clock
        self._proved_at = float("-inf")

    @property
    def age(self) -> float:
        """Seconds since the configuration was last proved current."""
        return self._clock() - self._proved_at

    @property
    def now(self) -> float:
        """Current time in seconds of the clock that ages refer to."""
        return self._clock()

    def confirm(self, asked_at: float) -> None:
        """Record the answer to a linearizable read requested at `asked_at`."""
        if asked_at > self._proved_at:
            self._proved_at = asked_at

    def confirm_by_peer(self, asked_at: float, age: float) -> None:
        """Record a peer's answer that its own proof was `age` seconds old.

        Parameters
        ----------
        asked_at : float
            Time at which the peer was asked.
        """
        self.confirm(asked_at - age)
