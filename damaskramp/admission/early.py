"""Early refusal at the entry, by the levels that rode on earlier replies.

A level heard of a host holds as it is for `level_age_seconds`. Without news it then
rises by one class for each further such time, so that calls which ask again come
back little by little, and is forgotten once it is above every class.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import numpy as np
from expression import Error, Ok, Result

from damaskramp.admission.admission import Load, Refusal
from damaskramp.admission.events import AdmissionEvent, AdmissionEvents
from damaskramp.admission.order import ShedOrder
from damaskramp.config import AdmissionSettings
from damaskramp.core import HostId, Reason, ServiceName, TeamId, TimerService

__all__ = ["EarlyRefusal", "TrafficClass"]

INFINITE = float("inf")
WINDOW_SECONDS = 0.2
SOURCES_KEPT = 10_000
ALL_TEAMS = TeamId("*")


@dataclass(frozen=True, slots=True)
class TrafficClass:
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
        # `add` keeps the window alone, and in it falling levels: the first is highest.
        level = self.told[0][1]
        over_age = now - self.told[-1][0] - age_seconds
        return level + over_age / age_seconds if over_age > 0.0 else level

    def is_aged(self, now: float, age_seconds: float) -> bool:
        """Whether nothing was told for longer than a level holds as it is."""
        return now - self.told[-1][0] > age_seconds


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
        self._sources: dict[TrafficClass, dict[HostId, _Source]] = {}
        self._orders: dict[TrafficClass, ShedOrder] = {}
        self._classes = 0

    def configure(self, classes: int) -> None:
        """Follow the number of classes; levels of former classes are forgotten."""
        if classes != self._classes:
            self._classes = classes
            self._sources.clear()
            self._orders.clear()

    def record_load(
        self, traffic_class: TrafficClass, host: HostId, load: Load
    ) -> None:
        """Take in the level on a reply."""
        self._take_in(traffic_class, host, load.shed_level)
        self._take_in(_common(traffic_class), host, _whole_classes(load.shed_level))

    def _take_in(self, traffic_class: TrafficClass, host: HostId, level: float) -> None:
        now = self._timers.now
        hosts = self._sources.get(traffic_class)
        if hosts is None:
            if level == INFINITE:
                return
            hosts = self._make_room(traffic_class)
        hosts.setdefault(host, _Source()).add(level, now)

    def level(self, traffic_class: TrafficClass) -> float:
        """Level above which every host last heard of sheds.

        The class that is cut for one team is the last for all, so that no team's
        lesser calls pass while another's more important ones are refused.
        """
        return min(self._heard(traffic_class), self._heard(_common(traffic_class)))

    def _heard(self, traffic_class: TrafficClass) -> float:
        hosts = self._sources.get(traffic_class)
        if not hosts:
            return INFINITE
        now = self._timers.now
        age = self._settings.level_age_seconds
        levels = {host: source.level(now, age) for host, source in hosts.items()}
        for host in [host for host in levels if levels[host] > self._classes]:
            if hosts[host].is_aged(now, age):
                del hosts[host], levels[host]
        if min(levels.values(), default=INFINITE) == INFINITE:
            del self._sources[traffic_class]
            return INFINITE
        return max(levels.values())

    def check(self, traffic_class: TrafficClass, rank: float) -> Result[None, Refusal]:
        """Refuse a call that ranks above the level."""
        priority = int(rank)
        now = self._timers.now
        order = self._order(traffic_class)
        if order.may_admit(priority, now):
            spared = now <= order.may_shed_from(priority)
            if rank <= self.level(traffic_class) or spared:
                order.admitted(priority, now)
                return Ok(None)
        order.shed(priority, now)
        self._events.count(AdmissionEvent.REFUSED_EARLY)
        middle = self._settings.retry_after_seconds
        hint = float(middle * self._random.uniform(0.5, 1.5))
        return Error(Refusal(Reason.OVERLOADED, hint))

    def _order(self, traffic_class: TrafficClass) -> ShedOrder:
        """Order of shedding of a service and route, kept while levels come and go."""
        key = _common(traffic_class)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= SOURCES_KEPT:
                del self._orders[next(iter(self._orders))]
            order = self._orders[key] = ShedOrder(self._settings.order_seconds)
        return order

    def _make_room(self, traffic_class: TrafficClass) -> dict[HostId, _Source]:
        if len(self._sources) >= SOURCES_KEPT:
            del self._sources[next(iter(self._sources))]
        return self._sources.setdefault(traffic_class, {})


def _common(traffic_class: TrafficClass) -> TrafficClass:
    """Path whose level holds for all teams; no team has such a name."""
    return TrafficClass(traffic_class.service, traffic_class.route, ALL_TEAMS)


def _whole_classes(level: float) -> float:
    """Level with the class that it cuts let in as a whole."""
    return float(math.ceil(level)) if level != INFINITE else level
