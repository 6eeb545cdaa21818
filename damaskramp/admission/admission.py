"""Interface of admission at one backend server, and the fixed-limit baseline."""

import sys
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from damaskramp.core import Outcome, Reason, RequestId, TeamId

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "FixedAdmission",
    "Load",
    "Permit",
    "Refusal",
    "Sample",
    "UnlimitedAdmission",
]

RETRY_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks to be admitted.

    Attributes
    ----------
    priority : int
        Rank of its class, 0 is most important.
    depth : int
        Hops that the request has already come, 0 at its entry.
    deadline : float
        Monotonic time in seconds after which its answer is worthless.
    """

    request_id: RequestId
    team: TeamId
    priority: int
    depth: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Sample:
    """What was observed of an admitted call.

    Attributes
    ----------
    seconds : float
        Time from release to answer.
    overloaded : bool
        Whether the backend server itself shed it or let it time out.
    nested_seconds : float
        Part of `seconds` in which it waited for calls to other services.
    """

    seconds: float
    overloaded: bool
    nested_seconds: float = 0.0

    @property
    def own_seconds(self) -> float:
        """Seconds in which the backend server itself had the call."""
        return max(0.0, self.seconds - self.nested_seconds)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call that was not admitted.

    Attributes
    ----------
    retry_after : float
        Seconds until another try is worth its while.
    """

    reason: Reason
    retry_after: float = RETRY_AFTER_SECONDS
    outcome: Outcome = Outcome.NOT_RUN


@dataclass(frozen=True, slots=True)
class Load:
    """State of a backend server as its node sees it.

    Attributes
    ----------
    shed_level : float
        Calls whose rank lies above this level are shed; infinite when none is.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    shed_level: float = float("inf")
    leaving: bool = False


class Permit(ABC):
    """Right to run one call."""

    @abstractmethod
    def release(self, sample: Sample | None) -> None:
        """Give the right back; None where nothing was learnt."""

    def park(self) -> None:  # noqa: B027
        """Note that the call waits for a call to another service."""

    def resume(self) -> None:  # noqa: B027
        """Note that the call no longer waits for another service."""


class AdmissionController(ABC):
    """Decides which calls run on one backend server."""

    @property
    @abstractmethod
    def load(self) -> Load:
        """Current state."""

    @abstractmethod
    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Wait for a permit, or refuse."""

    def load_for(self, team: TeamId) -> Load:
        """Current state, with the shed level that holds for `team`."""
        del team
        return self.load

    def configure(  # noqa: B027
        self, slots: int, weights: Mapping[TeamId, float], classes: int
    ) -> None:
        """Follow a bundle: bound of the limit, shares, number of classes."""


class FixedAdmission(AdmissionController):
    """Baseline: a fixed number of calls at once, no queue, no priorities.

    Parameters
    ----------
    limit : int
        Calls at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_flight = 0

    @property
    def load(self) -> Load:
        """Current state."""
        return Load(self._in_flight, self._limit)

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Admit while fewer than the limit are running."""
        if self._in_flight >= self._limit:
            return Error(Refusal(Reason.OVERLOADED))
        self._in_flight += 1
        return Ok(_FixedPermit(self))

    def leave(self) -> None:
        """Count one call as ended."""
        self._in_flight -= 1


class _FixedPermit(Permit):
    def __init__(self, owner: FixedAdmission) -> None:
        self._owner = owner

    def release(self, sample: Sample | None) -> None:
        self._owner.leave()


class UnlimitedAdmission(FixedAdmission):
    """Baseline: every call is admitted at once."""

    def __init__(self) -> None:
        super().__init__(sys.maxsize)

    @property
    def load(self) -> Load:
        """Current state; a limit of 0 stands for none."""
        return Load(self._in_flight, 0)
