"""Rate limit of a team over all hosts, divided into shares that lend permits.

The rate and burst of a team are divided evenly among its share hosts. These are all
hosts if the burst is large, and a few hosts in each zone if it is small, so that no
share is less than some whole permits. Every host computes the same share hosts from the
list of hosts. A host that runs out of permits borrows from the share hosts that are
likely to have the most permits (`dispatch.lender_estimates`). The lender deducts
permits before it sends them, so a lost message loses permits, and no permit exists
twice, even if connections are cut or processes are killed or paused. The hosts need no
agreement beforehand: a host serves its teams from its own share as soon as it knows the
configuration.

This serves a team within its rate whose requests arrive unevenly. It also handles a
team far above its rate, for which a refusal must not cost a message each time.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from damaskramp.core.ids import TeamId, ZoneName
from damaskramp.dispatch.lender_estimates import LenderEstimates, LenderSettings
from damaskramp.dispatch.share_hosts import ShareHosts
from damaskramp.fleet.model import Team

__all__ = ["SharedRate", "SharedRateSettings", "TeamRates"]


@dataclass(frozen=True, slots=True)
class SharedRateSettings:
    """Settings for the division and lending of permits.

    Attributes
    ----------
    min_burst_per_host : float
        Least number of permits of the burst that each share host should have. With
        fewer, requests need several lenders; with more, fewer hosts admit requests
        without asking. At 80 hosts and with requests that arrive in one zone, a value
        of 4 refused 16 % of a team's requests and a value of 16 refused none.
    initial_seconds : float
        Seconds' worth of the rate that a host starts with. If it started with the whole
        burst, each restart would issue that burst again.
    loan_seconds : float
        Seconds' worth of a host's own demand that it borrows at once. A shorter time
        costs more messages; a longer one leaves permits idle at the borrower.
    lend_share : float
        Share of its permits that a lender gives away at once.
    demand_seconds : float
        Time over which a host's own demand is averaged; it spans several loans.
    old_burst_seconds : float
        Time for which permits saved under a larger burst may still be used. A lower
        rate applies at once, and a lower burst applies after this time. The time is
        shorter than the time that the platform allows for bringing a configuration into
        force.
    refund_seconds : float
        Time after its acquisition within which the permit of a request that has not run
        is refunded. A permit that is acquired before a window over which the rate is
        counted, and refunded within that window, may add one run to the window. The
        time is therefore a small part of such a window.
    lenders : LenderSettings
        Settings for the choice of lenders when a host has no permits left.
    """

    min_burst_per_host: float = 16.0
    initial_seconds: float = 1.0
    loan_seconds: float = 0.2
    lend_share: float = 0.5
    demand_seconds: float = 1.0
    old_burst_seconds: float = 1.5
    refund_seconds: float = 0.25
    lenders: LenderSettings = field(default_factory=LenderSettings)


class SharedRate:
    """One host's permits of one team.

    Parameters
    ----------
    share : float
        This host's share of the team's rate and burst, from 0 to 1; 0 if it is not a
        share host.
    """

    __slots__ = (
        "_burst",
        "_demand",
        "_last_request_at",
        "_level",
        "_old_burst_until",
        "_refilled_at",
        "_settings",
        "_share",
        "_team",
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
        """Number of permits that this host has."""
        return self._level

    def wanted_loan(self, requests: int) -> tuple[float, float]:
        """Least and largest number of permits to borrow for some waiting requests.

        A loan below the least number serves none of the requests by itself.
        """
        demand = self._demand * self._settings.loan_seconds
        max_permits = max(float(requests), demand) - self._level
        return max(0.0, 1.0 - self._level), max(0.0, max_permits)

    def reconfigure(self, team: Team, share: float, now: float) -> None:
        """Take a new rate, burst or share."""
        self._refill(now)
        self._team = team
        self._share = share
        burst = share * team.burst
        if burst < self._burst and self._old_burst_until is None:
            self._old_burst_until = now + self._settings.old_burst_seconds
        self._burst = burst

    def record_request(self, now: float) -> None:
        """Record a request of the team at this host."""
        span = self._settings.demand_seconds
        # First-order approximation of an exponential moving average.
        self._demand *= max(0.0, 1.0 - (now - self._last_request_at) / span)
        self._demand += 1.0 / span
        self._last_request_at = now

    def acquire(self, now: float) -> bool:
        """Acquire one permit; False if there is none."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def refund(self, taken_at: float, now: float) -> None:
        """Put back the permit of a request that has not run and never will.

        A permit that was acquired more than `refund_seconds` ago is not put back.

        Parameters
        ----------
        taken_at : float
            Clock time in seconds at which the permit was acquired.
        """
        if now - taken_at <= self._settings.refund_seconds:
            max_permits = max(self._burst, self._level, 1.0)
            self._level = min(max_permits, self._level + 1.0)

    def lend(self, min_permits: float, max_permits: float, now: float) -> float:
        """Deduct permits for a borrower and return their number.

        The number may be less than `min_permits`. A lender with less than that can't
        serve a request itself either, and fractions from several hosts add up to a
        whole permit.
        """
        self._refill(now)
        wanted = max(min_permits, self._level * self._settings.lend_share)
        given = max(0.0, min(max_permits, wanted, self._level))
        self._level -= given
        return given

    def release_fraction(self) -> float:
        """Remove and return a fraction of a permit that this host can't use.

        Only a host without a share gives up its fraction, because nothing would refill
        the fraction to a whole permit there. The caller sends it to a share host.
        """
        if self._share > 0 or self._level >= 1.0:
            return 0.0
        amount, self._level = self._level, 0.0
        return amount

    def credit(self, amount: float) -> None:
        """Add permits that another host has sent."""
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
    """One host's permits of all teams with a rate limit."""

    def __init__(
        self, settings: SharedRateSettings, host: str, random_source: random.Random
    ) -> None:
        self._settings = settings
        self._host = host
        self._random = random_source
        self._rates: dict[TeamId, SharedRate] = {}
        self._share_hosts: dict[TeamId, list[str]] = {}
        self._chosen = ShareHosts(settings.min_burst_per_host)
        self._lenders: dict[TeamId, LenderEstimates] = {}
        self._applied: dict[TeamId, Team] = {}
        self._hosts: list[tuple[str, ZoneName]] = []

    def find(self, team: TeamId) -> SharedRate | None:
        """Permits of a team; None if the team has no rate limit."""
        return self._rates.get(team)

    def share_hosts(self, team: TeamId) -> list[str]:
        """Hosts that a team's rate is divided among."""
        return self._share_hosts.get(team, [])

    def lenders(self, team: TeamId) -> LenderEstimates:
        """Estimates of the other share hosts' permits of a team with a rate limit."""
        return self._lenders[team]

    def update(
        self, teams: Iterable[Team], hosts: list[tuple[str, ZoneName]], now: float
    ) -> None:
        """Apply a new configuration or list of hosts.

        Only teams that have changed are computed anew, or all if the hosts have.
        """
        limited = {team.name: team for team in teams if team.rate > 0}
        for name in [name for name in self._rates if name not in limited]:
            del self._rates[name], self._share_hosts[name], self._lenders[name]
        applied = self._applied
        if hosts != self._hosts:
            applied = {}
            self._chosen.update(hosts)
        self._chosen.retain(limited)
        self._applied, self._hosts = limited, hosts
        for name, team in limited.items():
            if applied.get(name) == team:
                continue
            share_hosts = self._chosen.of(team)
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
