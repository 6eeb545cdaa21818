"""Owner of a team's share in a zone, which grants leases to borrowers."""

from numpy.random import Generator

from damaskramp.core import HostId, Incarnation, TeamId, TimerService, ZoneName
from damaskramp.ownership import Owner, Ownership
from damaskramp.quota.issuer import LeaseIssuer
from damaskramp.quota.ledger import Borrower
from damaskramp.quota.messages import (
    Answer,
    Ask,
    BundleOrder,
    Grant,
    Handover,
    Holding,
    TeamAnswer,
    TeamAsk,
)
from damaskramp.quota.settings import QuotaSettings
from damaskramp.quota.shares import Allotment, ShareLedger
from damaskramp.quota.team_share import (
    BorrowerDemand,
    TeamShare,
    loan_issuer,
    standing_level,
    standing_loan,
)

__all__ = ["QuotaOwner", "resource_of"]

MAX_ASK_GAP_SECONDS = 5.0
DEMAND_RETENTION_SECONDS = 3.0
"""Shortest time for which the demand of a borrower counts after its ask."""

DEMAND_HEADROOM = 1.2
"""Demand that a zone provides for, as a multiple of the demand that it sees."""

MAX_HANDOVER_AGE_SECONDS = 30.0
REFRESHES_PER_LEASE = 8
UNTHROTTLED_BORROWERS = 4
"""Borrowers that may ask as soon as requests wait; more borrowers ask less often."""

FIRST_LEASE_NUMBER_LIMIT = 1 << 48


def resource_of(team: TeamId) -> str:
    """Return the resource name under which a team's share is owned."""
    return f"quota/{team}"


