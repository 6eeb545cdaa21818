"""Pace of one backend server, and the run times of its kinds of requests.

Some servers state how long work takes on their host at the moment, as a multiple of the
usual. The figure changes many times a second, so it is smoothed over a short time. The
run time of each kind is averaged at the usual pace: a run's time is divided by the mean
pace while it ran. The mean times therefore stay the same while a noisy neighbour slows
the host, and the current pace gives the expected time of the next run.
"""

import math
from collections import deque
from dataclasses import dataclass

from damaskramp.dispatch.kind_times import KindTimes

__all__ = ["ServerPace", "ServerPaceSettings", "parse_pace"]

USUAL_PACE = 100.0
"""Stated figure of a host on which work takes as long as usual."""

MIN_PACE, MAX_PACE = 0.05, 100.0
"""Bounds of the stated pace as a multiple of the usual, so that no figure makes a host
look infinitely fast or never used again."""

PACE_FIELDS = 4
"""Number of figures of a server's load where the last one is the pace."""

MIN_HISTORY_STEP_SECONDS = 0.01
"""Shortest time between two points at which the pace is kept, in seconds, to bound the
history of a server that answers often."""


def parse_pace(load: bytes) -> float:
    """Parse the pace out of the load that a server states; 0 if it states none.

    Examples
    --------
    >>> parse_pace(b"3,0,8,250"), parse_pace(b"3,0,8"), parse_pace(b"3,0,8,fast")
    (2.5, 0.0, 0.0)
    """
    figures = load.split(b",")
    if len(figures) != PACE_FIELDS:
        return 0.0
    try:
        pace = float(figures[3]) / USUAL_PACE
    except ValueError:
        return 0.0
    if not 0.0 < pace < math.inf:
        return 0.0
    return min(max(pace, MIN_PACE), MAX_PACE)


@dataclass(frozen=True, slots=True)
class ServerPaceSettings:
    """Settings of the pace of a server.

    Attributes
    ----------
    smoothing_seconds : float
        Time over which statements are smoothed, a part of the time for which a
        neighbour is noisy.
    average_seconds : float
        Time over which the pace is averaged to tell whether the server has become slow.
    expiry_seconds : float
        Age from which a statement counts no more.
    history_seconds : float
        Time for which the pace is kept, to average it over a run.
    run_weight : float
        Weight of the newest run in the moving average of its kind.
    """

    smoothing_seconds: float = 0.05
    average_seconds: float = 1.0
    expiry_seconds: float = 1.0
    history_seconds: float = 4.0
    run_weight: float = 0.1


class ServerPace:
    """Pace that a server states, as its node averages it.

    Examples
    --------
    >>> pace = ServerPace(ServerPaceSettings())
    >>> pace.value(0.0)
    0.0
    >>> for step in range(101):
    ...     pace.record_stated(2.0, step / 100)
    >>> pace.record_run("draws", 0.1, 1.0)
    >>> pace.value(1.0), round(pace.run_time("draws"), 3)
    (2.0, 0.05)
    """

    def __init__(self, settings: ServerPaceSettings) -> None:
        self._settings = settings
        self._value = 0.0
        self._average = 0.0
        self._stated_at = -math.inf
        self._integral = 0.0
        self._history: deque[tuple[float, float]] = deque()
        self._run_times = KindTimes(settings.run_weight)

    def value(self, now: float) -> float:
        """Pace as a multiple of the usual; 0 if none was stated lately."""
        if now - self._stated_at > self._settings.expiry_seconds:
            return 0.0
        return self._value

    def change(self, now: float) -> float:
        """Pace as a multiple of its average; 1 if none was stated lately."""
        if now - self._stated_at > self._settings.expiry_seconds:
            return 1.0
        return self._value / self._average

    def run_time(self, kind: str) -> float:
        """Mean run time of a kind at the usual pace, in seconds; 0 if not known."""
        return self._run_times.get(kind, 0.0)

    def record_stated(self, pace: float, now: float) -> None:
        """Record a statement of the server as a multiple of the usual pace."""
        settings = self._settings
        passed = now - self._stated_at
        if passed > settings.history_seconds:
            self._value = self._average = pace
            self._history.clear()
        else:
            self._integral += passed * self._value
            self._value += (pace - self._value) * _weight(
                passed, settings.smoothing_seconds
            )
            self._average += (pace - self._average) * _weight(
                passed, settings.average_seconds
            )
        self._stated_at = now
        history = self._history
        if not history or now - history[-1][0] >= MIN_HISTORY_STEP_SECONDS:
            history.append((now, self._integral))
        while now - history[0][0] > settings.history_seconds:
            history.popleft()

    def record_run(self, kind: str, took: float, now: float) -> None:
        """Record the time in seconds of a run that has just been answered."""
        pace = self._mean_since(now - took, now)
        if not pace:
            return
        self._run_times.record(kind, took / pace)

    def _mean_since(self, start: float, now: float) -> float:
        """Mean pace since a clock time in seconds; 0 if none was stated lately."""
        if not self.value(now):
            return 0.0
        integral = self._integral + (now - self._stated_at) * self._value
        earliest = (now, integral)
        for earliest in reversed(self._history):
            if earliest[0] <= start:
                break
        at, before = earliest
        return (integral - before) / (now - at) if now > at else self._value


def _weight(passed: float, seconds: float) -> float:
    """Weight of a new value after some seconds, in an average over a time."""
    return 1.0 - math.exp(-passed / seconds)
