"""HTTP requests and responses as immutable values."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

__all__ = [
    "BODILESS_STATUSES",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "IncompleteResponseError",
    "is_status",
    "split_target",
]

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that never have a body."""

MIN_STATUS, MAX_STATUS = 100, 599
"""Range of statuses (RFC 9110, section 15); parsers accept any three digits."""

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of name and value of header fields; names are in lower case."""


class IncompleteResponseError(ConnectionError):
    """The rest of a response did not arrive."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """HTTP request with its whole body.

    Attributes
    ----------
    method : str
        Method in upper case.
    target : str
        Path and query as sent.
    headers : Headers
        All header fields.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def values(self, name: bytes) -> list[bytes]:
        """All values of a header field."""
        return [value for key, value in self.headers if key == name]

    def value(self, name: bytes) -> bytes | None:
        """First value of a header field."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response, either whole or with a tail that is still to be read.

    Attributes
    ----------
    body : bytes
        Whole body, or its beginning if `tail` is given.
    tail : async iterator of bytes or None
        Rest of the body. If the iterator raises an exception, the connection is closed,
        so that the receiver detects the incomplete response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    tail: AsyncIterator[bytes] | None = field(default=None, compare=False)

    def value(self, name: bytes) -> bytes | None:
        """First value of a header field."""
        return next((value for key, value in self.headers if key == name), None)


def is_status(status: int) -> bool:
    """Return whether a number is a status. An answer with any other one is broken.

    Examples
    --------
    >>> is_status(200), is_status(0), is_status(600)
    (True, False, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS


def split_target(target: str) -> tuple[str, str]:
    """Split a request target into path and query.

    Examples
    --------
    >>> split_target("/draws/3?round=2")
    ('/draws/3', 'round=2')
    """
    path, _, query = target.partition("?")
    return path, query
