"""Attempts: one request sent to one backend server, and the receiver of its outcome."""

import asyncio
from abc import ABC, abstractmethod

from damaskramp.core import Reason
from damaskramp.dispatch import Load
from damaskramp.fleet import BackendServer
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.outcome_sink import Cancel, OutcomeSink

__all__ = ["AttemptOwner", "ServerAttempt"]


class AttemptOwner(ABC):
    """Request that may have open attempts at several servers at once."""

    @abstractmethod
    def answered(
        self,
        attempt: "ServerAttempt",
        status: int,
        head: bytes,
        body: bytes | BodySource,
        load: Load,
    ) -> None:
        """Handle the answer of an attempt."""

    @abstractmethod
    def answer_started(self, attempt: "ServerAttempt") -> None:
        """Handle that the answer of an attempt is on its way."""

    @abstractmethod
    def refused(
        self,
        attempt: "ServerAttempt",
        reason: Reason,
        wait: float,
        arrived: bool,
        load: Load | None,
    ) -> None:
        """Handle the refusal of an attempt, which has not run.

        The parameters are those of `OutcomeSink.refused`.
        """

    @abstractmethod
    def failed(
        self, attempt: "ServerAttempt", reason: Reason, load: Load | None
    ) -> None:
        """Handle the failure of an attempt that may have run, without an answer."""


class ServerAttempt(OutcomeSink):
    """One request sent to one server.

    Attributes
    ----------
    fail_fast : bool
        Whether the server should refuse the request rather than queue it long.
    is_open : bool
        Whether the attempt still waits for its outcome.
    hedged : bool
        Whether the request was sent to a second server because this one stayed silent.
    cancel : callable or None
        Cancels the attempt at the server.
    hedge_timer : asyncio.TimerHandle or None
        Timer after which the request is sent to a second server.
    """

    __slots__ = (
        "_owner",
        "cancel",
        "fail_fast",
        "hedge_timer",
        "hedged",
        "is_open",
        "server",
    )

    def __init__(
        self, owner: AttemptOwner, server: BackendServer, fail_fast: bool
    ) -> None:
        self._owner = owner
        self.fail_fast = fail_fast
        self.server = server
        self.is_open = True
        self.hedged = False
        self.cancel: Cancel | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None

    def withdraw(self) -> bool:
        """Cancel the attempt; return whether it has not run and never will."""
        self.close()
        return self.cancel is not None and self.cancel()

    def close(self) -> None:
        """Stop the hedge timer and ignore any later outcome."""
        self.is_open = False
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
            self.hedge_timer = None

    def answer_started(self) -> None:
        """Tell the owner that the server's answer is on its way."""
        if self.is_open:
            self._owner.answer_started(self)

    def answered(
        self, status: int, head: bytes, body: bytes | BodySource, load: Load
    ) -> None:
        """Pass the server's answer to the owner."""
        if self.is_open:
            self._owner.answered(self, status, head, body, load)
        else:
            discard_body(body)

    def refused(
        self, reason: Reason, wait: float, arrived: bool, load: Load | None
    ) -> None:
        """Tell the owner that the server has not run the request."""
        if self.is_open:
            self._owner.refused(self, reason, wait, arrived, load)

    def failed(self, reason: Reason, load: Load | None) -> None:
        """Tell the owner that there is no answer."""
        if self.is_open:
            self._owner.failed(self, reason, load)
