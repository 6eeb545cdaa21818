"""Permits of teams with a rate, from this host's share or borrowed from share hosts."""

import random
from collections.abc import Callable

from damaskramp.core import Counters, TeamId, TimerService
from damaskramp.dispatch import SharedRateSettings, TeamRates
from damaskramp.fleet.model import Team
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.peers import Peers

__all__ = ["Permits"]

MAX_LENDERS = 4
"""Share hosts asked before a request is refused; each takes a round trip. A small team
has one in each zone, and a request may need fractions of a permit from all of them."""

LENDER_TIMEOUT_SECONDS = 0.06
"""Wait for a lender, in seconds, after which another is asked: many round trips between
zones, and a part of the shortest latency targets. A lost host is silent for ten times
as long before its link counts as broken."""

MAX_WAITING_REQUESTS = 64
"""Most requests of a team that wait for permits; more would be refused anyway."""

AdmissionCallback = Callable[[bool], None]


class Permits:
    """Admission of requests within the rate and burst of their team."""

    def __init__(
        self,
        settings: SharedRateSettings,
        fleet_view: FleetView,
        peers: Peers,
        timers: TimerService,
        counters: Counters,
        random_source: random.Random,
    ) -> None:
        self._fleet_view = fleet_view
        self._peers = peers
        self._timers = timers
        self._counters = counters
        self._rates = TeamRates(settings, fleet_view.host, random_source)
        self._waiting: dict[TeamId, list[AdmissionCallback]] = {}
        self._generation = -1
        self._version = 0

    def admit(self, team: Team, done: AdmissionCallback) -> None:
        """Call `done` with whether a request may run; at once if a permit is left."""
        self._update()
        rate = self._rates.find(team.name)
        if rate is None:
            done(True)
            return
        now = self._timers.now
        rate.record_request(now)
        waiting = self._waiting.get(team.name)
        if waiting is None and rate.acquire(now):
            done(True)
        elif waiting is None:
            self._waiting[team.name] = [done]
            self._ask_lender(team, [])
        elif len(waiting) < MAX_WAITING_REQUESTS:
            waiting.append(done)
        else:
            self._counters.add("permits", reason="refused")
            done(False)

    def refund(self, team: Team, taken_at: float) -> None:
        """Refund the permit of a request that has not run.

        Parameters
        ----------
        taken_at : float
            Clock time at which the request was admitted, in seconds.
        """
        rate = self._rates.find(team.name)
        if rate is not None:
            rate.refund(taken_at, self._timers.now)

    def level(self, team: Team) -> float | None:
        """Permits that this host has for a team; None if the team has no limit."""
        rate = self._rates.find(team.name)
        return round(rate.level, 2) if rate is not None else None

    def lend(
        self, team: str, min_permits: float, max_permits: float
    ) -> tuple[float, float]:
        """Lend permits to another host; return how many, and how many are left."""
        self._update()
        rate = self._rates.find(TeamId(team))
        if rate is None:
            return 0.0, 0.0
        return rate.lend(min_permits, max_permits, self._timers.now), rate.level

    def receive_returned(self, team: str, amount: float) -> None:
        """Add permits that another host could not use."""
        rate = self._rates.find(TeamId(team))
        if rate is not None:
            rate.credit(amount)

    def _ask_lender(self, team: Team, asked: list[str]) -> None:
        """Ask another share host, or answer the waiting requests if none may help."""
        rate = self._rates.find(team.name)
        waiting = self._waiting.get(team.name, [])
        if rate is None or rate.level >= len(waiting) or len(asked) >= MAX_LENDERS:
            self._answer_waiting(team, asked)
            return
        min_permits, max_permits = rate.wanted_loan(len(waiting))
        lenders = self._rates.lenders(team.name)
        reachable = self._peers.hosts.reachable(self._rates.share_hosts(team.name))
        others = [host for host in reachable if host not in asked]
        near = self._peers.in_own_zone(others)
        lender = lenders.choose(
            others, near, min_permits, max_permits, self._timers.now
        )
        if lender is None:
            self._answer_waiting(team, asked)
            return

        def on_loan(given: float, left: float) -> None:
            rate.credit(given)
            lenders.record_answer(lender, min_permits, given, left, self._timers.now)
            if not timeout.cancelled:
                timeout.cancel()
                self._ask_lender(team, [*asked, lender])

        def on_timeout() -> None:
            # Permits that arrive after the timeout are still credited.
            timeout.cancel()
            lenders.record_answer(lender, min_permits, 0.0, 0.0, self._timers.now)
            self._ask_lender(team, [*asked, lender])

        self._counters.add("permits", reason="asked")
        timeout = self._timers.after(LENDER_TIMEOUT_SECONDS, on_timeout)
        self._peers.borrow(lender, team.name, min_permits, max_permits, on_loan)

    def _answer_waiting(self, team: Team, asked: list[str]) -> None:
        rate = self._rates.find(team.name)
        now = self._timers.now
        for done in self._waiting.pop(team.name, []):
            granted = rate is None or rate.acquire(now)
            self._counters.add("permits", reason="lent" if granted else "refused")
            done(granted)
        unused = rate.release_fraction() if rate is not None and asked else 0.0
        if unused > 0:
            self._peers.return_permits(asked[-1], team.name, unused)

    def _update(self) -> None:
        fleet_view = self._fleet_view
        generation = fleet_view.directory.generation
        if generation == self._generation and fleet_view.version == self._version:
            return
        self._generation = generation
        self._version = fleet_view.version
        if fleet_view.configuration is None:
            return
        hosts = fleet_view.directory.hosts()
        self._rates.update(fleet_view.configuration.teams, hosts, self._timers.now)
