"""Records of all members, from updates of other nodes and from the host list."""

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

CROSS_ZONE_TRANSMISSIONS = 6

MISSED_PROBES_UNTIL_DEAD = 3
"""Consecutive unanswered probes after which an unlisted member is declared dead."""


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A host in the platform's host list.

    Attributes
    ----------
    host, zone, service
        Host, its zone and the service of its backend server.
    peer : str
        ``IP:PORT`` where the node listens for other nodes.
    leaving : bool
        Whether the platform marks the host as leaving.
    """

    host: HostId
    zone: ZoneName
    peer: str
    service: ServiceName
    leaving: bool = False


class Roster:
    """Records of this node and of all other members.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds.
    timers : TimerService
        Source of time.
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
        self._suspect_or_dead: set[str] = set()
        self._unlisted: set[str] = set()
        self._digests = BucketDigests()
        self._zone_queue: Dissemination[Update] = Dissemination()
        self._cross_zone_queue: Dissemination[Update] = Dissemination()
        self._changed = False
        self._revision = 0
        self._put(self._own)

    @property
    def own(self) -> Update:
        """Current update about this node."""
        return self._own

    @property
    def digests(self) -> BucketDigests:
        """Digests of all members whose record has a version."""
        return self._digests

    @property
    def revision(self) -> int:
        """Number that increases with each stored update."""
        return self._revision

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, host: str) -> MemberRecord | None:
        """Return the record of a host, or None."""
        return self._records.get(host)

    def others(self, zone: str, dead: bool = False) -> list[MemberRecord]:
        """Return the other members of a zone, either the dead ones or all the rest."""
        own = self._own.host
        return [
            record
            for host, record in self._zones.get(zone, {}).items()
            if record.is_dead == dead and host != own
        ]

    def zones(self) -> list[str]:
        """Return the other zones that have members."""
        return sorted(self._zones.keys() - {self._own.zone})

    def changed_table(self) -> MemberTable | None:
        """Return a table of all members.

        The result is None if nothing changed since the last table was returned.
        """
        if not self._changed:
            return None
        self._changed = False
        return MemberTable(record.as_member() for record in self._records.values())

    def take(self, budget: int, cross_zone: bool) -> list[Update]:
        """Take updates for one message.

        Parameters
        ----------
        budget : int
            Maximum size of the updates in bytes.
        cross_zone : bool
            Whether the message goes to another zone.
        """
        return (self._cross_zone_queue if cross_zone else self._zone_queue).take(budget)

    def in_buckets(self, buckets: set[int]) -> list[Update]:
        """Return updates of some buckets, without hosts known only from the list."""
        return [
            record.update
            for host, record in self._records.items()
            if (record.version or record.is_dead) and bucket_of(host) in buckets
        ]

    def receive_list(self, listed: Iterable[ListedMember]) -> None:
        """Merge the current host list.

        The list adds hosts and marks them as leaving. A host that is no longer listed
        stays while it answers; if no update from it ever arrived, it is removed.
        """
        states = {member.host: member for member in listed}
        for host, member in states.items():
            if host not in self._records:
                self._put(_listed_update(member))
            self._set_listed(host, "leaving" if member.leaving else "live")
        for host, record in list(self._records.items()):
            if host in states or host == self._own.host:
                continue
            self._set_listed(host, "")
            if not record.update.incarnation:
                self._remove(host)

    def receive(self, update: Update, cross_zone: bool = False) -> bool:
        """Merge an update about a member, and return whether it was new.

        If another zone reports the death of a member of this zone, the member only
        becomes a suspect, so that after a network partition it can refute before the
        members of its own zone drop it. The death of an unknown host is ignored, since
        dead members would otherwise never be removed.

        Parameters
        ----------
        update : Update
            Update about a member.
        cross_zone : bool
            Whether the update was sent by a node of another zone.
        """
        if cross_zone and update.zone == self._own.zone and update.state == STATE_DEAD:
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
        """Suspect a member that did not answer, and return whether its state changed.

        A leaving member is declared dead at once.
        """
        record = self._records.get(host)
        if record is None or record.update.state not in (STATE_LIVE, STATE_LEAVING):
            return False
        if record.update.state == STATE_LEAVING:
            self._put(_in_state(record.update, STATE_DEAD))
        else:
            self._put(_in_state(record.update, STATE_SUSPECT))
        return True

    def unlisted(self) -> list[MemberRecord]:
        """Return the members of other zones that the host list doesn't show."""
        return [self._records[host] for host in sorted(self._unlisted)]

    def record_missed_probe(self, host: str) -> bool:
        """Count an unanswered probe of an unlisted member.

        Returns
        -------
        bool
            Whether the member is declared dead because of it.
        """
        record = self._records.get(host)
        if record is None or record.listed or record.is_dead:
            return False
        record.missed_probes += 1
        if record.missed_probes < MISSED_PROBES_UNTIL_DEAD:
            return False
        self._put(_in_state(record.update, STATE_DEAD))
        return True

    def record_answer(self, host: str) -> None:
        """Reset the count of unanswered probes of a host that answered."""
        record = self._records.get(host)
        if record is not None:
            record.missed_probes = 0

    def expire(self) -> int:
        """Declare overdue suspects dead and remove old tombstones.

        Returns
        -------
        int
            Number of members declared dead.
        """
        now = self._timers.now
        died = 0
        for host in sorted(self._suspect_or_dead):
            record = self._records[host]
            if (
                record.suspicion_deadline is not None
                and now >= record.suspicion_deadline
            ):
                self._put(_in_state(record.update, STATE_DEAD))
                died += 1
            elif self._is_expired(record):
                self._remove(host)
        return died

    def extend_suspicions(self, seconds: float) -> None:
        """Extend the deadlines of all suspects after a pause of this node.

        Parameters
        ----------
        seconds : float
            Length of the pause.
        """
        for record in self._records.values():
            if record.suspicion_deadline is not None:
                record.suspicion_deadline += seconds

    def leave(self) -> None:
        """Announce that this node is leaving."""
        own = _in_state(self._own, STATE_LEAVING)
        own.refutation += 1
        self._set_own(own)

    def renew(self, incarnation: Incarnation) -> None:
        """Announce another incarnation of this node."""
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
        record.suspicion_deadline = self._suspicion_deadline(update)
        self._index(host, record)
        self._changed = True
        self._revision += 1
        if update.incarnation or update.state != STATE_LIVE:
            self._enqueue(update)

    def _is_expired(self, record: MemberRecord) -> bool:
        age = self._timers.now - record.changed_at
        old = age >= self._settings.tombstone_seconds
        return old and record.is_dead and not record.listed

    def _suspicion_deadline(self, update: Update) -> float | None:
        """Return the time at which a suspect of this zone is declared dead.

        The result is None for a suspect of another zone, whose death its own zone
        reports.
        """
        if update.state != STATE_SUSPECT or update.zone != self._own.zone:
            return None
        periods = self._settings.suspicion_periods
        return self._timers.now + periods * self._settings.period_seconds

    def _enqueue(self, update: Update) -> None:
        size = update.ByteSize()
        members = len(self._zones[self._own.zone])
        routine = update.state == STATE_LIVE and not update.refutation
        self._zone_queue.put(
            update.host, update, size, retransmissions(members, routine)
        )
        if update.zone == self._own.zone and update.state != STATE_SUSPECT:
            self._cross_zone_queue.put(
                update.host, update, size, CROSS_ZONE_TRANSMISSIONS
            )

    def _set_listed(self, host: str, state: str) -> None:
        record = self._records[host]
        if record.listed != state:
            record.listed = state
            self._index(host, record)
            self._changed = True

    def _index(self, host: str, record: MemberRecord) -> None:
        """Update the digests and the sets of hosts with a changed record."""
        self._digests.set(host, record.version)
        cross_zone = record.update.zone != self._own.zone
        _set_included(self._suspect_or_dead, host, record.is_suspect or record.is_dead)
        _set_included(
            self._unlisted, host, cross_zone and not (record.listed or record.is_dead)
        )

    def _remove(self, host: str) -> None:
        record = self._records.pop(host)
        zone = self._zones[record.update.zone]
        del zone[host]
        if not zone:
            del self._zones[record.update.zone]
        self._digests.set(host, None)
        self._suspect_or_dead.discard(host)
        self._unlisted.discard(host)
        self._zone_queue.drop(host)
        self._cross_zone_queue.drop(host)
        self._changed = True


def _set_included(hosts: set[str], host: str, included: bool) -> None:
    if included:
        hosts.add(host)
    else:
        hosts.discard(host)


def _in_state(update: Update, state: int) -> Update:
    copy = Update()
    copy.CopyFrom(update)
    copy.state = state
    return copy


def _listed_update(member: ListedMember) -> Update:
    return Update(
        host=member.host, zone=member.zone, peer=member.peer, service=member.service
    )
