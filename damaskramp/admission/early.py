"""Early refusal at the entry, by the levels that rode on earlier replies.

A level heard of a host holds as it is for `level_age_seconds`. Without news it then
rises by one class for each further such time, so that calls which ask again come
back little by little, and is forgotten once it is above every class.
"""

from collections import deque
from dataclasses import dataclass, field

import numpy as np
from expression import Error, Ok, Result

from damaskramp.admission.admission import Load, Refusal
from damaskramp.admission.events import AdmissionEvent, AdmissionEvents
from damaskramp.config import AdmissionSettings
from damaskramp.core import HostId, Reason, ServiceName, TeamId, TimerService

__all__ = ["EarlyRefusal", "Path"]

INFINITE = float("inf")
WINDOW_SECONDS = 0.2
SOURCES_KEPT = 10_000


@dataclass(frozen=True, slots=True)
class Path:
    """Calls that take the same way: one level holds for all of them.

    Attributes
    ----------
    route : str
        Prefix of the route.
    """

    service: ServiceName
    route: str
    team: TeamId


@dataclass(slots=True)
class _Source:
    """Levels that one host has told lately."""

    told: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, level: float, now: float) -> None:
        while self.told and now - self.told[0][0] > WINDOW_SECONDS:
            self.told.popleft()
        while self.told and self.told[-1][1] <= level:
            self.told.pop()
        self.told.append((now, level))

    def level(self, now: float, age_seconds: float) -> float:
        """Highest level told in the last window, risen by its age."""
        heard, level = self.told[-1]
        for moment, told in self.told:
            if heard - moment <= WINDOW_SECONDS:
                level = max(level, told)
        over_age = max(0.0, now - heard - age_seconds)
        return level + over_age / age_seconds

    def is_stale(self, now: float, age_seconds: float, classes: int) -> bool:
        """Whether the level has no force any more."""
        if now - self.told[-1][0] <= age_seconds:
            return False
        return self.level(now, age_seconds) > classes


class EarlyRefusal:
    """Refuses what the hosts of a service would shed.

    Parameters
    ----------
    settings : AdmissionSettings
        Settings.
    timers : TimerService
        Time.
    random_state : numpy.random.Generator
        Spreads the retry-after hints.
    events : AdmissionEvents, optional
        Told of refusals.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        timers: TimerService,
        random_state: np.random.Generator,
        events: AdmissionEvents | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._random = random_state
        self._events = events or AdmissionEvents()
        self._sources: dict[Path, dict[HostId, _Source]] = {}
        self._classes = 0

    def configure(self, classes: int) -> None:
        """Follow the number of classes; levels of former classes are forgotten."""
        if classes != self._classes:
            self._classes = classes
            self._sources.clear()

    def hear(self, path: Path, host: HostId, load: Load) -> None:
        """Take in the level on a reply."""
        now = self._timers.now
        hosts = self._sources.get(path)
        if hosts is None:
            if load.shed_level == INFINITE:
                return
            hosts = self._make_room(path)
        hosts.setdefault(host, _Source()).add(load.shed_level, now)

    def level(self, path: Path) -> float:
        """Level above which every host last heard of sheds."""
        hosts = self._sources.get(path)
        if not hosts:
            return INFINITE
        now = self._timers.now
        age = self._settings.level_age_seconds
        levels = {host: source.level(now, age) for host, source in hosts.items()}
        for host in levels:
            if hosts[host].is_stale(now, age, self._classes):
                del hosts[host]
        if all(levels[host] == INFINITE for host in hosts):
            del self._sources[path]
            return INFINITE
        return max(levels[host] for host in hosts)

    def check(self, path: Path, rank: float) -> Result[None, Refusal]:
        """Refuse a call that ranks above the level."""
        level = self.level(path)
        if rank <= level:
            return Ok(None)
        self._events.count(AdmissionEvent.REFUSED_EARLY)
        middle = self._settings.retry_after_seconds
        hint = float(middle * self._random.uniform(0.5, 1.5))
        return Error(Refusal(Reason.OVERLOADED, hint))

    def _make_room(self, path: Path) -> dict[HostId, _Source]:
        if len(self._sources) >= SOURCES_KEPT:
            del self._sources[next(iter(self._sources))]
        return self._sources.setdefault(path, {})
