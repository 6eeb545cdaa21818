"""Tree of watches inside a zone.

Members are ranked by rendezvous hashing. The first few are readers, which watch the
platform. Every other member watches its parent, so a new bundle passes from the
readers through a tree whose depth grows with the logarithm of the number of members.
There is no election: each node computes its position from the members that it knows.
If two nodes know different members, the only effect is that they watch other parents.
"""

from collections.abc import Sequence

from damaskramp.core import HostId
from damaskramp.membership import Member
from damaskramp.ownership import rank_members

__all__ = ["READERS", "WatchTree"]

READERS = 3
"""Number of members of a zone that watch the platform."""

FAN_OUT = 4
"""Maximum number of members that watch the same member."""

RANKING_RESOURCE = "distribution"
"""Resource name by which rendezvous hashing ranks the members."""


class WatchTree:
    """Position of one node in the tree of its zone.

    Parameters
    ----------
    own : HostId
        Host of this node.
    members : sequence of Member
        Members of the zone that take part, with or without this host.

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
        self._ranked = rank_members(members, RANKING_RESOURCE)
        hosts = [member.host for member in self._ranked]
        self._position = hosts.index(own) if own in hosts else None

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the platform.

        A node that knows no members yet, or not its own host among them, does so too.
        """
        return self._position is None or self._position < READERS

    @property
    def parent(self) -> Member | None:
        """Member that this node watches; None for a reader."""
        if self.is_reader:
            return None
        return self._ranked[(self._position - READERS) // FAN_OUT]

    @property
    def others(self) -> tuple[Member, ...]:
        """All members except this host."""
        return tuple(
            member
            for position, member in enumerate(self._ranked)
            if position != self._position
        )
