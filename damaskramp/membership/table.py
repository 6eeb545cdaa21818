"""Immutable table of the members that a node knows."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from damaskramp.core import HostId, Incarnation, ServiceName, ZoneName

__all__ = ["Member", "MemberState", "MemberTable"]

NO_INCARNATION = Incarnation(0)


class MemberState(Enum):
    """State of a member as this node knows it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# This is a constant because access to members of an `Enum` is slow and calls
# check the state often.
WORK_ACCEPTING_STATES = (MemberState.LIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """A member as other nodes know it.

    Attributes
    ----------
    host, zone
        Host of the node and its zone.
    peer : str
        ``IP:PORT`` where the node listens for other nodes.
    service : ServiceName
        Service of the node's backend server, empty if it has none.
    incarnation : Incarnation
        Incarnation of the node, 0 if only the host list shows it.
    """

    host: HostId
    zone: ZoneName
    peer: str
    service: ServiceName
    state: MemberState = MemberState.LIVE
    incarnation: Incarnation = NO_INCARNATION

    @property
    def takes_work(self) -> bool:
        """Whether new calls may be sent to the member."""
        return self.state in WORK_ACCEPTING_STATES


class MemberTable:
    """Members by host and by service.

    Parameters
    ----------
    members : iterable of Member
        Members, at most one for each host.
    """

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._by_host = {member.host: member for member in members}
        self._by_service: dict[ServiceName, list[Member]] = {}
        for member in self._by_host.values():
            if member.service and member.takes_work:
                self._by_service.setdefault(member.service, []).append(member)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_host.values())

    def __len__(self) -> int:
        return len(self._by_host)

    def get(self, host: HostId) -> Member | None:
        """Return the member on a host, or None."""
        return self._by_host.get(host)

    def serving(self, service: ServiceName) -> tuple[Member, ...]:
        """Return members whose backend server runs `service` and takes new calls."""
        return tuple(self._by_service.get(service, ()))

    def in_zone(self, zone: ZoneName) -> tuple[Member, ...]:
        """Return the members of one zone that are not dead."""
        return tuple(
            member
            for member in self._by_host.values()
            if member.zone == zone and member.state is not MemberState.DEAD
        )
