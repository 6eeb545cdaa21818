"""HTTP requests and responses as immutable values."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

__all__ = [
    "BODILESS_STATUSES",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "IncompleteResponseError",
    "split_target",
]

BODILESS_STATUSES = frozenset({204, 304})

Headers = tuple[tuple[bytes, bytes], ...]
"""Name and value pairs; names are lower case."""


class IncompleteResponseError(ConnectionError):
    """The rest of an answer did not come."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Attributes
    ----------
    method : str
        Upper-case method.
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
    """A response, whole or with a tail that is still to come.

    Attributes
    ----------
    body : bytes
        Whole body, or its beginning where `tail` is given.
    tail : async iterator of bytes or None
        Rest of the body. An exception from it closes the connection, so that the
        receiver sees a broken answer.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    tail: AsyncIterator[bytes] | None = field(default=None, compare=False)

    def value(self, name: bytes) -> bytes | None:
        """First value of a header field."""
        return next((value for key, value in self.headers if key == name), None)


def split_target(target: str) -> tuple[str, str]:
    """Split a target into path and query.

    Examples
    --------
    >>> split_target("/draws/3?round=2")
    ('/draws/3', 'round=2')
    """
    path, _, query = target.partition("?")
    return path, query
