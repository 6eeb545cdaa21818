"""Rate limiter that spends leased permits, on the path of each request."""

import asyncio
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from numpy.random import Generator

from damaskramp.admission import Refusal
from damaskramp.bundle import BundleView
from damaskramp.core import (
    HostId,
    Incarnation,
    Reason,
    TeamId,
    TimerService,
    ZoneName,
)
from damaskramp.ownership import Owner, Ownership
from damaskramp.quota.leases import LeasePool
from damaskramp.quota.limiter import RateLimiter
from damaskramp.quota.loans import AskTransport
from damaskramp.quota.messages import Answer, Ask, TeamAnswer, TeamAsk
from damaskramp.quota.owner import QuotaOwner, resource_of
from damaskramp.quota.settings import QuotaSettings
from damaskramp.quota.shares import ShareLedger

__all__ = ["LeasedLimiter", "QuotaCounters"]

DEMAND_AVERAGING_SECONDS = 2.0
"""Time constant of the exponential moving average of demand."""

REFILL_THRESHOLD_PERMITS = 1.0
"""Level below which a standing lease is refilled before it is empty."""

MIN_DEMAND_PER_SECOND = 0.25
"""Demand in requests a second below which no standing lease is asked for."""

UNKNOWN_TEAM_HINT_SECONDS = 30.0
MIN_HINT_SECONDS = 0.2
MAX_WAITING_REQUESTS = 1024


@dataclass(slots=True)
class QuotaCounters:
    """Event counts of one limiter.

    Attributes
    ----------
    admitted : int
        Requests admitted.
    waited : int
        Admitted requests that waited for a permit.
    refused : int
        Requests refused.
    asks : int
        Asks sent to other nodes.
    late_grants : int
        Grants that arrived too late, twice, or from a former owner.
    """

    admitted: int = 0
    waited: int = 0
    refused: int = 0
    asks: int = 0
    late_grants: int = 0


@dataclass(slots=True)
class _Demand:
    """Exponential moving average of requests a second."""

    value: float = 0.0
    updated: float = 0.0

    def at(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated)
        return self.value * math.exp(-elapsed / DEMAND_AVERAGING_SECONDS)

    def add(self, now: float) -> None:
        self.value = self.at(now) + 1.0 / DEMAND_AVERAGING_SECONDS
        self.updated = now


@dataclass(frozen=True, slots=True)
class _PendingAsk:
    """Ask that may still be answered."""

    number: int
    asked_at: float
    owner: Owner


@dataclass(slots=True)
class _TeamState:
    """State of one team at a borrower.

    Attributes
    ----------
    waiting : deque of asyncio.Future
        Waiting requests; the result of a future says whether a permit was found.
    woken : int
        Requests that were woken and have not yet taken their permit.
    pending : _PendingAsk, optional
        Last ask, until it is answered.
    next_ask, next_refill : float
        Earliest monotonic times of the next ask and of the next refill.
    gap : float
        Seconds between asks that the last answer stated.
    """

    pool: LeasePool = field(default_factory=LeasePool)
    demand: _Demand = field(default_factory=_Demand)
    waiting: deque[asyncio.Future] = field(default_factory=deque)
    woken: int = 0
    pending: _PendingAsk | None = None
    next_ask: float = float("-inf")
    next_refill: float = float("-inf")
    gap: float = 0.0


