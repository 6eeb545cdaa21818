"""Pressure of services, as it rides back on answers up a chain of calls.

Examples
--------
>>> gauge = FailureGauge()
>>> for n in range(40):
...     gauge.record(failed=n % 2 == 0, now=1.0)
>>> round(gauge.share(1.1), 2), gauge.share(3.0)
(0.49, 0.0)
"""

from typing import NamedTuple

from damaskramp.core.ids import ServiceName

__all__ = ["MIN_SHARE", "FailureGauge", "PressureEntry", "unpack_pressure"]

MIN_SHARE = 0.05
"""Share of failures from which a service counts as stressed. Below it, a chain of eight
calls still ends well two times in three without any repeat."""

MEMORY_SECONDS = 0.3
"""Time constant in seconds by which failures are forgotten while requests are frequent,
so that the end of a stress shows within half a second."""

MEMORY_EVENTS = 8
"""Number of requests that are remembered however rare they are. Hosts that refuse most
requests at the top see only a few of their calls."""

MAX_SILENCE_SECONDS = 1.5
"""Time without requests after which nothing is known any more."""


class PressureEntry(NamedTuple):
    """Pressure of one service as seen from a chain of calls that reaches it.

    Attributes
    ----------
    calls : float
        Number of calls to the service that one run at the top of the chain makes.
    fail : float
        Share of single requests that the service's servers reject, refuse or fail by
        themselves, from 0 to 1.
    lost : float
        Share of calls to the service that fail in the end, after any repeats.
    denied : float
        Share of the repeats or places wanted by calls that were denied.
    age_ms : int
        Age of the figures in milliseconds.
    """

    service: ServiceName
    calls: float
    fail: float
    lost: float
    denied: float
    age_ms: int


def unpack_pressure(elements: object) -> tuple[PressureEntry, ...]:
    """Pressure as received from another node; empty if it is not readable."""
    try:
        return tuple(PressureEntry(*entry) for entry in elements)
    except TypeError:
        return ()


class FailureGauge:
    """Share of failures among the latest requests."""

    __slots__ = ("_count", "_failures", "_last_at")

    def __init__(self) -> None:
        self._count = 0.0
        self._failures = 0.0
        self._last_at = 0.0

    @property
    def last_at(self) -> float:
        """Clock time in seconds of the latest request."""
        return self._last_at

    def record(self, failed: bool, now: float) -> None:
        """Record a request."""
        passed = now - self._last_at
        if passed > MAX_SILENCE_SECONDS:
            self._count = self._failures = 0.0
        else:
            # The first term of the exponential series, which is close for the short
            # pauses of frequent requests.
            kept = max(1.0 - 1.0 / MEMORY_EVENTS, 1.0 - passed / MEMORY_SECONDS)
            self._count *= kept
            self._failures *= kept
        self._count += 1.0
        self._failures += failed
        self._last_at = now

    def share(self, now: float) -> float:
        """Share of failures, from 0 to 1; 0 if nothing is known.

        One more request without failure is assumed, so that the first failure of a
        healthy service counts as half a stress at most.
        """
        if now - self._last_at > MAX_SILENCE_SECONDS:
            return 0.0
        return self._failures / (self._count + 1.0)
