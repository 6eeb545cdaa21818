"""Counts of good and bad events over sliding windows, in bounded memory.

Each series has several ring buffers of cells; a ring serves the windows that fit into
its span. The counts are lost when the process ends, so each window also states for how
much of it the process has counted.
"""

from dataclasses import dataclass

import numpy as np

from damaskramp.core import TimerService

__all__ = ["WINDOWS_SECONDS", "EventHistory", "SeriesKey", "WindowCount"]

WINDOWS_SECONDS = (300, 1800, 3600, 21600, 259200)
"""Windows of the multi-window burn alerts: 5 and 30 minutes, 1 and 6 hours, 3 days."""

RINGS = ((10, 31), (120, 31), (1200, 19), (14400, 19))
"""Cell length in seconds and number of cells of each ring.

The number includes one cell more than the span of the ring needs.
"""

GOOD = 0
BAD = 1


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Identity of a series of events."""

    service: str
    team: str
    priority: str


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Number of events in one window.

    Attributes
    ----------
    covered_seconds : float
        Part of the window in which this process was running and counted.
    """

    window_seconds: int
    good: int
    bad: int
    covered_seconds: float


class _Ring:
    """Ring buffer of event counters over consecutive time cells."""

    def __init__(self, cell_seconds: int, cells: int) -> None:
        self._cell_seconds = cell_seconds
        self._counts = np.zeros((cells, 2), dtype=np.uint32)
        self._latest = 0

    def add(self, now: float, kind: int) -> None:
        """Count one event."""
        position = self._advance(now)
        self._counts[position, kind] += 1

    def total(self, now: float, window_seconds: int) -> tuple[int, int]:
        """Return the good and bad events in the latest cells that span the window."""
        self._advance(now)
        size = len(self._counts)
        wanted = min(size, -(-window_seconds // self._cell_seconds))
        positions = (self._latest - np.arange(wanted)) % size
        sums = self._counts[positions].sum(axis=0)
        return int(sums[GOOD]), int(sums[BAD])

    def _advance(self, now: float) -> int:
        cell = int(now // self._cell_seconds)
        size = len(self._counts)
        for stale in range(max(self._latest + 1, cell - size + 1), cell + 1):
            self._counts[stale % size] = 0
        self._latest = max(self._latest, cell)
        return self._latest % size


class EventHistory:
    """Counts of good and bad events of all series.

    Parameters
    ----------
    timers : TimerService
        Clock.
    max_series : int
        Maximum number of series; events of further series are counted as dropped.

    Examples
    --------
    >>> from damaskramp.core import VirtualTimers
    >>> timers = VirtualTimers()
    >>> history = EventHistory(timers)
    >>> key = SeriesKey("registry", "clubs", "ballots")
    >>> history.add(key, good=True)
    >>> timers.advance(600.0)
    >>> [count.good for count in history.windows(key)]
    [0, 1, 1, 1, 1]
    """

    def __init__(self, timers: TimerService, max_series: int = 4096) -> None:
        self._timers = timers
        self._max_series = max_series
        self._started_at = timers.now
        self._series: dict[SeriesKey, tuple[_Ring, ...]] = {}
        self._dropped = 0

    @property
    def keys(self) -> tuple[SeriesKey, ...]:
        """All series."""
        return tuple(self._series)

    @property
    def dropped(self) -> int:
        """Number of events of series beyond the maximum."""
        return self._dropped

    def add(self, key: SeriesKey, good: bool) -> None:
        """Count one event."""
        rings = self._series.get(key)
        if rings is None:
            if len(self._series) >= self._max_series:
                self._dropped += 1
                return
            rings = self._series[key] = tuple(_Ring(*shape) for shape in RINGS)
        now = self._timers.now
        for ring in rings:
            ring.add(now, GOOD if good else BAD)

    def windows(self, key: SeriesKey) -> list[WindowCount]:
        """Return the counts of one series over each window."""
        now = self._timers.now
        age = now - self._started_at
        counts = []
        for window in WINDOWS_SECONDS:
            good, bad = self._ring(key, window).total(now, window)
            counts.append(WindowCount(window, good, bad, min(age, window)))
        return counts

    def _ring(self, key: SeriesKey, window: int) -> _Ring:
        rings = self._series[key]
        for ring, (cell, cells) in zip(rings, RINGS, strict=True):
            if cell * (cells - 1) >= window:
                return ring
        return rings[-1]
