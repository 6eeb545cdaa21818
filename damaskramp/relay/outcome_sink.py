"""Receiver of the outcome of a call, and the function that cancels the call."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from damaskramp.core import Reason
from damaskramp.dispatch import Load
from damaskramp.relay.body_source import BodySource

__all__ = ["Cancel", "OutcomeSink"]

Cancel = Callable[[], bool]
"""Cancels a call; returns True if the call has run nowhere and never will."""


class OutcomeSink(ABC):
    """Receiver of the outcome of a call."""

    @abstractmethod
    def answer_started(self) -> None:
        """Handle that the server has answered, and the body of the answer is coming.

        The call may still fail, if the body breaks off before the answer is handed on.
        """

    @abstractmethod
    def answered(
        self, status: int, head: bytes, body: bytes | BodySource, load: Load
    ) -> None:
        """Handle the server's answer; a large body has to be taken or closed."""

    @abstractmethod
    def refused(
        self, reason: Reason, wait: float, arrived: bool, load: Load | None
    ) -> None:
        """Handle the refusal of the call, which has not run.

        Parameters
        ----------
        wait : float
            Seconds until the server is likely to have room.
        arrived : bool
            Whether the call has reached the server, which then refused it.
        load : Load or None
            Load of the server; None if its node could not be reached.
        """

    @abstractmethod
    def failed(self, reason: Reason, load: Load | None) -> None:
        """Handle a failure: the call may have run, but no answer can be passed on."""
