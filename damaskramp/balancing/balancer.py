"""Interface of load balancing over the members that serve one service."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from damaskramp.admission import Load
from damaskramp.core import HostId
from damaskramp.membership import Member

__all__ = ["Attempt", "AttemptResult", "LoadBalancer"]


class AttemptResult(Enum):
    """What was observed of one attempt."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Observation of one attempt at a host.

    Attributes
    ----------
    seconds : float
        Time from sending to answer.
    load : Load or None
        Load that rode on the answer.
    """

    host: HostId
    result: AttemptResult
    seconds: float
    load: Load | None = None


class LoadBalancer(ABC):
    """Chooses among the members of a service by what was observed."""

    @abstractmethod
    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Choose a member outside `avoid`; None where none is left."""

    @abstractmethod
    def started(self, host: HostId) -> None:
        """Record that an attempt was sent."""

    @abstractmethod
    def finished(self, attempt: Attempt) -> None:
        """Record what became of an attempt."""
