"""Permits of rated teams: from this host's own part, or borrowed from keepers."""

from collections.abc import Callable

from damaskramp.core import Counters, TeamId
from damaskramp.dispatch import SharedRateSettings, TeamRates
from damaskramp.fleet.model import Team
from damaskramp.relay.beliefs import Beliefs
from damaskramp.relay.peers import Peers

__all__ = ["Permits"]

LENDERS = 3
"""Keepers asked before a request is refused; each takes a round trip."""

WAITING_REQUESTS = 64
"""Requests of a team that wait for permits at a time; more would be refused anyway."""

Admitted = Callable[[bool], None]


class Permits:
    """Admission of requests by their team's rate."""

    def __init__(
        self,
        settings: SharedRateSettings,
        beliefs: Beliefs,
        peers: Peers,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._beliefs = beliefs
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._rates = TeamRates(settings, beliefs.host)
        self._waiting: dict[TeamId, list[Admitted]] = {}
        self._generation = -1
        self._version = 0

    def admit(self, team: Team, done: Admitted) -> None:
        """Call `done` with whether a request may run; at once where permits last."""
        self._update()
        rate = self._rates.find(team.name)
        if rate is None:
            done(True)
            return
        now = self._clock()
        waiting = self._waiting.get(team.name)
        if waiting is None and rate.take(now):
            done(True)
        elif waiting is not None and len(waiting) < WAITING_REQUESTS:
            waiting.append(done)
        elif waiting is None and rate.may_ask(now):
            self._waiting[team.name] = [done]
            lenders = self._lenders(team)
            self._ask(team, lenders)
        else:
            self._counters.add("permits", reason="refused")
            done(False)

    def level(self, team: Team) -> float | None:
        """Permits in hand of a team; None where it has no limit."""
        rate = self._rates.find(team.name)
        return round(rate.level, 2) if rate is not None else None

    def lend(self, team: str, wanted: float) -> float:
        """Give permits to another host."""
        self._update()
        rate = self._rates.find(TeamId(team))
        return rate.lend(wanted, self._clock()) if rate is not None else 0.0

    def _lenders(self, team: Team) -> list[str]:
        keepers = self._rates.keepers(team.name)
        others = [host for host in keepers if host != self._beliefs.host]
        return self._peers.nearest(others)[:LENDERS]

    def _ask(self, team: Team, lenders: list[str]) -> None:
        rate = self._rates.find(team.name)
        waiting = self._waiting.get(team.name, [])
        if rate is None or not lenders:
            self._settle(team)
            return
        wanted = max(rate.loan, float(len(waiting)))

        def lent(amount: float) -> None:
            rate.credit(amount)
            if rate.level >= len(waiting) or len(lenders) == 1:
                self._settle(team)
            else:
                self._ask(team, lenders[1:])

        self._counters.add("permits", reason="asked")
        self._peers.borrow(lenders[0], team.name, wanted, lent)

    def _settle(self, team: Team) -> None:
        rate = self._rates.find(team.name)
        now = self._clock()
        for done in self._waiting.pop(team.name, []):
            granted = rate is None or rate.take(now)
            self._counters.add("permits", reason="lent" if granted else "refused")
            if not granted:
                rate.ran_dry(now)
            done(granted)

    def _update(self) -> None:
        beliefs = self._beliefs
        generation = beliefs.directory.generation
        if generation == self._generation and beliefs.version == self._version:
            return
        self._generation = generation
        self._version = beliefs.version
        if beliefs.configuration is None:
            return
        hosts = beliefs.directory.hosts()
        self._rates.update(beliefs.configuration.teams, hosts, self._clock())
