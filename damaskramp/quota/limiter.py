"""Interface of rate limiters, and the static split as a baseline."""

from abc import ABC, abstractmethod

from expression import Error, Ok, Result

from damaskramp.admission import Refusal
from damaskramp.bundle import BundleView
from damaskramp.core import HostId, Reason, TeamId, TimerService, ZoneName
from damaskramp.quota.bucket import TokenBucket

__all__ = ["RateLimiter", "StaticSplit"]

MAX_HINT_SECONDS = 30.0


class RateLimiter(ABC):
    """Limiter that admits requests from outside within their team's limits."""

    @abstractmethod
    async def acquire(self, team: TeamId, deadline: float) -> Result[None, Refusal]:
        """Take one permit of a team; wait until `deadline` at the latest."""


class StaticSplit(RateLimiter):
    """Baseline in which each host holds an equal part of its zone's share.

    Parameters
    ----------
    timers : TimerService
        Clock.
    zone : ZoneName
        Zone of this host.
    """

    def __init__(self, timers: TimerService, zone: ZoneName) -> None:
        self._timers = timers
        self._zone = zone
        self._hosts = 1
        self._view: BundleView | None = None
        self._buckets: dict[TeamId, TokenBucket] = {}

    def set_bundle(self, view: BundleView | None) -> None:
        """Adopt a new bundle."""
        self._view = view
        self._reconfigure()

    def set_hosts(self, hosts: frozenset[HostId]) -> None:
        """Adopt the number of hosts in the zone."""
        self._hosts = max(1, len(hosts))
        self._reconfigure()

    async def acquire(self, team: TeamId, deadline: float) -> Result[None, Refusal]:
        """Take one permit of a team without waiting."""
        now = self._timers.now
        bucket = self._bucket(team, now)
        if bucket is None:
            return Error(Refusal(Reason.TEAM_OVER_RATE, MAX_HINT_SECONDS))
        if bucket.acquire(now):
            return Ok(None)
        hint = min(bucket.wait(now), MAX_HINT_SECONDS)
        return Error(Refusal(Reason.TEAM_OVER_RATE, hint))

    def _bucket(self, team: TeamId, now: float) -> TokenBucket | None:
        if team not in self._buckets:
            limits = self._limits(team)
            if limits is None:
                return None
            self._buckets[team] = TokenBucket(limits[0], limits[1], now)
        return self._buckets[team]

    def _limits(self, team: TeamId) -> tuple[float, float] | None:
        entry = self._view.team(team) if self._view else None
        if entry is None:
            return None
        share = self._view.contents.zone_share(entry, self._zone) / self._hosts
        return entry.rate * share, max(1.0, entry.burst * share)

    def _reconfigure(self) -> None:
        now = self._timers.now
        for team in list(self._buckets):
            limits = self._limits(team)
            if limits is None:
                del self._buckets[team]
            else:
                self._buckets[team].reconfigure(limits[0], limits[1], now)
