"""Baseline load balancer: round robin, own zone first."""

import itertools
from collections.abc import Collection, Sequence

from damaskramp.balancing.balancer import Attempt, LoadBalancer
from damaskramp.core import HostId, ZoneName
from damaskramp.membership import Member

__all__ = ["RoundRobin"]


class RoundRobin(LoadBalancer):
    """Round robin over the own zone, or over all zones if it has no member left.

    Parameters
    ----------
    zone : ZoneName
        Zone of this node.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._counter = itertools.count()

    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Return the next member of the own zone, else of any zone."""
        candidates = [member for member in members if member.host not in avoid]
        own_zone_members = [
            member for member in candidates if member.zone == self._zone
        ]
        pool = own_zone_members or candidates
        return pool[next(self._counter) % len(pool)] if pool else None

    def started(self, host: HostId) -> None:
        """Ignore the attempt."""

    def finished(self, attempt: Attempt) -> None:
        """Ignore the observation."""
