"""Rendezvous ranking, and ownership by the member table alone.

References
----------
D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

from damaskramp.core import HostId, Section, TimerService, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.membership import Member, MemberState, MemberTable
from damaskramp.ownership.ownership import Owner, Ownership

__all__ = ["ListedOwnership", "rank_members"]


def rank_members(members: Iterable[Member], resource: str) -> list[Member]:
    """Return members by descending rendezvous score for `resource`."""
    return sorted(
        members,
        key=lambda member: (rendezvous_score(member.host, resource), member.host),
        reverse=True,
    )


class ListedOwnership(Ownership):
    """Baseline in which the highest ranked member of the table owns a resource.

    Two nodes whose tables differ may both own the same resource, so this class
    protects nothing.

    Parameters
    ----------
    timers : TimerService
        Clock.
    own : HostId
        This host.
    zone : ZoneName
        Zone of this host.
    members : Section of MemberTable
        Known members.
    """

    def __init__(
        self,
        timers: TimerService,
        own: HostId,
        zone: ZoneName,
        members: Section[MemberTable],
    ) -> None:
        self._own = own
        self._zone = zone
        self._members = members
        self._active_since = timers.now

    @property
    def active(self) -> bool:
        """Whether this host is in the member table."""
        return self._members.value.get(self._own) is not None

    @property
    def active_since(self) -> float:
        """Monotonic time at which this object was created."""
        return self._active_since

    def successors(self, resource: str, count: int) -> tuple[Owner, ...]:
        """Return the members of the zone that are not leaving, by descending rank."""
        zone = self._members.value.in_zone(self._zone)
        candidates = [m for m in zone if m.state is not MemberState.LEAVING]
        ranked = rank_members(candidates, resource)[:count]
        return tuple(Owner(m.host, m.incarnation, m.peer) for m in ranked)

    def owns(self, resource: str) -> bool:
        """Return whether this host ranks first for `resource`."""
        owner = self.owner(resource)
        return owner is not None and owner.host == self._own

    def may_release(self, resource: str, releaser: Owner) -> bool:
        """Return whether the host of `releaser` ranks first in this node's table."""
        owner = self.owner(resource)
        return owner is not None and owner.host == releaser.host
