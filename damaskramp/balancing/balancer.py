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
    """Result of one attempt."""

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
        Time from sending the call until its answer.
    load : Load or None
        Load that the answer reported.
    """

    host: HostId
    result: AttemptResult
    seconds: float
    load: Load | None = None


class LoadBalancer(ABC):
    """Chooses a member of a service, informed of the result of each attempt."""

    @abstractmethod
    def choose(
        self, members: Sequence[Member], avoid: Collection[HostId]
    ) -> Member | None:
        """Return a member whose host is not in `avoid`; None if there is none."""

    @abstractmethod
    def started(self, host: HostId) -> None:
        """Record that an attempt was sent."""

    @abstractmethod
    def finished(self, attempt: Attempt) -> None:
        """Record the result of an attempt."""
