"""A team's rate over all hosts, divided among hosts that lend to each other.

The rate and burst are divided evenly among some hosts, the keepers of the team's
permits: all hosts where the burst is large, and a few in each zone where it is small,
so that no part is less than some whole permits. Every host works the same keepers out
from the list of hosts. A host whose permits run out borrows from keepers, from those
that are likely to have most (`dispatch.lenders`). The lender
takes permits away before it sends them, so a lost message loses permits and none is
ever there twice, whatever is cut, killed or paused. Nothing has to be agreed on first:
a host serves its teams from its own part as soon as it knows the configuration.

Load this answers: a team within its rate whose requests arrive unevenly, and a team
far above its rate, which must not cost a message for each refusal.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from damaskramp.core.ids import TeamId, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.dispatch.lender_estimates import LenderEstimates, LenderSettings
from damaskramp.fleet.model import Team

__all__ = ["SharedRate", "SharedRateSettings", "TeamRates", "share_hosts_of"]


@dataclass(frozen=True, slots=True)
class SharedRateSettings:
    """How permits are divided and lent.

    Attributes
    ----------
    min_burst_per_host : float
        Permits of the burst that each keeper should have at least. With fewer, requests
        need several lenders; with more, fewer hosts admit without asking. At 80 hosts,
        4 refused 16 % of a team whose requests arrive in one zone, 16 none.
    initial_seconds : float
        Seconds' worth of the rate that a starting host begins with. The whole burst
        would be minted again by each restart.
    loan_seconds : float
        Seconds' worth of a host's own demand that it borrows at once; a shorter time
        costs more messages, a longer one leaves permits idle at the borrower.
    lend_share : float
        Part of its permits that a lender gives away at once.
    demand_seconds : float
        Time over which a host's own demand is averaged: some loans.
    old_burst_seconds : float
        Time for which permits that were saved under a larger burst may still be used.
        A lower rate binds at once, a lower burst after this time, which is less than
        the platform allows for bringing a configuration into force.
    refund_seconds : float
        Time after it was taken within which the permit of a request that has not run
        may be used again. What was taken before a window of the rate and comes back in
        it may be used in it twice, so this is a small part of such windows.
    lenders : LenderSettings
        Whom a host asks that has no permits left.
    """

    min_burst_per_host: float = 16.0
    initial_seconds: float = 1.0
    loan_seconds: float = 0.2
    lend_share: float = 0.5
    demand_seconds: float = 1.0
    old_burst_seconds: float = 1.5
    refund_seconds: float = 0.25
    lenders: LenderSettings = field(default_factory=LenderSettings)


def share_hosts_of(
    team: Team, hosts: Iterable[tuple[str, ZoneName]], min_burst_per_host: float
) -> list[str]:
    """Hosts that a team's rate is divided among.

    Every zone has as many keepers as the others, where it has the hosts, so that each
    can serve the team alone.

    Examples
    --------
    >>> team = Team("clubs", frozenset(), None, rate=2.0, burst=2.0)
    >>> hosts = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")]
    >>> len(share_hosts_of(team, hosts, 4.0)), len(share_hosts_of(team, hosts, 0.5))
    (2, 4)
    """
    zones: dict[ZoneName, list[str]] = {}
    for host, zone in hosts:
        zones.setdefault(zone, []).append(host)
    wanted = int(max(team.burst, team.rate) / min_burst_per_host)
    hosts_per_zone = max(1, wanted // max(1, len(zones)))
    share_hosts: list[str] = []
    for members in zones.values():
        if hosts_per_zone >= len(members):
            share_hosts += members
        else:
            members.sort(key=lambda host: rendezvous_score(host, team.name))
            share_hosts += members[-hosts_per_zone:]
    return sorted(share_hosts)


class SharedRate:
    """One host's permits of one team.

    Parameters
    ----------
    share : float
        This host's part of the team's rate and burst; 0 where it keeps none.
    """

    __slots__ = (
        "_last_request_at",
        "_burst",
        "_demand",
        "_level",
        "_old_burst_until",
        "_settings",
        "_share",
        "_team",
        "_refilled_at",
    )

    def __init__(
        self, settings: SharedRateSettings, team: Team, share: float, now: float
    ) -> None:
        self._settings = settings
        self._team = team
        self._share = share
        self._burst = share * team.burst
        self._level = min(self._burst, share * team.rate * settings.initial_seconds)
        self._refilled_at = now
        self._demand = 0.0
        self._last_request_at = now
        self._old_burst_until: float | None = None

    @property
    def level(self) -> float:
        """Permits in hand."""
        return self._level

    def wanted_loan(self, requests: int) -> tuple[float, float]:
        """Least and most permits to borrow for so many waiting requests.

        Less than the least serves none of them by itself.
        """
        demand = self._demand * self._settings.loan_seconds
        max_permits = max(float(requests), demand) - self._level
        return max(0.0, 1.0 - self._level), max(0.0, max_permits)

    def reconfigure(self, team: Team, share: float, now: float) -> None:
        """Take another rate, burst or share."""
        self._refill(now)
        self._team = team
        self._share = share
        burst = share * team.burst
        if burst < self._burst and self._old_burst_until is None:
            self._old_burst_until = now + self._settings.old_burst_seconds
        self._burst = burst

    def record_request(self, now: float) -> None:
        """Note a request of the team at this host."""
        span = self._settings.demand_seconds
        # The exponential average to first order.
        self._demand *= max(0.0, 1.0 - (now - self._last_request_at) / span)
        self._demand += 1.0 / span
        self._last_request_at = now

    def acquire(self, now: float) -> bool:
        """Use one permit; False where there is none."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def refund(self, taken_at: float, now: float) -> None:
        """Take back the permit of a request that has not run and never will."""
        if now - taken_at <= self._settings.refund_seconds:
            max_permits = max(self._burst, self._level, 1.0)
            self._level = min(max_permits, self._level + 1.0)

    def lend(self, min_permits: float, max_permits: float, now: float) -> float:
        """Give permits away; return how many, perhaps less than `min_permits`.

        A host that has less than the least can't serve anybody either; fractions of
        several hosts make a whole permit.
        """
        self._refill(now)
        wanted = max(min_permits, self._level * self._settings.lend_share)
        given = max(0.0, min(max_permits, wanted, self._level))
        self._level -= given
        return given

    def release_fraction(self) -> float:
        """Part of a permit that is of no use here, to be given back to a keeper."""
        if self._share > 0 or self._level >= 1.0:
            return 0.0
        amount, self._level = self._level, 0.0
        return amount

    def credit(self, amount: float) -> None:
        """Take permits that a lender has given away."""
        self._level += amount

    def _refill(self, now: float) -> None:
        if self._old_burst_until is not None and now >= self._old_burst_until:
            self._old_burst_until = None
            self._level = min(self._level, max(self._burst, 1.0))
        room = self._burst - self._level
        if room > 0:
            refill = (now - self._refilled_at) * self._share * self._team.rate
            self._level += min(room, refill)
        self._refilled_at = now


