"""Checker of admission histories against rate and burst limits."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

__all__ = ["Admission", "Limit", "Window", "worst_window"]


@dataclass(frozen=True, slots=True)
class Admission:
    """One admitted request.

    Attributes
    ----------
    earliest, latest : float
        Bounds of the time of admission, in seconds on one clock; equal if the time
        is known exactly.
    """

    earliest: float
    latest: float

    @classmethod
    def at(cls, moment: float) -> "Admission":
        """Return an admission at a known time."""
        return cls(moment, moment)


@dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst that apply from the time `since` on."""

    since: float
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Window:
    """Window of time that comes closest to its limit or exceeds it the most.

    Attributes
    ----------
    admitted : int
        Number of admissions that certainly lie in the window.
    allowed : float
        Integral of the rate over the window, plus the greatest burst in force in it.
    """

    start: float
    end: float
    admitted: int
    allowed: float

    @property
    def excess(self) -> float:
        """Number of admissions above what is allowed; at most 0 if the limit holds."""
        return self.admitted - self.allowed


def worst_window(
    admissions: Sequence[Admission], limits: Sequence[Limit]
) -> Window | None:
    """Return the window of greatest excess, or None without admissions.

    It is enough to check the windows from the earliest time of one admission to the
    latest time of another: any other window can be shrunk to one of these without
    losing an admission.

    Parameters
    ----------
    admissions : sequence of Admission
        Merged history of all hosts, in any order.
    limits : sequence of Limit
        Limits in order of time; the first must apply before the first admission.

    Examples
    --------
    >>> history = [Admission.at(moment) for moment in (0.0, 0.1, 0.2, 5.0)]
    >>> worst_window(history, [Limit(0.0, rate=1.0, burst=2.0)])
    Window(start=0.0, end=0.2, admitted=3, allowed=2.2)
    """
    if not admissions:
        return None
    ordered = sorted(admissions, key=lambda admission: admission.latest)
    earliest = np.array([admission.earliest for admission in ordered])
    latest = np.array([admission.latest for admission in ordered])
    issued_by_end = _issued_permits(latest, limits)
    issued_by_start = _issued_permits(earliest, limits)
    worst: Window | None = None
    for first in range(len(ordered)):
        inside = (earliest >= earliest[first]) & (latest >= earliest[first])
        admitted = np.cumsum(inside)
        burst = _greatest_burst(earliest[first], latest, limits)
        allowed = issued_by_end - issued_by_start[first] + burst
        excess = np.where(inside, admitted - allowed, -np.inf)
        last = int(np.argmax(excess))
        if worst is None or excess[last] > worst.excess:
            worst = Window(
                float(earliest[first]),
                float(latest[last]),
                int(admitted[last]),
                round(float(allowed[last]), 9),
            )
    return worst


def _issued_permits(moments: np.ndarray, limits: Sequence[Limit]) -> np.ndarray:
    """Return the integral of the rate from the first limit to each moment."""
    total = np.zeros_like(moments)
    for position, limit in enumerate(limits):
        is_last = position + 1 == len(limits)
        end = np.inf if is_last else limits[position + 1].since
        total += limit.rate * np.clip(np.minimum(moments, end) - limit.since, 0, None)
    return total


def _greatest_burst(
    start: float, ends: np.ndarray, limits: Sequence[Limit]
) -> np.ndarray:
    """Return the greatest burst in force between `start` and each end."""
    current = max((x for x in limits if x.since <= start), key=lambda x: x.since)
    greatest = np.full_like(ends, current.burst)
    for limit in limits:
        if limit.since > start:
            later = np.maximum(greatest, limit.burst)
            greatest = np.where(ends >= limit.since, later, greatest)
    return greatest
