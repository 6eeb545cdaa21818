"""Early refusal at entry nodes, by the shed levels reported in earlier replies.

A level reported by a host is valid unchanged for `level_age_seconds`. Without a newer
report it then rises by one class per `level_age_seconds`, so that retried calls are
admitted again gradually, and is dropped once it is above every class.
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
REPORT_WINDOW_SECONDS = 0.2
MAX_TRAFFIC_CLASSES = 10_000
ALL_TEAMS = TeamId("*")


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Service, route and team whose calls share one shed level.

    Attributes
    ----------
    route : str
        Prefix of the route.
    """

    service: ServiceName
    route: str
    team: TeamId


@dataclass(slots=True)
class _HostReports:
    """Shed levels that one host reported recently."""

    reports: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, level: float, now: float) -> None:
        while self.reports and now - self.reports[0][0] > REPORT_WINDOW_SECONDS:
            self.reports.popleft()
        while self.reports and self.reports[-1][1] <= level:
            self.reports.pop()
        self.reports.append((now, level))

    def level(self, now: float, age_seconds: float) -> float:
        """Highest level of the last report window, raised while no newer report comes.

        From `age_seconds` after the latest report, the level rises by one class per
        `age_seconds`.
        """
        # `add` keeps only reports of the window, in falling order of their levels,
        # so the first report has the highest level.
        level = self.reports[0][1]
        excess_age = now - self.reports[-1][0] - age_seconds
        return level + excess_age / age_seconds if excess_age > 0.0 else level

    def is_stale(self, now: float, age_seconds: float) -> bool:
        """Whether the latest report is older than `age_seconds`."""
        return now - self.reports[-1][0] > age_seconds


class EarlyRefusal:
    """Refuses calls that the hosts of their service would shed.

    Parameters
    ----------
    settings : AdmissionSettings
        Validity of levels, order window and retry-after hint.
    timers : TimerService
        Clock.
    random_state : numpy.random.Generator
        Source of jitter for the retry-after hints.
    events : AdmissionEvents, optional
        Receiver of refusal events.
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
        self._reports: dict[TrafficClass, dict[HostId, _HostReports]] = {}
        self._orders: dict[TrafficClass, ShedOrder] = {}
        self._classes = 0

    def configure(self, classes: int) -> None:
        """Set the number of classes; a new number clears the levels and orders."""
        if classes != self._classes:
            self._classes = classes
            self._reports.clear()
            self._orders.clear()

    def record_load(
        self, traffic_class: TrafficClass, host: HostId, load: Load
    ) -> None:
        """Record the shed level that a host reported in a reply."""
        self._record_level(traffic_class, host, load.shed_level)
        self._record_level(
            _all_teams_class(traffic_class), host, _round_up_to_class(load.shed_level)
        )

    def _record_level(
        self, traffic_class: TrafficClass, host: HostId, level: float
    ) -> None:
        now = self._timers.now
        hosts = self._reports.get(traffic_class)
        if hosts is None:
            if level == INFINITE:
                return
            hosts = self._add_traffic_class(traffic_class)
        hosts.setdefault(host, _HostReports()).add(level, now)

    def level(self, traffic_class: TrafficClass) -> float:
        """Return the level above which every host with a current report sheds.

        Among the classes that a host admits for any team, the class that it sheds in
        part for one team is the least important. So no team's less important calls
        pass while another team's more important calls are refused.
        """
        return min(
            self._reported_level(traffic_class),
            self._reported_level(_all_teams_class(traffic_class)),
        )

    def _reported_level(self, traffic_class: TrafficClass) -> float:
        hosts = self._reports.get(traffic_class)
        if not hosts:
            return INFINITE
        now = self._timers.now
        age = self._settings.level_age_seconds
        levels = {
            host: host_reports.level(now, age) for host, host_reports in hosts.items()
        }
        for host in [host for host in levels if levels[host] > self._classes]:
            if hosts[host].is_stale(now, age):
                del hosts[host], levels[host]
        if min(levels.values(), default=INFINITE) == INFINITE:
            del self._reports[traffic_class]
            return INFINITE
        return max(levels.values())

    def check(self, traffic_class: TrafficClass, rank: float) -> Result[None, Refusal]:
        """Refuse a call with a rank above the level.

        A call passes regardless of its rank if a less important call was admitted
        within the order window. Any call is refused if a more important call was shed
        within the order window.
        """
        priority = int(rank)
        now = self._timers.now
        order = self._order(traffic_class)
        if order.may_admit(priority, now):
            is_protected = now <= order.earliest_shed_time(priority)
            if rank <= self.level(traffic_class) or is_protected:
                order.record_admission(priority, now)
                return Ok(None)
        order.record_shed(priority, now)
        self._events.count(AdmissionEvent.REFUSED_EARLY)
        mean_hint = self._settings.retry_after_seconds
        hint = float(mean_hint * self._random.uniform(0.5, 1.5))
        return Error(Refusal(Reason.OVERLOADED, hint))

    def _order(self, traffic_class: TrafficClass) -> ShedOrder:
        """Order of shedding of a service and route; it outlives their levels."""
        key = _all_teams_class(traffic_class)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_TRAFFIC_CLASSES:
                del self._orders[next(iter(self._orders))]
            order = self._orders[key] = ShedOrder(self._settings.order_seconds)
        return order

    def _add_traffic_class(
        self, traffic_class: TrafficClass
    ) -> dict[HostId, _HostReports]:
        if len(self._reports) >= MAX_TRAFFIC_CLASSES:
            del self._reports[next(iter(self._reports))]
        return self._reports.setdefault(traffic_class, {})


def _all_teams_class(traffic_class: TrafficClass) -> TrafficClass:
    """Traffic class whose level applies to all teams; no team has its name."""
    return TrafficClass(traffic_class.service, traffic_class.route, ALL_TEAMS)


def _round_up_to_class(level: float) -> float:
    """Level that admits the whole of the class that `level` sheds in part."""
    return float(math.ceil(level)) if level != INFINITE else level
