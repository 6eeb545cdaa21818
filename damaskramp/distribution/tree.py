"""The tree of watches inside a zone.

Members are ranked by rendezvous. The first few are readers: they watch the
platform. Every other member watches its parent, so a new bundle falls from the
readers through a tree whose depth grows with the logarithm of the zone. Nobody
elects anybody: each node works out its place from the members that it knows, and
two nodes that know other members only watch another parent.
"""

from collections.abc import Sequence

from damaskramp.core import HostId
from damaskramp.membership import Member
from damaskramp.ownership import rank_members

__all__ = ["READERS", "WatchTree"]

READERS = 3
"""Members of a zone that watch the platform."""

FAN_OUT = 4
"""Members that watch one member."""

RESOURCE = "distribution"


class WatchTree:
    """Place of one node in its zone's tree.

    Parameters
    ----------
    own : HostId
        This host.
    members : sequence of Member
        Members of the zone that take part, this host included or not.

    Examples
    --------
    >>> from damaskramp.core import ServiceName, ZoneName
    >>> zone = ZoneName("z")
    >>> members = [
    ...     Member(HostId(f"h{n}"), zone, "127.0.0.1:1", ServiceName("s"))
    ...     for n in range(20)
    ... ]
    >>> trees = [WatchTree(member.host, members) for member in members]
    >>> sum(tree.is_reader for tree in trees)
    3
    >>> max(sum(t.parent == m for t in trees) for m in members)
    4
    """

    def __init__(self, own: HostId, members: Sequence[Member]) -> None:
        self._ranked = rank_members(members, RESOURCE)
        hosts = [member.host for member in self._ranked]
        self._position = hosts.index(own) if own in hosts else None

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the platform; true while it knows nobody."""
        return self._position is None or self._position < READERS

    @property
    def parent(self) -> Member | None:
        """Member that this node watches, None for a reader."""
        if self.is_reader:
            return None
        return self._ranked[(self._position - READERS) // FAN_OUT]

    @property
    def others(self) -> tuple[Member, ...]:
        """All members but this host."""
        return tuple(
            member
            for position, member in enumerate(self._ranked)
            if position != self._position
        )
