"""Values that describe the warm-up of a backend server."""

from dataclasses import dataclass
from enum import Enum

from damaskramp.fleet.model import ServerId

__all__ = ["UNKNOWN_SERVER", "HealthAnswer", "Warmth", "WarmupSettings"]

UNKNOWN_SERVER = ServerId("")
"""Stands for the id of a server that states none."""


@dataclass(frozen=True, slots=True)
class WarmupSettings:
    """Bound on the requests that a cold server may get within one second.

    The bound is ``rate * overshoot + slack``, with the rate that its service tolerates.
    Without either value there is no bound.

    Attributes
    ----------
    overshoot : float or None
        Multiple of the tolerated rate.
    slack : float or None
        Further requests a second.
    """

    overshoot: float | None = None
    slack: float | None = None

    @property
    def is_stated(self) -> bool:
        """Whether the installation bounds the requests to cold servers."""
        return self.overshoot is not None and self.slack is not None


class Warmth(Enum):
    """What is known of a server's warm-up."""

    WARM = "warm"
    COLD = "cold"
    ASSUMED_COLD = "assumed_cold"


@dataclass(frozen=True, slots=True)
class HealthAnswer:
    """Answer of a server to a health check.

    Attributes
    ----------
    server : ServerId
        Id that the server states; empty if it states none.
    warmup_left : float or None
        Seconds until the warm-up ends; None if the answer doesn't tell.
    """

    server: ServerId = UNKNOWN_SERVER
    warmup_left: float | None = None