class TeamRates:
    """One host's permits of all teams that have a rate."""

    def __init__(
        self, settings: SharedRateSettings, host: str, random_source: random.Random
    ) -> None:
        self._settings = settings
        self._host = host
        self._random = random_source
        self._rates: dict[TeamId, SharedRate] = {}
        self._share_hosts: dict[TeamId, list[str]] = {}
        self._lenders: dict[TeamId, LenderEstimates] = {}

    def find(self, team: TeamId) -> SharedRate | None:
        """Permits of a team; None where it has no limit."""
        return self._rates.get(team)

    def share_hosts(self, team: TeamId) -> list[str]:
        """Hosts that keep a team's permits."""
        return self._share_hosts.get(team, [])

    def lenders(self, team: TeamId) -> LenderEstimates:
        """What is known of the other keepers of a limited team's permits."""
        return self._lenders[team]

    def update(
        self, teams: Iterable[Team], hosts: list[tuple[str, ZoneName]], now: float
    ) -> None:
        """Take a new configuration or list of hosts."""
        limited = {team.name: team for team in teams if team.rate > 0}
        for name in [name for name in self._rates if name not in limited]:
            del self._rates[name], self._share_hosts[name], self._lenders[name]
        for name, team in limited.items():
            share_hosts = share_hosts_of(team, hosts, self._settings.min_burst_per_host)
            self._share_hosts[name] = share_hosts
            part = 1.0 / max(1, len(share_hosts))
            share = part if self._host in share_hosts else 0.0
            burst, rate = part * team.burst, part * team.rate
            known = self._rates.get(name)
            if known is None:
                self._rates[name] = SharedRate(self._settings, team, share, now)
                self._lenders[name] = LenderEstimates(
                    self._settings.lenders, burst, rate, self._random
                )
            else:
                known.reconfigure(team, share, now)
                self._lenders[name].reconfigure(burst, rate)
