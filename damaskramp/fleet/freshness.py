"""How old the proof is that a belief was current.

A belief is current as of the moment at which a question was asked that a linearizable
read answered. A peer hands on the age of its own proof; the receiver counts that age
back from the moment at which it asked the peer, so delays of the answer make the proof
older and never younger. The clock counts time in which the machine was suspended.

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
    """Seconds since boot, time of suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Latest proof that the configuration was current.

    Parameters
    ----------
    clock : callable
        Clock in seconds that counts suspension.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock) -> None:
        self._clock = clock
        self._proved_at = float("-inf")

    @property
    def age(self) -> float:
        """Seconds since the belief was provably current."""
        return self._clock() - self._proved_at

    @property
    def now(self) -> float:
        """Reading of the clock that ages are counted on."""
        return self._clock()

    def confirm(self, asked_at: float) -> None:
        """Note a linearizable answer to a question asked at `asked_at`."""
        if asked_at > self._proved_at:
            self._proved_at = asked_at

    def confirm_by_peer(self, asked_at: float, age: float) -> None:
        """Note a peer's answer that its own proof was `age` seconds old."""
        self.confirm(asked_at - age)
