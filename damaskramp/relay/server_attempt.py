"""One request at one backend server, and who is told how it ends."""

import asyncio
from abc import ABC, abstractmethod

from damaskramp.core import Reason
from damaskramp.dispatch import Load
from damaskramp.fleet import BackendServer
from damaskramp.relay.execution import Cancel, OutcomeSink

__all__ = ["AttemptOwner", "ServerAttempt"]


class AttemptOwner(ABC):
    """A request that may be at several servers at once."""

    @abstractmethod
    def answered(
        self,
        attempt: "ServerAttempt",
        status: int,
        head: bytes,
        body: bytes,
        load: Load,
    ) -> None:
        """Take the answer of an attempt."""

    @abstractmethod
    def refused(
        self,
        attempt: "ServerAttempt",
        reason: Reason,
        wait: float,
        arrived: bool,
        load: Load | None,
    ) -> None:
        """Take that an attempt has not run; see `OutcomeSink.refused`."""

    @abstractmethod
    def failed(
        self, attempt: "ServerAttempt", reason: Reason, load: Load | None
    ) -> None:
        """Take that an attempt may have run, without an answer."""


class ServerAttempt(OutcomeSink):
    """One request at one server.

    Attributes
    ----------
    eager : bool
        Whether the server was to refuse it rather than have it wait long.
    is_open : bool
        Whether its outcome is still waited for.
    doubted : bool
        Whether the server has been silent for so long that another was asked.
    cancel : callable or None
        Ends the attempt where it runs.
    doubt : asyncio.TimerHandle or None
        When the server is doubted.
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
        """Cancel the attempt; return whether it has run nowhere and never will."""
        self.close()
        return self.cancel is not None and self.cancel()

    def close(self) -> None:
        """Take no outcome any more."""
        self.is_open = False
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
            self.hedge_timer = None

    def answered(self, status: int, head: bytes, body: bytes, load: Load) -> None:
        """Take the server's answer."""
        if self.is_open:
            self._owner.answered(self, status, head, body, load)

    def refused(
        self, reason: Reason, wait: float, arrived: bool, load: Load | None
    ) -> None:
        """Take that the server has not run it."""
        if self.is_open:
            self._owner.refused(self, reason, wait, arrived, load)

    def failed(self, reason: Reason, load: Load | None) -> None:
        """Take that there is no answer."""
        if self.is_open:
            self._owner.failed(self, reason, load)