class QuotaOwner:
    """Lender side of all teams that this node owns.

    Parameters
    ----------
    settings : QuotaSettings
        Validity of leases.
    timers : TimerService
        Clock.
    host : HostId
        This host.
    incarnation : Incarnation
        Incarnation of this node.
    zone : ZoneName
        Zone of this host.
    ownership : Ownership
        Owners of the teams in the zone.
    shares : ShareLedger
        Shares in force.
    generator : numpy.random.Generator
        Source of the first lease number.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        timers: TimerService,
        host: HostId,
        incarnation: Incarnation,
        zone: ZoneName,
        ownership: Ownership,
        shares: ShareLedger,
        generator: Generator,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._host = host
        self._incarnation = incarnation
        self._zone = zone
        self._ownership = ownership
        self._shares = shares
        self._last_lease_number = int(generator.integers(FIRST_LEASE_NUMBER_LIMIT))
        self._teams: dict[TeamId, TeamShare] = {}
        self._refreshed_at = timers.now
        self._reported_order: BundleOrder = (0, "")
        self._next_refresh = timers.now
        self._closed = False
        self._leaving = False
        self._handovers: dict[TeamId, tuple[float, Handover]] = {}

    @property
    def teams(self) -> dict[TeamId, TeamShare]:
        """Shares of the owned teams, by team."""
        return self._teams

    @property
    def order(self) -> BundleOrder:
        """Greatest bundle that is in force here or that another node reported."""
        return max(self._reported_order, self._shares.order)

    def record_bundle_order(self, order: BundleOrder) -> None:
        """Record a bundle that another node has in force or was told of."""
        self._reported_order = max(self._reported_order, order)

    def refresh_ownership(self) -> None:
        """Update the teams that this node owns; run at every tick and ask.

        Ranking all members costs time, so it is done only a few times within the
        validity of a lease. A node that owned a team only between two of these updates
        had to wait longer than the time between them before it issued leases.

        A node that was paused drops the teams that it owned, because another node
        may have owned them meanwhile.
        """
        now = self._timers.now
        if now - self._refreshed_at > self._settings.lease_seconds / 2:
            self._teams = {}
            self._handovers = {}
            self._next_refresh = now
        self._refreshed_at = now
        view = self._shares.view
        if view is None or self._closed or now < self._next_refresh:
            return
        self._next_refresh = now + self._settings.lease_seconds / REFRESHES_PER_LEASE
        for team in view.contents.teams:
            self._refresh_team(TeamId(team.name), now)
        for team in self._teams.keys() - {t.name for t in view.contents.teams}:
            del self._teams[team]

    def renew(self, incarnation: Incarnation) -> None:
        """Adopt a new incarnation, which owns nothing yet."""
        self._incarnation = incarnation
        self._teams = {}
        self._handovers = {}
        self._next_refresh = self._timers.now

    def leave(self) -> None:
        """Accept no further team; serve the owned ones until the handover.

        The other nodes still rank a leaving owner for a while. Its successor issues no
        leases before it has received the handover or, without a handover, has waited
        for the validity of a lease.
        """
        self._leaving = True

    def hand_over(self) -> list[tuple[Owner, Handover]]:
        """Stop for good; return the handovers to the successors of the owned teams."""
        now = self._timers.now
        teams, self._teams, self._closed = self._teams, {}, True
        handovers = []
        for team, share in teams.items():
            successor = self._successor(team)
            if successor is None or not share.issuing:
                continue
            issuer = share.issuer
            handover = Handover(
                self._host,
                self._incarnation,
                successor.incarnation,
                team,
                self._shares.order,
                issuer.level(now),
                issuer.rate,
                issuer.capacity,
                issuer.export_leases(now),
            )
            handovers.append((successor, handover))
        return handovers

    def receive_handover(self, handover: Handover) -> None:
        """Keep a handover until this node owns the team.

        The handover is dropped once another node is seen to own the team, or once
        this node might have missed such an owner, which may have issued leases
        meanwhile.
        """
        self.record_bundle_order(handover.order)
        if handover.to_incarnation in (0, self._incarnation):
            self._handovers[handover.team] = (self._timers.now, handover)
        self.refresh_ownership()

    def answer(self, ask: Ask) -> Answer:
        """Answer the ask of a borrower; old and repeated asks are granted nothing."""
        self.record_bundle_order(ask.order)
        self.refresh_ownership()
        now = self._timers.now
        answers = [self._answer_team(now, ask, team) for team in ask.teams]
        return Answer(
            self._host,
            self._incarnation,
            self._zone,
            ask.incarnation,
            ask.number,
            self._shares.order,
            tuple(answer for answer in answers if answer is not None),
        )

    def accept_loan(self, team: TeamId, asked_at: float, grant: Grant) -> None:
        """Add a loan granted by another zone, or renew it."""
        share = self._teams.get(team)
        now = self._timers.now
        until = asked_at + grant.seconds
        if share is None or until <= now:
            return
        self._drop_ended_loans(share, now)
        former = standing_loan(share, grant)
        if former is None:
            share.loans[grant.lease] = loan_issuer(self._settings, grant, now, until)
        elif share.loans[former].extend(now, grant, until):
            share.loans[grant.lease] = share.loans.pop(former)

    def loan_ask(self, team: TeamId) -> TeamAsk | None:
        """Return the ask for a loan of a team, None if this node does not own it.

        An ask with neither demand nor want needs no loan.
        """
        share = self._teams.get(team)
        if share is None:
            return None
        now = self._timers.now
        self._drop_ended_loans(share, now)
        allotment = self._shares.effective(team)
        missing = max(0.0, DEMAND_HEADROOM * share.demand(now) - allotment.rate)
        want = share.unmet()
        if not self._settings.lending or (missing <= 0 and want <= 0):
            missing = want = 0.0
        holdings = tuple(
            Holding(number, loan.max_held(now), loan.rate, loan.capacity, loan.source)
            for number, loan in share.loans.items()
        )
        return TeamAsk(team, missing, want, holdings)

    def _refresh_team(self, team: TeamId, now: float) -> None:
        if self._closed:
            return
        if self._leaving and team in self._teams:
            return
        if not self._ownership.owns(resource_of(team)):
            self._teams.pop(team, None)
            self._check_handover(team)
            return
        share = self._teams.get(team)
        if share is None:
            wait = self._settings.held_seconds(self._settings.lease_seconds)
            issuer = LeaseIssuer(self._settings, self._zone, now, 0.0, 0.0)
            share = self._teams[team] = TeamShare(issuer, now + wait)
        self._use_handover(team, share, now)
        allotment = self._allotment(team, share, now)
        if (share.issuer.rate, share.issuer.capacity) != (
            allotment.rate,
            allotment.burst,
        ):
            share.issuer.reconfigure(now, allotment.rate, allotment.burst)

    def _check_handover(self, team: TeamId) -> None:
        """Drop a handover if a third node owns the team."""
        _, handover = self._handovers.get(team, (0.0, None))
        owner = self._ownership.owner(resource_of(team))
        if handover and owner and owner.host not in (handover.host, self._host):
            del self._handovers[team]

    def _use_handover(self, team: TeamId, share: TeamShare, now: float) -> None:
        arrived, handover = self._handovers.pop(team, (0.0, None))
        if handover is None or share.issuing or self.order > self._shares.order:
            return
        if now > arrived + MAX_HANDOVER_AGE_SECONDS:
            return
        self._shares.restrict(team, Allotment(handover.rate, handover.burst))
        share.issuing = True
        allotment = self._shares.effective(team)
        share.issuer.reconfigure(now, allotment.rate, allotment.burst)
        share.issuer.take_over(now, handover.level, handover.leases)

    def _successor(self, team: TeamId) -> Owner | None:
        candidates = self._ownership.successors(resource_of(team), 2)
        others = (owner for owner in candidates if owner.host != self._host)
        return next(others, None)

    def _allotment(self, team: TeamId, share: TeamShare, now: float) -> Allotment:
        if share.issuing:
            return self._shares.effective(team)
        # A former owner may have confirmed a greater bundle to another zone. That zone
        # then took over a part of the share that the bundle of this node still states.
        if now >= share.issuing_from and self.order == self._shares.order:
            share.issuing = True
            return self._shares.effective(team)
        return Allotment()

    def _answer_team(
        self, now: float, ask: Ask, team_ask: TeamAsk
    ) -> TeamAnswer | None:
        if self._shares.view and self._shares.view.team(team_ask.team):
            self._refresh_team(team_ask.team, now)
        share = self._teams.get(team_ask.team)
        if share is None:
            return None
        borrower = (ask.host, ask.incarnation)
        if ask.number <= share.last_ask_numbers.get(borrower, -1):
            return None
        share.last_ask_numbers[borrower] = ask.number
        self._drop_ended_loans(share, now)
        if ask.between_zones:
            grants = self._grant_to_zone(now, share, ask.number, team_ask)
        else:
            grants = self._grant_to_borrower(now, share, borrower, team_ask)
        wait = self._ask_gap(share, now)
        settled = self._settled(share, now)
        return TeamAnswer(team_ask.team, tuple(grants), wait, settled)

    def _grant_to_borrower(
        self, now: float, share: TeamShare, borrower: Borrower, team_ask: TeamAsk
    ) -> list[Grant]:
        issuers = [share.issuer, *share.loans.values()]
        if not share.issuing:
            return self._renew_inherited(now, share, borrower, team_ask)
        for issuer in issuers:
            issuer.reconcile(now, borrower, team_ask.holdings)
        until = now + max(DEMAND_RETENTION_SECONDS, self._settings.lease_seconds)
        former = share.demands.get(borrower)
        wanted_at = now if team_ask.want > 0 or former is None else former.wanted_at
        share.demands[borrower] = BorrowerDemand(team_ask.demand, 0.0, until, wanted_at)
        want = team_ask.want
        grants = []
        for issuer in issuers:
            grant = issuer.grant_spot(now, borrower, self._next_lease_number(), want)
            if grant is not None:
                grants.append(grant)
                want -= grant.amount
        share.demands[borrower].want = want
        total = share.demand(now)
        demand_fraction = team_ask.demand / max(total, 1e-9)
        owner_busy = total > self._settings.asks_per_second
        for issuer in issuers:
            level = standing_level(issuer, borrower, team_ask.holdings)
            grant = issuer.grant_standing(
                now,
                borrower,
                self._next_lease_number(),
                team_ask.demand,
                demand_fraction,
                level,
                owner_busy,
            )
            if grant is not None:
                grants.append(grant)
        return grants

    def _renew_inherited(
        self, now: float, share: TeamShare, borrower: Borrower, team_ask: TeamAsk
    ) -> list[Grant]:
        """Renew a former owner's lease while that owner's other leases may be valid."""
        share.issuer.reconcile(now, borrower, team_ask.holdings)
        if now >= share.issuing_from:
            return []
        standing = (
            h for h in team_ask.holdings if h.standing and h.source == self._zone
        )
        holding = next(standing, None)
        if holding is None:
            return []
        grant = share.issuer.renew(now, borrower, self._next_lease_number(), holding)
        return [grant] if grant is not None else []

    def _grant_to_zone(
        self, now: float, share: TeamShare, number: int, team_ask: TeamAsk
    ) -> list[Grant]:
        """Grant a loan to the owner of another zone.

        An owner that has restarted states no leases, although leases that it issued
        from an earlier loan may still run. It therefore gets a new account, and both
        loans count.
        """
        if not share.issuing or not self._settings.lending:
            return []
        borrower = share.issuer.find_borrower(team_ask.holdings)
        if borrower is None:
            borrower = (
                HostId(f"loan {self._next_lease_number()}"),
                Incarnation(number),
            )
        share.issuer.reconcile(now, borrower, team_ask.holdings)
        if team_ask.demand <= 0 and team_ask.want <= 0:
            return []
        level = standing_level(share.issuer, borrower, team_ask.holdings)
        demand = share.demand(now)
        wanted_rate = max(team_ask.demand, team_ask.want)
        grant = share.issuer.grant_loan(
            now, borrower, self._next_lease_number(), wanted_rate, demand, level
        )
        if grant is None and team_ask.want > 0 and share.unmet() <= 0:
            grant = share.issuer.grant_spot(
                now, borrower, self._next_lease_number(), team_ask.want
            )
        return [grant] if grant is not None else []

    def _ask_gap(self, share: TeamShare, now: float) -> float:
        """Return the shortest time between asks for waiting requests.

        This time bounds the rate of asks at the owner.
        """
        more = share.count_asking(now) - UNTHROTTLED_BORROWERS
        gap = more / self._settings.asks_per_second
        return min(MAX_ASK_GAP_SECONDS, max(self._settings.min_gap_seconds, gap))

    def _settled(self, share: TeamShare, now: float) -> bool:
        """Return whether this zone keeps to its share, even if the owner changes.

        Borrowers ask at least once within the validity of a lease. By then they
        have been told of the bundle and report it to a new owner that lacks it.
        """
        known = now >= self._shares.since + self._settings.lease_seconds
        return known and share.issuing and share.issuer.is_within_limits(now)

    def _drop_ended_loans(self, share: TeamShare, now: float) -> None:
        for number, loan in list(share.loans.items()):
            if loan.until <= now:
                del share.loans[number]

    def _next_lease_number(self) -> int:
        self._last_lease_number += 1
        return self._last_lease_number
