"""Immutable table of the members that a node knows."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from damaskramp.core import HostId, Incarnation, ServiceName, ZoneName

__all__ = ["Member", "MemberState", "MemberTable"]

NO_INCARNATION = Incarnation(0)


class MemberState(Enum):
    """What is believed of a member."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# A constant, since looking up members of an `Enum` is slow and calls ask often.
TAKING_WORK = (MemberState.LIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """A node as others see it.

    Attributes
    ----------
    peer : str
        ``IP:PORT`` where the node listens for other nodes.
    service : ServiceName
        Service of its backend server, empty where it has none.
    incarnation : Incarnation
        0 where only the host list has told of it.
    """

    host: HostId
    zone: ZoneName
    peer: str
    service: ServiceName
    state: MemberState = MemberState.LIVE
    incarnation: Incarnation = NO_INCARNATION

    @property
    def takes_work(self) -> bool:
        """Whether new calls may be sent there."""
        return self.state in TAKING_WORK


class MemberTable:
    """Members by host and by service.

    Parameters
    ----------
    members : iterable of Member
        At most one a host.
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
        """Member on a host."""
        return self._by_host.get(host)

    def serving(self, service: ServiceName) -> tuple[Member, ...]:
        """Members whose backend server runs `service` and takes new work."""
        return tuple(self._by_service.get(service, ()))

    def in_zone(self, zone: ZoneName) -> tuple[Member, ...]:
        """Members of one zone that are not dead."""
        return tuple(
            member
            for member in self._by_host.values()
            if member.zone == zone and member.state is not MemberState.DEAD
        )
