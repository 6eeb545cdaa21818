"""Load balancing on observed outcomes and latencies.

The platform's health and load endpoints lag or mislead, so they are not read.

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
    """The cheaper of two random backend servers, own zone first.

    The own zone's backend servers are taken while one of them is neither ejected,
    leaving nor saturated; then those of other zones.

    Parameters
    ----------
    settings : BalancingSettings
        Thresholds and seed.
    timers : TimerService
        Time.
    own : HostId
        Host of the choosing node.
    zone : ZoneName
        Zone of the choosing node.
    event : callable, optional
        Told the name of each change of state, for counters.
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
        """Hosts that get nothing but trial calls."""
        return frozenset(h for h, record in self._records.items() if record.ejected)

    @property
    def leaving(self) -> frozenset[HostId]:
        """Hosts that said they are leaving and get nothing new."""
        now = self._timers.now
        return frozenset(
            h for h, record in self._records.items() if record.leaving_until > now
        )

    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Choose a member outside `avoid`; None where none is left."""
        now = self._timers.now
        self._learn(members, now)
        able = [
            member
            for member in members
            if member.takes_work
            and member.host not in avoid
            and self._records[member.host].leaving_until <= now
        ]
        trial = self._due_trial(able, now)
        if trial is not None:
            return trial
        sound = [m for m in able if not self._records[m.host].ejected]
        # With nothing sound left an ejected one is better than no answer.
        return self._pick_near_first(sound or able, now)

    def started(self, host: HostId) -> None:
        """Record that an attempt was sent."""
        record = self._records.get(host)
        if record is None:
            return
        record.in_flight += 1
        if record.ejected:
            record.on_trial = True

    def finished(self, attempt: Attempt) -> None:
        """Record what became of an attempt."""
        record = self._records.get(attempt.host)
        if record is None:
            return
        now = self._timers.now
        record.in_flight = max(0, record.in_flight - 1)
        record.on_trial = False
        if attempt.result is AttemptResult.CANCELLED:
            return
        record.observe(attempt, now, self._settings.latency_half_life_seconds)
        if attempt.load is not None and attempt.load.leaving:
            self._leave(record, now)
            return
        hosts = self._peers.get(attempt.host, frozenset()) - {attempt.host}
        peers = [self._records[host] for host in hosts if host in self._records]
        self._ejection.judge(record, attempt.result, peers, now)

    def _leave(self, record: HostRecord, now: float) -> None:
        if record.leaving_until <= now:
            self._event("backend_server_leaving")
        record.leaving_until = now + self._settings.leaving_seconds

    def _learn(self, members: Sequence[Member], now: float) -> None:
        """Keep records of exactly the members of the service."""
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
                self._forget(host)
            for host in hosts:
                self._peers[host] = hosts
        for member in members:
            self._learn_member(member, known is None, now)

    def _forget(self, host: HostId) -> None:
        self._records.pop(host, None)
        self._peers.pop(host, None)

    def _learn_member(self, member: Member, first_view: bool, now: float) -> None:
        record = self._records.get(member.host)
        if record is None:
            # Those of the first view were there before this node and count as warm.
            warm = now - self._settings.ramp_seconds if first_view else now
            self._records[member.host] = HostRecord(
                member.incarnation, warm, self._rank(member)
            )
        elif member.incarnation > record.incarnation:
            was_known = record.incarnation > 0
            if was_known:
                record.renew(member.incarnation, now)
            record.incarnation = member.incarnation

    def _due_trial(self, able: Sequence[Member], now: float) -> Member | None:
        for member in able:
            record = self._records[member.host]
            if record.ejected and not record.on_trial and record.trial_at <= now:
                return member
        return None

    def _pick_near_first(self, able: Sequence[Member], now: float) -> Member | None:
        """Near and free, else far and free, else near; far also where far quicker."""
        near = [member for member in able if member.zone == self._zone]
        near = self._subset(near, self._settings.near_subset)
        first = self._pick(self._free(near, now), now)
        if first is not None and self._quick(first, now):
            return first
        far = [member for member in able if member.zone != self._zone]
        far = self._subset(far, self._settings.far_subset)
        second = self._pick(self._free(far, now), now)
        if first is None:
            return second or self._pick(near or far, now)
        if second is not None and self._much_quicker(second, first, now):
            return second
        return first

    def _quick(self, near: Member, now: float) -> bool:
        """Whether no other zone can be quicker by enough."""
        return self._cost(near, now, unknown=0.0) < self._settings.spill_seconds

    def _much_quicker(self, far: Member, near: Member, now: float) -> bool:
        # An unseen far one counts as quick, so that one call finds out.
        far_cost = self._cost(far, now, unknown=0.0)
        near_cost = self._cost(near, now, unknown=0.0)
        if near_cost - far_cost < self._settings.spill_seconds:
            return False
        return near_cost > self._settings.spill_ratio * far_cost

    def _cost(self, member: Member, now: float, unknown: float) -> float:
        return self._records[member.host].cost(now, self._settings, unknown)

    def _free(self, members: Sequence[Member], now: float) -> list[Member]:
        return [
            member
            for member in members
            if not self._records[member.host].saturated(now, self._settings)
        ]

    def _subset(self, members: Sequence[Member], size: int) -> Sequence[Member]:
        """Members that rank highest for this host, so few connections are kept."""
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
        # A cold one takes part in as many draws as its ramp allows.
        drawn = [member for member in pool if self._takes_part(member, now)] or pool
        pair = self._draw_two(drawn)
        unknown = self._usual_latency(pair, now)
        return min(pair, key=lambda member: self._cost(member, now, unknown))

    def _draw_two(self, members: Sequence[Member]) -> Sequence[Member]:
        count = len(members)
        if count == 1:
            return members
        first = int(self._generator.random() * count)
        second = int(self._generator.random() * (count - 1))
        second += second >= first
        return members[first], members[second]

    def _takes_part(self, member: Member, now: float) -> bool:
        ramp = self._records[member.host].ramp(now, self._settings)
        return ramp >= 1.0 or self._generator.random() < ramp

    def _usual_latency(self, pool: Sequence[Member], now: float) -> float:
        known = [
            record.expected_latency(now, self._settings.latency_half_life_seconds)
            for record in (self._records[member.host] for member in pool)
            if record.latency
        ]
        return sum(known) / len(known) if known else 1.0
