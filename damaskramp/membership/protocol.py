"""Membership by random probing with suspicion, and news by piggyback.

No sockets here. The caller begins a period, sends what it is given, hands back
answers, and tells which probes failed.

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
"""Periods between two probes of a member taken for dead, which heal a cut."""

RESTING_ZONES = 2
"""Other zones up to which a contact speaks in every second period only."""

PAUSE_PERIODS = 3
"""Periods without a step after which failures are this node's own."""


@dataclass(frozen=True, slots=True)
class Period:
    """What a node sends in one period.

    Attributes
    ----------
    probe : Update or None
        Member of the zone to probe; its failure counts.
    contacts : tuple of Update
        Members to tell news, whose failure doesn't count.
    unlisted : Update or None
        Member of another zone that the list doesn't show, to probe.
    sync : Update or None
        Member to sync with.
    """

    probe: Update | None
    contacts: tuple[Update, ...]
    unlisted: Update | None
    sync: Update | None


@dataclass(slots=True)
class _Difference:
    """Messages in a row from a zone whose digest differed, and the last sender."""

    messages: int = 0
    host: str = ""


class GossipProtocol:
    """State machine of membership and broadcast of one node.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds.
    timers : TimerService
        Time.
    own : Member
        This node.
    random : numpy.random.Generator
        Source of choices.
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
        self._round: list[str] = []
        self._accused: list[str] = []
        self._periods = 0
        self._spoken_zones: list[str] = []
        self._spoken_revision = -1
        self._begun = timers.now
        self._trusts_after = timers.now
        self._differing: dict[str, _Difference] = {}
        self._synced_period = -settings.sync_periods

    @property
    def periods(self) -> int:
        """Periods begun."""
        return self._periods

    @property
    def roster(self) -> Roster:
        """Records of all members."""
        return self._roster

    @property
    def broadcast(self) -> GossipBroadcast:
        """Items spread with the news."""
        return self._broadcast

    def begin_period(self) -> Period:
        """Advance by one period; what to send."""
        self._periods += 1
        self._note_pause()
        self._roster.expire()
        zone_members = self._roster.others(self._roster.own.zone)
        self._broadcast.set_zone_members(len(zone_members) + 1)
        unlisted = self._roster.unlisted()
        return Period(
            self._next_probe(),
            self._far_contacts(),
            self._any(unlisted) if unlisted else None,
            self._next_sync(),
        )

    def message(self, to: Update) -> Gossip:
        """Probe for a member, or an answer to its probe."""
        far = to.zone != self._roster.own.zone
        budget = self._settings.piggyback_bytes
        message = Gossip(sender=self._roster.own, digest=self._digest())
        known = self._roster.get(to.host)
        if known is not None and known.update.state != STATE_LIVE:
            message.updates.append(known.update)
        message.updates.extend(self._roster.take(budget, far))
        budget -= sum(update.ByteSize() for update in message.updates)
        message.items.extend(self._broadcast.take(max(0, budget), far))
        return message

    def receive_probe(self, message: Gossip) -> Gossip:
        """Take a probe; the answer to it."""
        self.receive_answer(message)
        return self.message(message.sender)

    def receive_answer(self, message: Gossip) -> None:
        """Take the answer to a probe."""
        self._roster.answered(message.sender.host)
        self._receive(message.sender, message.updates, message.items)
        zone = message.sender.zone
        if message.digest == self._digest():
            self._differing.pop(zone, None)
            return
        difference = self._differing.setdefault(zone, _Difference())
        difference.messages += 1
        difference.host = message.sender.host

    def helpers(self, host: str) -> list[Update]:
        """Members to ask to probe a host in this node's place."""
        others = self._roster.others(self._roster.own.zone)
        able = [r for r in others if r.update.host != host and _answers(r)]
        count = min(self._settings.helpers, len(able))
        chosen = self._random.choice(len(able), count, replace=False) if count else ()
        return [able[index].update for index in chosen]

    def record_probe_failure(self, host: str, begun: float) -> bool:
        """Note that a probe begun at a time failed; whether it is now suspected."""
        if begun < self._trusts_after:
            return False
        if not self._roster.suspect(host):
            return False
        self._accused.append(host)
        return True

    def record_missed_probe(self, host: str, begun: float) -> None:
        """Note that an unlisted member of another zone did not answer."""
        if begun >= self._trusts_after:
            self._roster.record_missed_probe(host)

    def sync_request(self) -> SyncRequest:
        """Request for what this node lacks."""
        self._synced_period = self._periods
        values = _combined(self._roster.digests, self._broadcast.digests)
        return SyncRequest(sender=self._roster.own, digests=values)

    def receive_sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer a sync with entries of the buckets that differ."""
        self._roster.receive(request.sender)
        own = _combined(self._roster.digests, self._broadcast.digests)
        theirs = tuple(request.digests)
        if len(theirs) != len(own):
            theirs = (0,) * len(own)
        differing = {i for i in range(len(own)) if own[i] != theirs[i]}
        updates = self._roster.in_buckets({i for i in differing if i < BUCKETS})
        items = self._broadcast.in_buckets({i - BUCKETS for i in differing})
        answer = SyncAnswer(sender=self._roster.own)
        budget = self._settings.sync_bytes
        budget = self._fill(answer.updates, updates, budget)
        self._fill(answer.items, items, budget)
        return answer

    def receive_sync_answer(self, answer: SyncAnswer) -> None:
        """Take the answer to a sync."""
        self._receive(answer.sender, answer.updates, answer.items)

    def _receive(self, sender: Update, updates: Iterable, items: Iterable) -> None:
        far = sender.zone != self._roster.own.zone
        self._roster.receive(sender)
        for update in updates:
            self._roster.receive(update, far)
        for item in items:
            self._broadcast.receive(item)

    def _fill(self, target: object, entries: list, budget: int) -> int:
        """Add entries in random order, so that a later sync gets the others."""
        for index in self._random.permutation(len(entries)):
            size = entries[index].ByteSize()
            if size <= budget:
                target.append(entries[index])
                budget -= size
        return budget

    def _note_pause(self) -> None:
        now = self._timers.now
        gap = now - self._begun
        self._begun = now
        if gap > PAUSE_PERIODS * self._settings.period_seconds:
            self._trusts_after = now
            self._roster.extend_suspicions(gap)

    def _next_probe(self) -> Update | None:
        zone = self._roster.own.zone
        dead = self._roster.others(zone, dead=True)
        if dead and self._periods % DEAD_PROBE_PERIODS == 0:
            return self._any(dead)
        accused = self._next_accused()
        if accused is not None:
            return accused
        while self._round:
            record = self._roster.get(self._round.pop())
            if record is not None and not record.is_dead:
                return record.update
        others = [record.update.host for record in self._roster.others(zone)]
        self._round = [others[i] for i in self._random.permutation(len(others))]
        if not self._round:
            return None
        return self._roster.get(self._round.pop()).update

    def _next_accused(self) -> Update | None:
        """Member that this node suspects, so that it hears of that and refutes."""
        records = (self._roster.get(host) for host in self._accused)
        suspects = [r.update for r in records if r is not None and r.is_suspect]
        self._accused = [update.host for update in suspects]
        if not suspects or self._periods % 2:
            return None
        return suspects[self._periods // 2 % len(suspects)]

    def _far_contacts(self) -> tuple[Update, ...]:
        """One member of another zone, where this node speaks for its own."""
        if self._spoken_revision != self._roster.revision:
            self._spoken_revision = self._roster.revision
            self._spoken_zones = [z for z in self._roster.zones() if self._speaks_to(z)]
        zones = self._spoken_zones
        if not zones:
            return ()
        turn = self._periods
        if len(zones) <= RESTING_ZONES:
            turn, resting = divmod(self._periods, 2)
            if resting:
                return ()
        zone = zones[turn % len(zones)]
        others = [r for r in self._roster.others(zone) if _answers(r)]
        dead = self._roster.others(zone, dead=True)
        if dead and (not others or turn % DEAD_PROBE_PERIODS == 0):
            others = dead
        return (self._any(others),) if others else ()

    def _speaks_to(self, zone: str) -> bool:
        own = self._roster.own
        resource = f"contact/{zone}"
        others = [r for r in self._roster.others(own.zone) if _answers(r)]
        score = rendezvous_score(own.host, resource)
        higher = sum(rendezvous_score(r.update.host, resource) > score for r in others)
        return higher < self._settings.contacts

    def _next_sync(self) -> Update | None:
        """Member whose digest differs, once news had the time to reach both.

        Zones count apart: within a zone all may agree, and differ from another.
        """
        if self._periods - self._synced_period < self._settings.sync_periods:
            return None
        for difference in self._differing.values():
            record = self._roster.get(difference.host)
            lasting = difference.messages >= self._settings.sync_periods
            if lasting and record is not None and not record.is_dead:
                difference.messages = 0
                return record.update
        return None

    def _any(self, records: list[MemberRecord]) -> Update:
        return records[int(self._random.integers(len(records)))].update

    def _digest(self) -> int:
        digests = (self._roster.digests, self._broadcast.digests)
        return digests[0].total ^ (digests[1].total * 3 & 0xFFFFFFFF)


def _answers(record: MemberRecord) -> bool:
    return record.update.state == STATE_LIVE


def _combined(members: BucketDigests, items: BucketDigests) -> tuple[int, ...]:
    return members.values + items.values
