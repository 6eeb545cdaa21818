"""Interfaces between entry nodes, homes and the nodes that keep copies of claims."""

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
        Namespace of the id; equal ids of different scopes are distinct.
    first_attempt : bool
        Whether the caller states that it never sent this id before.
    look_only : bool
        Whether to report what is known of the id without releasing the call.
    """

    call: Call
    scope: str
    first_attempt: bool = False
    look_only: bool = False


class CopyResult(Enum):
    """Result of sending the copy of a claim.

    ``FENCED`` means that the sender no longer owns the range, ``KNOWN`` that another
    home claimed the id before.
    """

    LOST = 0
    KEPT = 1
    FENCED = 2
    KNOWN = 3


@dataclass(frozen=True, slots=True)
class ClaimCopy:
    """Copy of a claim for a second node to keep.

    Attributes
    ----------
    home : Owner
        Node that made the claim.
    probe : bool
        Whether the node reports if it would keep the copy, without keeping it.
    """

    key: ClaimKey
    fingerprint: bytes
    home: Owner
    probe: bool = False


class Releaser(ABC):
    """Interface that runs a claimed call on a backend server."""

    @abstractmethod
    async def dispatch(self, call: Call) -> Reply:
        """Run a call."""


class HomeMessages(ABC):
    """Messages from entry nodes to homes and from homes to the keepers of copies."""

    @abstractmethod
    async def run(self, peer: str, home_call: HomeCall) -> Reply | None:
        """Ask a home to run a call; return None if the call was provably not sent."""

    @abstractmethod
    async def copy(self, peer: str, copy: ClaimCopy, timeout: float) -> CopyResult:
        """Ask a node to keep a copy of a claim, and wait `timeout` seconds at most."""


def history_lost(first_attempt: bool, detail: str) -> Reply:
    """Return a reply for an id whose earlier attempts can't be accounted for.

    The call is not released now, so an id that was never sent before has not run.
    """
    outcome = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
    return Reply(outcome, Reason.HISTORY_LOST, detail=detail)


def unreachable(first_attempt: bool) -> Reply:
    """Return a reply for an id whose home can't be asked.

    Only a caller that sends an id for the first time can be told that it has not
    run, because this node does not know the outcome of earlier attempts.
    """
    outcome = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
    return Reply(outcome, Reason.HOME_UNREACHABLE, retry_after=UNREACHABLE_HINT_SECONDS)
