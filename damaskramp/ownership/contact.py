"""State that a node keeps of another node of its zone."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation
from damaskramp.ownership.ownership import Owner

__all__ = ["Contact"]

NEVER = float("-inf")
NO_INCARNATION = Incarnation(0)


@dataclass(slots=True)
class Contact:
    """Another node of the zone.

    All times are monotonic times of this node in seconds.

    Attributes
    ----------
    last_heard : float
        Time of the last heartbeat, by any path, or of first being listed.
    incarnation_last_heard : float
        Time of the last heartbeat of `incarnation` itself.
    incarnation : Incarnation
        Greatest incarnation that the node has shown; 0 for none.
    ranked : bool
        Whether this node has acknowledged `incarnation`, or `incarnation` has stated
        to this node that it is active.
    acknowledged : bool
        Whether the node has acknowledged the present incarnation of this node.
    sponsored_at : float
        Time of the last ask that the node answered as a sponsor, which is an active
        node that is in the host list.
    asked_at : float
        Time of the last ask.
    retires_at : float
        Time at which a leaving incarnation drops out of the ranking.
    """

    host: HostId
    peer: str
    last_heard: float
    incarnation_last_heard: float = NEVER
    incarnation: Incarnation = NO_INCARNATION
    ranked: bool = False
    acknowledged: bool = False
    sponsored_at: float = NEVER
    asked_at: float = NEVER
    retires_at: float = -NEVER

    def observe_incarnation(self, incarnation: Incarnation) -> bool:
        """Record an incarnation; return False if a newer one is known."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.ranked = False
            self.acknowledged = False
            self.sponsored_at = NEVER
            self.retires_at = -NEVER
        return incarnation == self.incarnation

    def is_silent(self, now: float, seconds: float) -> bool:
        """Return whether there was no heartbeat for `seconds`."""
        return now - self.last_heard >= seconds

    def is_eligible(self, now: float, seconds: float) -> bool:
        """Return whether the node takes part in the ranking."""
        return (
            self.ranked and now < self.retires_at and not self.is_silent(now, seconds)
        )

    def as_owner(self) -> Owner:
        """Return the identity of the node's incarnation."""
        return Owner(self.host, self.incarnation, self.peer)