class LeasedLimiter(RateLimiter):
    """Limiter that spends permits from leases granted by each team's owner.

    Parameters
    ----------
    settings : QuotaSettings
        Validity of leases and waits.
    timers : TimerService
        Clock and timers.
    host : HostId
        This host.
    incarnation : Incarnation
        Incarnation of this node.
    zone : ZoneName
        Zone of this host.
    ownership : Ownership
        Owners of the teams in the zone.
    owner : QuotaOwner
        Lender side of this node, which is asked without a message.
    shares : ShareLedger
        Shares in force.
    transport : AskTransport
        Transport to the other nodes.
    generator : numpy.random.Generator
        Source of the random spread of retry hints.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        timers: TimerService,
        host: HostId,
        incarnation: Incarnation,
        zone: ZoneName,
        ownership: Ownership,
        owner: QuotaOwner,
        shares: ShareLedger,
        transport: AskTransport,
        generator: Generator,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._host = host
        self._incarnation = incarnation
        self._zone = zone
        self._ownership = ownership
        self._owner = owner
        self._shares = shares
        self._transport = transport
        self._generator = generator
        self._teams: dict[TeamId, _TeamState] = {}
        self._retained_owners: dict[TeamId, Owner] | None = None
        self._number = 0
        self._counters = QuotaCounters()

    @property
    def counters(self) -> QuotaCounters:
        """Event counts of this limiter."""
        return self._counters

    def set_bundle(self, view: BundleView | None) -> None:
        """Adopt a new bundle."""
        self._shares.adopt(view, self._timers.now, self._timers.wall_now)

    def leave(self) -> None:
        """Retain the present owners while this node finishes its requests.

        A leaving node is no longer told of new owners. The retained owners grant
        nothing once they no longer own the team.
        """
        view = self._shares.view
        owners = {
            team.name: self._ownership.owner(resource_of(team.name))
            for team in (view.contents.teams if view else ())
        }
        self._retained_owners = {team: owner for team, owner in owners.items() if owner}

    def set_successor(self, team: TeamId, successor: Owner) -> None:
        """Ask `successor` for permits of a team that this node has handed over."""
        if self._retained_owners is not None:
            self._retained_owners[team] = successor

    async def acquire(self, team: TeamId, deadline: float) -> Result[None, Refusal]:
        """Take one permit of a team; wait a short time if none is held."""
        entry = self._shares.view.team(team) if self._shares.view else None
        if entry is None:
            return Error(Refusal(Reason.TEAM_OVER_RATE, UNKNOWN_TEAM_HINT_SECONDS))
        now = self._timers.now
        state = self._teams.setdefault(team, _TeamState())
        state.demand.add(now)
        unclaimed = state.pool.level(now) >= 1.0 + state.woken
        if unclaimed and not state.waiting and state.pool.acquire(now):
            self._counters.admitted += 1
            return Ok(None)
        return await self._wait_for_permit(
            team, state, min(deadline, self._wait_deadline(now))
        )

    def tick(self) -> None:
        """Renew leases and ask for the permits that waiting requests need."""
        self._owner.refresh_ownership()
        now = self._timers.now
        due = [
            team for team, state in self._teams.items() if self._is_ask_due(state, now)
        ]
        self._ask(due, now)
        for state in self._teams.values():
            self._wake_waiting(state, now)

    def receive(self, answer: Answer) -> None:
        """Process an answer; late, repeated and fenced ones are ignored."""
        now = self._timers.now
        if answer.to_incarnation != self._incarnation:
            return
        self._owner.record_bundle_order(answer.order)
        for team in answer.teams:
            state = self._teams.get(team.team)
            if state is not None:
                self._receive_team(state, answer, team, now)

    def _receive_team(
        self, state: _TeamState, answer: Answer, team: TeamAnswer, now: float
    ) -> None:
        pending = state.pending
        if pending is None or pending.number != answer.number:
            self._counters.late_grants += len(team.grants)
            return
        state.pending = None
        state.gap = team.wait
        # The wait limits messages to the owner; an ask to this node itself sends none.
        skip_wait = answer.host == self._host and bool(team.grants)
        state.next_ask = now if skip_wait else now + team.wait
        state.next_refill = now + max(team.wait, self._settings.refill_seconds)
        granter = Owner(answer.host, answer.incarnation, pending.owner.peer)
        if not self._accepts(team.team, granter):
            self._counters.late_grants += len(team.grants)
            return
        for grant in team.grants:
            state.pool.accept(now, pending.asked_at, grant)
        self._wake_waiting(state, now)

    def _accepts(self, team: TeamId, granter: Owner) -> bool:
        if self._retained_owners is None:
            return self._ownership.may_release(resource_of(team), granter)
        owner = self._retained_owners.get(team)
        return owner is not None and owner.incarnation == granter.incarnation

    def _owner_of(self, team: TeamId) -> Owner | None:
        if self._retained_owners is None:
            return self._ownership.owner(resource_of(team))
        return self._retained_owners.get(team)

    async def _wait_for_permit(
        self, team: TeamId, state: _TeamState, until: float
    ) -> Result[None, Refusal]:
        if len(state.waiting) + state.woken >= self._max_waiting(team):
            return self._refuse(state)
        while self._timers.now < until:
            if not await self._wait_until_woken(team, state, until):
                break
            # The process may have been paused since the wake-up, and the lease may
            # have expired: check again.
            if state.pool.acquire(self._timers.now):
                self._counters.admitted += 1
                self._counters.waited += 1
                return Ok(None)
        return self._refuse(state)

    async def _wait_until_woken(
        self, team: TeamId, state: _TeamState, until: float
    ) -> bool:
        """Wait for a permit; return False if the time ran out."""
        woken = asyncio.get_running_loop().create_future()
        state.waiting.append(woken)
        remaining = until - self._timers.now
        timer = self._timers.after(remaining, lambda: _resolve(woken, False))
        self._ask_if_allowed(team, state)
        try:
            found = await woken
        finally:
            timer.cancel()
            if woken in state.waiting:
                state.waiting.remove(woken)
            elif woken.done() and not woken.cancelled() and woken.result():
                state.woken -= 1
        return found

    def _wake_waiting(self, state: _TeamState, now: float) -> None:
        """Wake as many waiting requests as there are permits."""
        if not state.waiting:
            return
        free = int(state.pool.level(now) + 1e-9) - state.woken
        while free > 0 and state.waiting:
            future = state.waiting.popleft()
            if not future.done():
                future.set_result(True)
                state.woken += 1
                free -= 1

    def _refuse(self, state: _TeamState) -> Result[None, Refusal]:
        self._counters.refused += 1
        base = max(MIN_HINT_SECONDS, state.gap)
        hint = base * float(self._generator.uniform(1.0, 3.0))
        return Error(Refusal(Reason.TEAM_OVER_RATE, hint))

    def _wait_deadline(self, now: float) -> float:
        return now + self._settings.wait_seconds

    def _max_waiting(self, team: TeamId) -> int:
        """Return how many requests of a team may wait.

        Requests beyond what the whole team's rate admits within the longest wait
        could not be admitted, so they need not wait.
        """
        entry = self._shares.view.team(team)
        rate = entry.rate if entry else 0.0
        limit = math.ceil(rate * self._settings.wait_seconds)
        return max(1, min(MAX_WAITING_REQUESTS, limit))

    def _is_ask_due(self, state: _TeamState, now: float) -> bool:
        if self._is_awaiting_answer(state, now) or now < state.next_ask:
            return False
        if state.waiting:
            return True
        if state.demand.at(now) < MIN_DEMAND_PER_SECOND:
            return False
        fraction = self._settings.renew_fraction
        if state.pool.has_standing(now):
            low = (
                state.pool.level(now) < REFILL_THRESHOLD_PERMITS
                and now >= state.next_refill
            )
            return low or state.pool.renewal_due(now, fraction)
        period = fraction * self._settings.lease_seconds
        return state.pending is None and now >= state.next_ask + period

    def _is_awaiting_answer(self, state: _TeamState, now: float) -> bool:
        pending = state.pending
        if pending is None:
            return False
        return now < pending.asked_at + self._settings.answer_seconds

    def _ask_if_allowed(self, team: TeamId, state: _TeamState) -> None:
        """Ask at once unless an answer is awaited or the last one said to wait."""
        now = self._timers.now
        if not self._is_awaiting_answer(state, now) and now >= state.next_ask:
            self._ask([team], now)

    def _ask(self, teams: Iterable[TeamId], now: float) -> None:
        """Send one ask to each owner of the teams."""
        batches: dict[Owner, list[TeamId]] = {}
        for team in teams:
            owner = self._owner_of(team)
            if owner is not None:
                batches.setdefault(owner, []).append(team)
        for owner, batch in batches.items():
            self._send(owner, batch, now)

    def _send(self, owner: Owner, teams: list[TeamId], now: float) -> None:
        self._number += 1
        asks = []
        for team in teams:
            state = self._teams[team]
            # An ask replaces every earlier one: an answer to an earlier ask is ignored
            # from now on, and the lender no longer counts the leases granted in it.
            state.pending = _PendingAsk(self._number, now, owner)
            asks.append(self._team_ask(team, state, now))
        ask = Ask(
            self._host,
            self._incarnation,
            self._zone,
            self._number,
            self._owner.order,
            tuple(asks),
        )
        if owner.host == self._host:
            self.receive(self._owner.answer(ask))
            return
        self._counters.asks += 1
        self._transport.send(owner.peer, ask)

    def _team_ask(self, team: TeamId, state: _TeamState, now: float) -> TeamAsk:
        state.pool.drop_spent(now)
        want = float(len(state.waiting))
        return TeamAsk(team, state.demand.at(now), want, state.pool.holdings(now))


def _resolve(future: asyncio.Future, found: bool) -> None:
    if not future.done():
        future.set_result(found)
