"""Interface of admission control at one backend server, and simple baselines."""

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
        Priority class of the call; 0 is the most important.
    depth : int
        Number of hops that the request has already taken; 0 at its entry node.
    deadline : float
        Monotonic time in seconds after which the answer is of no use.
    """

    request_id: RequestId
    team: TeamId
    priority: int
    depth: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Observation of an admitted call.

    Attributes
    ----------
    seconds : float
        Time from sending the call to the backend server until its answer.
    overloaded : bool
        Whether the backend server itself shed the call or let it time out.
    nested_seconds : float
        Part of `seconds` in which the call waited for calls to other services.
    """

    seconds: float
    overloaded: bool
    nested_seconds: float = 0.0

    @property
    def own_seconds(self) -> float:
        """Seconds that the backend server itself spent on the call."""
        return max(0.0, self.seconds - self.nested_seconds)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a call that was not admitted.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller should retry.
    """

    reason: Reason
    retry_after: float = RETRY_AFTER_SECONDS
    outcome: Outcome = Outcome.NOT_RUN


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a backend server as observed by its node.

    Attributes
    ----------
    shed_level : float
        Calls with a rank above this level are shed; infinite if no call is shed.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    shed_level: float = float("inf")
    leaving: bool = False


class Permit(ABC):
    """Permission to run one call."""

    @abstractmethod
    def release(self, sample: Sample | None) -> None:
        """Return the permit; `sample` is None if the call gave no observation."""

    def park(self) -> None:  # noqa: B027
        """Record that the call waits for a call to another service."""

    def resume(self) -> None:  # noqa: B027
        """Record that the call no longer waits for another service."""


class AdmissionController(ABC):
    """Decides which calls run on one backend server."""

    @property
    @abstractmethod
    def load(self) -> Load:
        """Current load."""

    @abstractmethod
    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Return a permit, once one is free, or a refusal."""

    def load_for(self, team: TeamId) -> Load:
        """Current load, with the shed level of `team`."""
        del team
        return self.load

    def configure(  # noqa: B027
        self, slots: int, weights: Mapping[TeamId, float], classes: int
    ) -> None:
        """Apply a bundle: bound of the limit, team weights and number of classes."""


class FixedAdmission(AdmissionController):
    """Baseline with a fixed concurrency limit, without a queue or priorities.

    Parameters
    ----------
    limit : int
        Number of calls that may run at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._in_flight = 0

    @property
    def load(self) -> Load:
        """Current load."""
        return Load(self._in_flight, self._limit)

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Admit the call if fewer calls than the limit are running."""
        if self._in_flight >= self._limit:
            return Error(Refusal(Reason.OVERLOADED))
        self._in_flight += 1
        return Ok(_FixedPermit(self))

    def record_end(self) -> None:
        """Record that one call ended."""
        self._in_flight -= 1


class _FixedPermit(Permit):
    def __init__(self, owner: FixedAdmission) -> None:
        self._owner = owner

    def release(self, sample: Sample | None) -> None:
        self._owner.record_end()


class UnlimitedAdmission(FixedAdmission):
    """Baseline that admits every call immediately."""

    def __init__(self) -> None:
        super().__init__(sys.maxsize)

    @property
    def load(self) -> Load:
        """Current load; a limit of 0 means unlimited."""
        return Load(self._in_flight, 0)
