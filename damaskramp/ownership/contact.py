"""What a node holds of another node of its zone."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation
from damaskramp.ownership.ownership import Owner

__all__ = ["Contact"]

NEVER = float("-inf")
NO_INCARNATION = Incarnation(0)


@dataclass(slots=True)
class Contact:
    """Another node of the zone.

    Attributes
    ----------
    heard : float
        Time of the last sign of life, by any path, or of first being listed.
    fresh : float
        Time of the last sign of life of `incarnation` itself.
    incarnation : Incarnation
        Greatest that it has shown; 0 for none.
    ranked : bool
        Whether that incarnation was acknowledged, or told that it is active.
    acknowledged : bool
        Whether it has acknowledged the present incarnation of this node.
    sponsored_at : float
        When the last answer was asked for that makes it a sponsor.
    retires_at : float
        When a leaving incarnation stops counting.
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
        """Take note of an incarnation; False where a newer one is known."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.ranked = False
            self.acknowledged = False
            self.sponsored_at = NEVER
            self.retires_at = -NEVER
        return incarnation == self.incarnation

    def is_silent(self, now: float, seconds: float) -> bool:
        """Whether there was no sign of life for `seconds`."""
        return now - self.last_heard >= seconds

    def is_eligible(self, now: float, seconds: float) -> bool:
        """Whether it takes part in the ranking."""
        return (
            self.ranked and now < self.retires_at and not self.is_silent(now, seconds)
        )

    def as_owner(self) -> Owner:
        """Identity of its incarnation."""
        return Owner(self.host, self.incarnation, self.peer)
