"""Records of all members, fed by news and by the host list."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation, ServiceName, TimerService, ZoneName
from damaskramp.membership.digests import BucketDigests, bucket_of
from damaskramp.membership.dissemination import Dissemination, retransmissions
from damaskramp.membership.records import MemberRecord, is_newer
from damaskramp.membership.settings import MembershipSettings
from damaskramp.membership.table import Member, MemberTable
from damaskramp.wire.membership_pb2 import (
    STATE_DEAD,
    STATE_LEAVING,
    STATE_LIVE,
    STATE_SUSPECT,
    Update,
)

__all__ = ["ListedMember", "Roster"]

FAR_TIMES = 6

UNLISTED_MISSES = 3
"""Unanswered probes in a row after which an unlisted member is taken for dead."""


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A host as the platform lists it."""

    host: HostId
    zone: ZoneName
    peer: str
    service: ServiceName
    leaving: bool = False


class Roster:
    """What this node knows of itself and of all others.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds.
    timers : TimerService
        Time.
    own : Member
        This node.
    """

    def __init__(
        self, settings: MembershipSettings, timers: TimerService, own: Member
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._own = Update(
            host=own.host,
            zone=own.zone,
            peer=own.peer,
            service=own.service,
            incarnation=own.incarnation,
        )
        self._records: dict[str, MemberRecord] = {}
        self._zones: dict[str, dict[str, MemberRecord]] = {}
        self._doubted: set[str] = set()
        self._unlisted: set[str] = set()
        self._digests = BucketDigests()
        self._near: Dissemination[Update] = Dissemination()
        self._far: Dissemination[Update] = Dissemination()
        self._changed = False
        self._revision = 0
        self._put(self._own)

    @property
    def own(self) -> Update:
        """Present news of this node."""
        return self._own

    @property
    def digests(self) -> BucketDigests:
        """Digests of all members that are not dead."""
        return self._digests

    @property
    def revision(self) -> int:
        """Number that grows with each piece of news."""
        return self._revision

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, host: str) -> MemberRecord | None:
        """Record of a host."""
        return self._records.get(host)

    def others(self, zone: str, dead: bool = False) -> list[MemberRecord]:
        """Other members of a zone, those taken for dead where `dead`."""
        own = self._own.host
        return [
            record
            for host, record in self._zones.get(zone, {}).items()
            if record.is_dead == dead and host != own
        ]

    def zones(self) -> list[str]:
        """Other zones with members."""
        return sorted(self._zones.keys() - {self._own.zone})

    def changed_table(self) -> MemberTable | None:
        """Table of all members, None where nothing has changed since the last."""
        if not self._changed:
            return None
        self._changed = False
        return MemberTable(record.as_member() for record in self._records.values())

    def take(self, budget: int, far: bool) -> list[Update]:
        """News for one message, to another zone where `far`."""
        return (self._far if far else self._near).take(budget)

    def in_buckets(self, buckets: set[int]) -> list[Update]:
        """News of all members of some buckets that have been heard of."""
        return [
            record.update
            for host, record in self._records.items()
            if (record.version or record.is_dead) and bucket_of(host) in buckets
        ]

    def receive_list(self, listed: Iterable[ListedMember]) -> None:
        """Take a reading of the host list.

        It adds hosts and marks them as leaving. A host that it no longer shows
        stays while it answers; one that never was heard of goes.
        """
        states = {member.host: member for member in listed}
        for host, member in states.items():
            if host not in self._records:
                self._put(_unheard(member))
            self._set_listed(host, "leaving" if member.leaving else "live")
        for host, record in list(self._records.items()):
            if host in states or host == self._own.host:
                continue
            self._set_listed(host, "")
            if not record.update.incarnation:
                self._remove(host)

    def receive(self, update: Update, far: bool = False) -> bool:
        """Take news of a member, told by another zone where `far`.

        Another zone's word that a member of this zone is dead makes it a suspect
        only: after a cut it refutes before its neighbours let go of it. The death
        of an unknown host is no news, or the dead would never be forgotten.
        """
        if far and update.zone == self._own.zone and update.state == STATE_DEAD:
            update = _in_state(update, STATE_SUSPECT)
        if update.host == self._own.host:
            self._refute(update)
            return False
        record = self._records.get(update.host)
        if record is None and update.state == STATE_DEAD:
            return False
        if record is not None and not is_newer(update, record.update):
            return False
        self._put(update)
        return True

    def suspect(self, host: str) -> bool:
        """Suspect a member that did not answer; whether that was new."""
        record = self._records.get(host)
        if record is None or record.update.state not in (STATE_LIVE, STATE_LEAVING):
            return False
        if record.update.state == STATE_LEAVING:
            self._put(_in_state(record.update, STATE_DEAD))
        else:
            self._put(_in_state(record.update, STATE_SUSPECT))
        return True

    def unlisted(self) -> list[MemberRecord]:
        """Members of other zones that the host list doesn't show."""
        return [self._records[host] for host in sorted(self._unlisted)]

    def record_missed_probe(self, host: str) -> bool:
        """Count an unanswered probe of an unlisted member; whether it died of it."""
        record = self._records.get(host)
        if record is None or record.listed or record.is_dead:
            return False
        record.misses += 1
        if record.misses < UNLISTED_MISSES:
            return False
        self._put(_in_state(record.update, STATE_DEAD))
        return True

    def answered(self, host: str) -> None:
        """Forget unanswered probes."""
        record = self._records.get(host)
        if record is not None:
            record.misses = 0

    def expire(self) -> int:
        """Take suspects for dead and forget old dead ones; how many died."""
        now = self._timers.now
        died = 0
        for host in sorted(self._doubted):
            record = self._records[host]
            if record.dies_at is not None and now >= record.dies_at:
                self._put(_in_state(record.update, STATE_DEAD))
                died += 1
            elif self._is_forgotten(record):
                self._remove(host)
        return died

    def extend_suspicions(self, seconds: float) -> None:
        """Give suspects more time, after a pause of this node."""
        for record in self._records.values():
            if record.dies_at is not None:
                record.dies_at += seconds

    def leave(self) -> None:
        """Tell that this node leaves."""
        own = _in_state(self._own, STATE_LEAVING)
        own.refutation += 1
        self._set_own(own)

    def renew(self, incarnation: Incarnation) -> None:
        """Take another incarnation."""
        own = _in_state(self._own, self._own.state)
        own.incarnation = incarnation
        own.refutation = 0
        self._set_own(own)

    def _refute(self, update: Update) -> None:
        own = self._own
        if not is_newer(update, own):
            return
        renewed = _in_state(own, own.state)
        if update.incarnation > own.incarnation:
            renewed.incarnation = update.incarnation + 1
        renewed.refutation = update.refutation + 1
        self._set_own(renewed)

    def _set_own(self, update: Update) -> None:
        self._own = update
        self._put(update)

    def _put(self, update: Update) -> None:
        host = update.host
        record = self._records.get(host)
        now = self._timers.now
        if record is None:
            record = self._records[host] = MemberRecord(update, "", now)
        elif record.update.zone != update.zone:
            self._zones[record.update.zone].pop(host)
        self._zones.setdefault(update.zone, {})[host] = record
        record.update = update
        record.changed_at = now
        record.dies_at = self._death(update)
        self._index(host, record)
        self._changed = True
        self._revision += 1
        if update.incarnation or update.state != STATE_LIVE:
            self._spread(update)

    def _is_forgotten(self, record: MemberRecord) -> bool:
        age = self._timers.now - record.changed_at
        old = age >= self._settings.tombstone_seconds
        return old and record.is_dead and not record.listed

    def _death(self, update: Update) -> float | None:
        """Time of death of a suspect; that of another zone is for its zone to tell."""
        if update.state != STATE_SUSPECT or update.zone != self._own.zone:
            return None
        periods = self._settings.suspicion_periods
        return self._timers.now + periods * self._settings.period_seconds

    def _spread(self, update: Update) -> None:
        size = update.ByteSize()
        members = len(self._zones[self._own.zone])
        routine = update.state == STATE_LIVE and not update.refutation
        self._near.put(update.host, update, size, retransmissions(members, routine))
        if update.zone == self._own.zone and update.state != STATE_SUSPECT:
            self._far.put(update.host, update, size, FAR_TIMES)

    def _set_listed(self, host: str, state: str) -> None:
        record = self._records[host]
        if record.listed != state:
            record.listed = state
            self._index(host, record)
            self._changed = True

    def _index(self, host: str, record: MemberRecord) -> None:
        """Bring digests, doubted and unlisted members up to date with a record."""
        self._digests.set(host, record.version)
        far = record.update.zone != self._own.zone
        _keep(self._doubted, host, record.is_suspect or record.is_dead)
        _keep(self._unlisted, host, far and not (record.listed or record.is_dead))

    def _remove(self, host: str) -> None:
        record = self._records.pop(host)
        zone = self._zones[record.update.zone]
        del zone[host]
        if not zone:
            del self._zones[record.update.zone]
        self._digests.set(host, None)
        self._doubted.discard(host)
        self._unlisted.discard(host)
        self._near.drop(host)
        self._far.drop(host)
        self._changed = True


def _keep(hosts: set[str], host: str, inside: bool) -> None:
    if inside:
        hosts.add(host)
    else:
        hosts.discard(host)


def _in_state(update: Update, state: int) -> Update:
    copy = Update()
    copy.CopyFrom(update)
    copy.state = state
    return copy


def _unheard(member: ListedMember) -> Update:
    return Update(
        host=member.host, zone=member.zone, peer=member.peer, service=member.service
    )
