"""Interfaces between homes, their callers and the nodes that keep copies."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from damaskramp.core import Outcome, Reason
from damaskramp.dedup import ClaimKey
from damaskramp.node.calls import Call, Reply
from damaskramp.ownership import Owner

__all__ = [
    "UNREACHABLE_HINT_SECONDS",
    "ClaimCopy",
    "CopyResult",
    "HomeCall",
    "HomeMessages",
    "Releaser",
    "history_lost",
    "unreachable",
]

UNREACHABLE_HINT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class HomeCall:
    """A call on its way to the home of its request id.

    Attributes
    ----------
    scope : str
        Ids of different scopes never meet.
    first_attempt : bool
        Whether the caller states that it never sent this id before.
    look_only : bool
        Whether to tell what is known of the id and release nothing.
    """

    call: Call
    scope: str
    first_attempt: bool = False
    look_only: bool = False


class CopyResult(Enum):
    """What became of the copy of a claim.

    ``FENCED`` tells that the sender is not the owner of the range any more,
    ``KNOWN`` that another home claimed the id before.
    """

    LOST = 0
    KEPT = 1
    FENCED = 2
    KNOWN = 3


@dataclass(frozen=True, slots=True)
class ClaimCopy:
    """A claim for a second node to keep.

    Attributes
    ----------
    home : Owner
        Node that made the claim.
    probe : bool
        Whether to keep nothing and tell only whether the copy would be kept.
    """

    key: ClaimKey
    fingerprint: bytes
    home: Owner
    probe: bool = False


class Releaser(ABC):
    """Runs a claimed call on some backend server."""

    @abstractmethod
    async def dispatch(self, call: Call) -> Reply:
        """Run a call."""


class HomeMessages(ABC):
    """Messages between entry nodes, homes and holders of copies."""

    @abstractmethod
    async def run(self, peer: str, home_call: HomeCall) -> Reply | None:
        """Have a home run a call; None where it was provably not sent."""

    @abstractmethod
    async def copy(self, peer: str, copy: ClaimCopy, timeout: float) -> CopyResult:
        """Have a node keep a copy of a claim."""


def history_lost(first_attempt: bool, detail: str) -> Reply:
    """Reply for an id whose earlier attempts can't be accounted for.

    It is not released now, so one that was never sent before has not run.
    """
    outcome = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
    return Reply(outcome, Reason.HISTORY_LOST, detail=detail)


def unreachable(first_attempt: bool) -> Reply:
    """Reply where the home of an id can't be asked.

    Only a caller that sends an id for the first time can be told that it has not
    run: nobody here knows what became of earlier attempts.
    """
    outcome = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
    return Reply(outcome, Reason.HOME_UNREACHABLE, retry_after=UNREACHABLE_HINT_SECONDS)
