"""Baseline: own zone first, then round robin."""

import itertools
from collections.abc import Collection, Sequence

from damaskramp.balancing.balancer import Attempt, LoadBalancer
from damaskramp.core import HostId, ZoneName
from damaskramp.membership import Member

__all__ = ["RoundRobin"]


class RoundRobin(LoadBalancer):
    """Round robin over the own zone, and over the others where it has none left.

    Parameters
    ----------
    zone : ZoneName
        Zone of the choosing node.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._turns = itertools.count()

    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Choose the next member of the own zone, else of any zone."""
        left = [member for member in members if member.host not in avoid]
        near = [member for member in left if member.zone == self._zone]
        pool = near or left
        return pool[next(self._turns) % len(pool)] if pool else None

    def started(self, host: HostId) -> None:
        """Ignore the attempt."""

    def finished(self, attempt: Attempt) -> None:
        """Ignore the observation."""
