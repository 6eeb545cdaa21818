"""Answers of backend servers, and the interface that receives them."""

from abc import ABC, abstractmethod
from enum import Enum

from damaskramp.dispatch import parse_pace
from damaskramp.relay.body_source import BodySource
from damaskramp.relay.headers import Field, ReservedNames, remaining_fields
from damaskramp.relay.server_notice import ServerNotice, parse_notice

__all__ = ["Exchange", "ExchangeFailure", "ServerAnswer"]


class ExchangeFailure(Enum):
    """Way in which a request to a backend server failed."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    BROKEN = "broken"
    TOO_LARGE = "too_large"


class ServerAnswer:
    """Answer of a backend server.

    Attributes
    ----------
    body : bytes or BodySource
        The body; a large one has to be taken or closed, and may still be arriving.
    not_executed : bool
        Whether the server states that it has not run the request.
    signed : bool
        Whether the answer has a signature of the server.
    load : bytes
        Load that the server reports, as sent.
    limit_values, leaving_values : tuple of bytes
        Values of the fields by which the server limits its requests and announces that
        it is leaving, as sent.
    """

    __slots__ = (
        "body",
        "headers",
        "leaving_values",
        "length",
        "limit_values",
        "load",
        "not_executed",
        "signed",
        "status",
    )

    def __init__(self, status: int) -> None:
        self.status = status
        self.headers: list[Field] = []
        self.body: bytes | BodySource = b""
        self.not_executed = False
        self.signed = False
        self.load = b""
        self.length = b""
        self.limit_values: tuple[bytes, ...] = ()
        self.leaving_values: tuple[bytes, ...] = ()

    @property
    def is_unsigned_success(self) -> bool:
        """Whether the answer is a success that its server has not signed."""
        return 200 <= self.status < 300 and not self.signed

    @property
    def notice(self) -> ServerNotice:
        """What the head says about the server itself."""
        return parse_notice(self.limit_values, self.leaving_values)

    @property
    def pace(self) -> float:
        """Pace of the server as a multiple of the usual; 0 if it states none."""
        return parse_pace(self.load) if self.load else 0.0

    def head(self, names: ReservedNames) -> bytes:
        """Build the header block for the caller, with the length of the body."""
        fields = remaining_fields(self.headers, names.dropped_from_response)
        parts = [b"%b: %b\r\n" % field[1:] for field in fields]
        if self.status not in (204, 304):
            length = self.length if self.length and not self.body else b""
            parts.append(b"Content-Length: %b\r\n" % (length or b"%d" % len(self.body)))
        return b"".join(parts)


class Exchange(ABC):
    """Request to a backend server; receives the answer or the failure."""

    @abstractmethod
    def head_received(self, answer: ServerAnswer) -> None:
        """Handle the head of the answer, before its body."""

    @abstractmethod
    def answered(self, answer: ServerAnswer) -> None:
        """Handle the answer: complete, or with a body that is still arriving."""

    @abstractmethod
    def body_ended(self, complete: bool) -> None:
        """Handle the end of a body that was still arriving when it was handed on.

        Parameters
        ----------
        complete : bool
            False if its taker has given it up. A failure of the server is reported by
            `failed` instead.
        """

    @abstractmethod
    def failed(self, failure: ExchangeFailure) -> None:
        """Handle the failure; UNREACHABLE means that no byte was sent."""
