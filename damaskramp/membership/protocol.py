"""Membership by random probing with suspicion, with updates piggybacked on probes.

The protocol uses no sockets. Its caller begins a period, sends the messages to the
members that the period names, passes in the answers, and reports failed probes.

References
----------
A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from damaskramp.core import TimerService
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.membership.digests import BUCKETS, BucketDigests
from damaskramp.membership.items import GossipBroadcast
from damaskramp.membership.records import MemberRecord
from damaskramp.membership.roster import Roster
from damaskramp.membership.settings import MembershipSettings
from damaskramp.membership.table import Member
from damaskramp.wire.membership_pb2 import (
    STATE_LIVE,
    Gossip,
    SyncAnswer,
    SyncRequest,
    Update,
)

__all__ = ["GossipProtocol", "Period"]

DEAD_PROBE_PERIODS = 8
"""Periods between two probes of dead members, by which the two sides of a network
partition find each other again."""

MAX_HALF_RATE_ZONES = 2
"""Maximum number of other zones with which a contact sends only in every second period.
A contact for more zones sends in each period.
"""

PAUSE_PERIODS = 3
"""Length, in periods, from which a gap between two periods counts as a pause of this
node. Failures of probes that began before the end of the pause are attributed to this
node and not to the probed members."""


@dataclass(frozen=True, slots=True)
class Period:
    """Members to which a node sends in one period.

    Attributes
    ----------
    probe : Update or None
        Member of this node's zone to probe. A failed probe counts against it.
    contacts : tuple of Update
        Members of other zones to send updates to. A failure has no effect.
    unlisted : Update or None
        Member of another zone to probe because the host list doesn't show it.
    sync : Update or None
        Member to sync with.
    """

    probe: Update | None
    contacts: tuple[Update, ...]
    unlisted: Update | None
    sync: Update | None


@dataclass(slots=True)
class _Difference:
    """Number of consecutive messages from a zone with a differing digest.

    The host is the sender of the last of them.
    """

    messages: int = 0
    host: str = ""


class GossipProtocol:
    """State machine for membership and broadcast on one node.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds.
    timers : TimerService
        Source of time.
    own : Member
        This node.
    random : numpy.random.Generator
        Source of random choices.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        timers: TimerService,
        own: Member,
        random: np.random.Generator,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._random = random
        self._roster = Roster(settings, timers, own)
        self._broadcast = GossipBroadcast(own.host, settings.items)
        self._probe_round: list[str] = []
        self._suspected_hosts: list[str] = []
        self._periods = 0
        self._contacted_zones: list[str] = []
        self._contacted_zones_revision = -1
        self._period_began_at = timers.now
        self._failures_count_after = timers.now
        self._digest_differences: dict[str, _Difference] = {}
        self._last_sync_period = -settings.sync_periods

    @property
    def periods(self) -> int:
        """Number of periods begun."""
        return self._periods

    @property
    def roster(self) -> Roster:
        """Records of all members."""
        return self._roster

    @property
    def broadcast(self) -> GossipBroadcast:
        """Broadcast of items, which are sent along with the updates."""
        return self._broadcast

    def begin_period(self) -> Period:
        """Begin a period, and return the members to send to."""
        self._periods += 1
        self._detect_pause()
        self._roster.expire()
        zone_members = self._roster.others(self._roster.own.zone)
        self._broadcast.set_zone_members(len(zone_members) + 1)
        unlisted = self._roster.unlisted()
        return Period(
            self._next_probe(),
            self._cross_zone_contacts(),
            self._choose(unlisted) if unlisted else None,
            self._next_sync(),
        )

    def message(self, recipient: Update) -> Gossip:
        """Return a probe of a member, or the answer to its probe."""
        cross_zone = recipient.zone != self._roster.own.zone
        budget = self._settings.piggyback_bytes
        message = Gossip(sender=self._roster.own, digest=self._digest())
        known = self._roster.get(recipient.host)
        if known is not None and known.update.state != STATE_LIVE:
            message.updates.append(known.update)
        message.updates.extend(self._roster.take(budget, cross_zone))
        budget -= sum(update.ByteSize() for update in message.updates)
        message.items.extend(self._broadcast.take(max(0, budget), cross_zone))
        return message

    def receive_probe(self, message: Gossip) -> Gossip:
        """Process a probe, and return the answer to it."""
        self.receive_answer(message)
        return self.message(message.sender)

    def receive_answer(self, message: Gossip) -> None:
        """Process the answer to a probe."""
        self._roster.record_answer(message.sender.host)
        self._receive(message.sender, message.updates, message.items)
        zone = message.sender.zone
        if message.digest == self._digest():
            self._digest_differences.pop(zone, None)
            return
        difference = self._digest_differences.setdefault(zone, _Difference())
        difference.messages += 1
        difference.host = message.sender.host

    def helpers(self, host: str) -> list[Update]:
        """Choose members of this zone that probe a host on behalf of this node."""
        others = self._roster.others(self._roster.own.zone)
        candidates = [r for r in others if r.update.host != host and _is_live(r)]
        count = min(self._settings.helpers, len(candidates))
        chosen = (
            self._random.choice(len(candidates), count, replace=False) if count else ()
        )
        return [candidates[index].update for index in chosen]

    def record_probe_failure(self, host: str, began_at: float) -> bool:
        """Record a failed probe, and return whether the host is newly suspected.

        Parameters
        ----------
        host : str
            Host that was probed.
        began_at : float
            Monotonic time in seconds at which the probe began.
        """
        if began_at < self._failures_count_after:
            return False
        if not self._roster.suspect(host):
            return False
        self._suspected_hosts.append(host)
        return True

    def record_missed_probe(self, host: str, began_at: float) -> None:
        """Record that an unlisted member of another zone did not answer a probe.

        Parameters
        ----------
        host : str
            Host that was probed.
        began_at : float
            Monotonic time in seconds at which the probe began.
        """
        if began_at >= self._failures_count_after:
            self._roster.record_missed_probe(host)

    def sync_request(self) -> SyncRequest:
        """Return a request for the entries that this node lacks."""
        self._last_sync_period = self._periods
        values = _combined(self._roster.digests, self._broadcast.digests)
        return SyncRequest(sender=self._roster.own, digests=values)

    def receive_sync(self, request: SyncRequest) -> SyncAnswer:
        """Process a sync request, and return entries of the buckets that differ."""
        self._roster.receive(request.sender)
        own = _combined(self._roster.digests, self._broadcast.digests)
        peer_digests = tuple(request.digests)
        if len(peer_digests) != len(own):
            peer_digests = (0,) * len(own)
        differing = {i for i in range(len(own)) if own[i] != peer_digests[i]}
        updates = self._roster.in_buckets({i for i in differing if i < BUCKETS})
        items = self._broadcast.in_buckets({i - BUCKETS for i in differing})
        answer = SyncAnswer(sender=self._roster.own)
        budget = self._settings.sync_bytes
        budget = self._fill(answer.updates, updates, budget)
        self._fill(answer.items, items, budget)
        return answer

    def receive_sync_answer(self, answer: SyncAnswer) -> None:
        """Process the answer to a sync request."""
        self._receive(answer.sender, answer.updates, answer.items)

    def _receive(self, sender: Update, updates: Iterable, items: Iterable) -> None:
        cross_zone = sender.zone != self._roster.own.zone
        self._roster.receive(sender)
        for update in updates:
            self._roster.receive(update, cross_zone)
        for item in items:
            self._broadcast.receive(item)

    def _fill(self, target: object, entries: list, budget: int) -> int:
        """Append entries in random order within a budget, and return its remainder.

        Because of the random order, a later sync delivers the other entries.
        """
        for index in self._random.permutation(len(entries)):
            size = entries[index].ByteSize()
            if size <= budget:
                target.append(entries[index])
                budget -= size
        return budget

    def _detect_pause(self) -> None:
        now = self._timers.now
        gap = now - self._period_began_at
        self._period_began_at = now
        if gap > PAUSE_PERIODS * self._settings.period_seconds:
            self._failures_count_after = now
            self._roster.extend_suspicions(gap)

    def _next_probe(self) -> Update | None:
        zone = self._roster.own.zone
        dead = self._roster.others(zone, dead=True)
        if dead and self._periods % DEAD_PROBE_PERIODS == 0:
            return self._choose(dead)
        suspect = self._next_suspect()
        if suspect is not None:
            return suspect
        while self._probe_round:
            record = self._roster.get(self._probe_round.pop())
            if record is not None and not record.is_dead:
                return record.update
        others = [record.update.host for record in self._roster.others(zone)]
        self._probe_round = [others[i] for i in self._random.permutation(len(others))]
        if not self._probe_round:
            return None
        return self._roster.get(self._probe_round.pop()).update

    def _next_suspect(self) -> Update | None:
        """Return a member that this node suspects, in every second period.

        The probe tells the member of the suspicion, so that it can refute it.
        """
        records = (self._roster.get(host) for host in self._suspected_hosts)
        suspects = [r.update for r in records if r is not None and r.is_suspect]
        self._suspected_hosts = [update.host for update in suspects]
        if not suspects or self._periods % 2:
            return None
        return suspects[self._periods // 2 % len(suspects)]

    def _cross_zone_contacts(self) -> tuple[Update, ...]:
        """Choose a member of another zone for which this node is a contact.

        The contacts for another zone are the few members of this zone that send there.
        """
        if self._contacted_zones_revision != self._roster.revision:
            self._contacted_zones_revision = self._roster.revision
            self._contacted_zones = [
                z for z in self._roster.zones() if self._is_contact_for(z)
            ]
        zones = self._contacted_zones
        if not zones:
            return ()
        turn = self._periods
        if len(zones) <= MAX_HALF_RATE_ZONES:
            turn, is_idle_period = divmod(self._periods, 2)
            if is_idle_period:
                return ()
        zone = zones[turn % len(zones)]
        others = [r for r in self._roster.others(zone) if _is_live(r)]
        dead = self._roster.others(zone, dead=True)
        if dead and (not others or turn % DEAD_PROBE_PERIODS == 0):
            others = dead
        return (self._choose(others),) if others else ()

    def _is_contact_for(self, zone: str) -> bool:
        own = self._roster.own
        resource = f"contact/{zone}"
        others = [r for r in self._roster.others(own.zone) if _is_live(r)]
        score = rendezvous_score(own.host, resource)
        higher = sum(rendezvous_score(r.update.host, resource) > score for r in others)
        return higher < self._settings.contacts

    def _next_sync(self) -> Update | None:
        """Choose a member whose digest differs although updates had time to spread.

        Differences are counted for each zone separately, since the members of one zone
        may agree with each other and differ from another zone.
        """
        if self._periods - self._last_sync_period < self._settings.sync_periods:
            return None
        for difference in self._digest_differences.values():
            record = self._roster.get(difference.host)
            is_persistent = difference.messages >= self._settings.sync_periods
            if is_persistent and record is not None and not record.is_dead:
                difference.messages = 0
                return record.update
        return None

    def _choose(self, records: list[MemberRecord]) -> Update:
        return records[int(self._random.integers(len(records)))].update

    def _digest(self) -> int:
        digests = (self._roster.digests, self._broadcast.digests)
        return digests[0].total ^ (digests[1].total * 3 & 0xFFFFFFFF)


def _is_live(record: MemberRecord) -> bool:
    return record.update.state == STATE_LIVE


def _combined(members: BucketDigests, items: BucketDigests) -> tuple[int, ...]:
    return members.values + items.values
