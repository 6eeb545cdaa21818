"""Load balancing on observed outcomes and latencies.

The balancer does not read the platform's health and load endpoints, because their
reports are late or misleading.

References
----------
M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

from collections.abc import Callable, Collection, Sequence

import xxhash

from damaskramp.balancing.balancer import Attempt, AttemptResult, LoadBalancer
from damaskramp.balancing.ejection import OutlierEjection
from damaskramp.balancing.host_record import HostRecord
from damaskramp.config import BalancingSettings
from damaskramp.core import (
    HostId,
    ServiceName,
    TimerService,
    ZoneName,
    host_generator,
)
from damaskramp.membership import Member

__all__ = ["ObservedBalancer"]


class ObservedBalancer(LoadBalancer):
    """Load balancer that chooses the cheaper of two random backend servers.

    Backend servers of the own zone are preferred while at least one of them is neither
    ejected, leaving nor saturated; then those of other zones are used. Other zones are
    also used if they are much faster.

    Parameters
    ----------
    settings : BalancingSettings
        Thresholds and seed.
    timers : TimerService
        Clock.
    own : HostId
        Host of this node.
    zone : ZoneName
        Zone of this node.
    event : callable, optional
        Callback that receives the name of each state change, for counters.
    """

    def __init__(
        self,
        settings: BalancingSettings,
        timers: TimerService,
        own: HostId,
        zone: ZoneName,
        event: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._own = own
        self._zone = zone
        self._event = event
        self._generator = host_generator(settings.seed, own)
        self._ejection = OutlierEjection(settings, self._generator, event)
        self._records: dict[HostId, HostRecord] = {}
        self._services: dict[ServiceName, frozenset[HostId]] = {}
        self._tables: dict[ServiceName, tuple[Member, ...]] = {}
        self._peers: dict[HostId, frozenset[HostId]] = {}

    @property
    def ejected(self) -> frozenset[HostId]:
        """Hosts that get only trial calls."""
        return frozenset(h for h, record in self._records.items() if record.ejected)

    @property
    def leaving(self) -> frozenset[HostId]:
        """Hosts that reported that they are leaving and get no new calls."""
        now = self._timers.now
        return frozenset(
            h for h, record in self._records.items() if record.leaving_until > now
        )

    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Return a member whose host is not in `avoid`; None if there is none."""
        now = self._timers.now
        self._update_members(members, now)
        candidates = [
            member
            for member in members
            if member.takes_work
            and member.host not in avoid
            and self._records[member.host].leaving_until <= now
        ]
        trial = self._due_trial(candidates, now)
        if trial is not None:
            return trial
        healthy = [m for m in candidates if not self._records[m.host].ejected]
        # If all candidates are ejected, trying one is better than not answering.
        return self._pick_by_zone(healthy or candidates, now)

    def started(self, host: HostId) -> None:
        """Record that an attempt was sent."""
        record = self._records.get(host)
        if record is None:
            return
        record.in_flight += 1
        if record.ejected:
            record.trial_running = True

    def finished(self, attempt: Attempt) -> None:
        """Record the result of an attempt."""
        record = self._records.get(attempt.host)
        if record is None:
            return
        now = self._timers.now
        record.in_flight = max(0, record.in_flight - 1)
        record.trial_running = False
        if attempt.result is AttemptResult.CANCELLED:
            return
        record.observe(attempt, now, self._settings.latency_half_life_seconds)
        if attempt.load is not None and attempt.load.leaving:
            self._mark_leaving(record, now)
            return
        hosts = self._peers.get(attempt.host, frozenset()) - {attempt.host}
        peers = [self._records[host] for host in hosts if host in self._records]
        self._ejection.evaluate(record, attempt.result, peers, now)

    def _mark_leaving(self, record: HostRecord, now: float) -> None:
        if record.leaving_until <= now:
            self._event("backend_server_leaving")
        record.leaving_until = now + self._settings.leaving_seconds

    def _update_members(self, members: Sequence[Member], now: float) -> None:
        """Keep records of exactly the current members of the service."""
        if not members:
            return
        service = members[0].service
        table = tuple(members)
        if self._tables.get(service) == table:
            return
        self._tables[service] = table
        hosts = frozenset(member.host for member in members)
        known = self._services.get(service)
        if hosts != known:
            self._services[service] = hosts
            for host in (known or frozenset()) - hosts:
                self._drop_record(host)
            for host in hosts:
                self._peers[host] = hosts
        for member in members:
            self._update_member(member, known is None, now)

    def _drop_record(self, host: HostId) -> None:
        self._records.pop(host, None)
        self._peers.pop(host, None)

    def _update_member(self, member: Member, first_view: bool, now: float) -> None:
        record = self._records.get(member.host)
        if record is None:
            # Members of the first view were running before this node, so they are warm.
            ramp_started_at = now - self._settings.ramp_seconds if first_view else now
            self._records[member.host] = HostRecord(
                member.incarnation, ramp_started_at, self._rank(member)
            )
        elif member.incarnation > record.incarnation:
            was_known = record.incarnation > 0
            if was_known:
                record.reset(member.incarnation, now)
            record.incarnation = member.incarnation

    def _due_trial(self, candidates: Sequence[Member], now: float) -> Member | None:
        for member in candidates:
            record = self._records[member.host]
            if record.ejected and not record.trial_running and record.trial_at <= now:
                return member
        return None

    def _pick_by_zone(self, candidates: Sequence[Member], now: float) -> Member | None:
        """Pick an unsaturated host of the own zone, else one of another zone.

        An unsaturated host of another zone is also picked if it is much faster. If all
        hosts are saturated, one of the own zone is picked, else one of another zone.
        """
        near = [member for member in candidates if member.zone == self._zone]
        near = self._subset(near, self._settings.near_subset)
        near_choice = self._pick(self._unsaturated(near, now), now)
        if near_choice is not None and self._is_fast_enough(near_choice, now):
            return near_choice
        far = [member for member in candidates if member.zone != self._zone]
        far = self._subset(far, self._settings.far_subset)
        far_choice = self._pick(self._unsaturated(far, now), now)
        if near_choice is None:
            return far_choice or self._pick(near or far, now)
        if far_choice is not None and self._is_much_faster(
            far_choice, near_choice, now
        ):
            return far_choice
        return near_choice

    def _is_fast_enough(self, near: Member, now: float) -> bool:
        """Whether no other zone can be faster by `spill_seconds`."""
        return self._cost(near, now, default_latency=0.0) < self._settings.spill_seconds

    def _is_much_faster(self, far: Member, near: Member, now: float) -> bool:
        # A host without observations costs 0, so that one call measures it.
        far_cost = self._cost(far, now, default_latency=0.0)
        near_cost = self._cost(near, now, default_latency=0.0)
        if near_cost - far_cost < self._settings.spill_seconds:
            return False
        return near_cost > self._settings.spill_ratio * far_cost

    def _cost(self, member: Member, now: float, default_latency: float) -> float:
        return self._records[member.host].cost(now, self._settings, default_latency)

    def _unsaturated(self, members: Sequence[Member], now: float) -> list[Member]:
        return [
            member
            for member in members
            if not self._records[member.host].is_saturated(now, self._settings)
        ]

    def _subset(self, members: Sequence[Member], size: int) -> Sequence[Member]:
        """Return the members that this node prefers, to bound its connections."""
        if len(members) <= size:
            return members
        return sorted(members, key=lambda m: self._records[m.host].rank)[:size]

    def _rank(self, member: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._own}\0{member.host}".encode())

    def _pick(self, pool: Sequence[Member], now: float) -> Member | None:
        if not pool:
            return None
        if len(pool) == 1:
            return pool[0]
        # During its slow start, a host takes part in only `ramp_share` of the draws.
        ramped = [member for member in pool if self._joins_draw(member, now)] or pool
        pair = self._draw_two(ramped)
        default_latency = self._mean_latency(pair, now)
        return min(pair, key=lambda member: self._cost(member, now, default_latency))

    def _draw_two(self, members: Sequence[Member]) -> Sequence[Member]:
        count = len(members)
        if count == 1:
            return members
        first = int(self._generator.random() * count)
        second = int(self._generator.random() * (count - 1))
        second += second >= first
        return members[first], members[second]

    def _joins_draw(self, member: Member, now: float) -> bool:
        ramp_share = self._records[member.host].ramp_share(now, self._settings)
        return ramp_share >= 1.0 or self._generator.random() < ramp_share

    def _mean_latency(self, pool: Sequence[Member], now: float) -> float:
        known = [
            record.expected_latency(now, self._settings.latency_half_life_seconds)
            for record in (self._records[member.host] for member in pool)
            if record.latency
        ]
        return sum(known) / len(known) if known else 1.0
