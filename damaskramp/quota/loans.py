"""Requests to other zones for loans, and for the bundle that they apply."""

from abc import ABC, abstractmethod
from collections import Counter

from damaskramp.core import (
    HostId,
    Incarnation,
    Section,
    TeamId,
    TimerService,
    ZoneName,
)
from damaskramp.membership import MemberState, MemberTable
from damaskramp.ownership import rank_members
from damaskramp.quota.messages import Answer, Ask, TeamAsk
from damaskramp.quota.owner import QuotaOwner, resource_of
from damaskramp.quota.settings import QuotaSettings
from damaskramp.quota.shares import ShareLedger

__all__ = ["AskTransport", "LoanClient"]

MAX_CANDIDATES = 3


class AskTransport(ABC):
    """Transport of asks; an answer returns to the sender of the ask, or never."""

    @abstractmethod
    def send(self, peer: str, ask: Ask) -> None:
        """Send an ask to ``IP:PORT``."""


class LoanClient:
    """Client by which an owner borrows from the owners of the other zones.

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
    members : Section of MemberTable
        Known members of all zones.
    owner : QuotaOwner
        Teams that this node owns.
    shares : ShareLedger
        Shares in force.
    transport : AskTransport
        Transport to the other zones.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        timers: TimerService,
        host: HostId,
        incarnation: Incarnation,
        zone: ZoneName,
        members: Section[MemberTable],
        owner: QuotaOwner,
        shares: ShareLedger,
        transport: AskTransport,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._host = host
        self._incarnation = incarnation
        self._zone = zone
        self._members = members
        self._owner = owner
        self._shares = shares
        self._transport = transport
        self._number = 0
        self._unanswered: Counter[tuple[TeamId, ZoneName]] = Counter()

    def tick(self) -> None:
        """Send the asks that are due; one ask covers all teams of a peer."""
        batches: dict[str, list[tuple[ZoneName, TeamAsk]]] = {}
        for team in self._owner.teams:
            ask = self._loan_ask(team)
            if ask is None:
                continue
            for zone in self._due_zones(team, ask):
                peer = self._peer_to_ask(team, zone)
                if peer:
                    batches.setdefault(peer, []).append((zone, ask))
        for peer, batch in batches.items():
            self._send(peer, batch)

    def receive(self, answer: Answer) -> None:
        """Process an answer; one that is no longer awaited is ignored."""
        if answer.to_incarnation != self._incarnation:
            return
        self._owner.record_bundle_order(answer.order)
        for team in answer.teams:
            share = self._owner.teams.get(team.team)
            pending = share.pending_asks.pop(answer.zone, None) if share else None
            if pending is None:
                continue
            number, asked_at = pending
            if number != answer.number:
                share.pending_asks[answer.zone] = pending
                continue
            self._unanswered[team.team, answer.zone] = 0
            share.last_asked_at[answer.zone] = asked_at
            for grant in team.grants:
                self._owner.accept_loan(team.team, asked_at, grant)
            if team.settled:
                self._shares.confirm(team.team, answer.zone, answer.order)

    def _loan_ask(self, team: TeamId) -> TeamAsk | None:
        ask = self._owner.loan_ask(team)
        if ask is None:
            return None
        idle = ask.demand <= 0 and ask.want <= 0
        return None if idle and self._shares.settled(team) else ask

    def _due_zones(self, team: TeamId, ask: TeamAsk) -> list[ZoneName]:
        """Return the other zones to ask now; sooner if requests wait for a loan."""
        share = self._owner.teams[team]
        now = self._timers.now
        period = self._settings.renew_fraction * self._settings.lease_seconds
        if ask.want > 0:
            period = self._settings.loan_gap_seconds
        zones = self._shares.view.contents.bundle.zones
        return [
            zone
            for zone in zones
            if zone != self._zone
            and now >= share.last_asked_at.get(zone, float("-inf")) + period
        ]

    def _peer_to_ask(self, team: TeamId, zone: ZoneName) -> str | None:
        members = self._members.value.in_zone(zone)
        candidates = [m for m in members if m.state is not MemberState.LEAVING]
        ranked = rank_members(candidates, resource_of(team))[:MAX_CANDIDATES]
        if not ranked:
            return None
        # A peer that does not own the team sends no answer for it: try the next one.
        return ranked[self._unanswered[team, zone] % len(ranked)].peer

    def _send(self, peer: str, batch: list[tuple[ZoneName, TeamAsk]]) -> None:
        self._number += 1
        now = self._timers.now
        for zone, ask in batch:
            share = self._owner.teams[ask.team]
            share.pending_asks[zone] = (self._number, now)
            share.last_asked_at[zone] = now
            self._unanswered[ask.team, zone] += 1
        self._transport.send(
            peer,
            Ask(
                self._host,
                self._incarnation,
                self._zone,
                self._number,
                self._owner.order,
                tuple(ask for _, ask in batch),
                between_zones=True,
            ),
        )
