"""Header fields that the relay reads, sets or removes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = [
    "HOP_BY_HOP",
    "OPTIONAL_WHITESPACE",
    "Field",
    "HeaderNames",
    "ReservedNames",
    "names_fields",
    "remaining_fields",
    "without_fields",
]

Field = tuple[bytes, bytes, bytes]
"""Lower-case name, name as sent, value."""

OPTIONAL_WHITESPACE = b" \t"
"""Bytes that may surround the value of a field and are no part of it (RFC 9110, section
5.5); the parser leaves those that follow it."""

NON_FIELD_OPTIONS = frozenset({b"close", b"keep-alive"})
"""Values of the Connection field that name no other header field."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that apply to a single connection (RFC 9110, section 7.6.1)."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names that an installation gives to the relay's header fields.

    Attributes
    ----------
    deadline_ms : bytes
        Milliseconds that the caller waits, counted from the sending of the request.
    key, key_scheme : bytes
        Field of the caller's key, and the word that precedes the key in it.
    team : bytes
        Team of the key, for the backend server.
    calling_service : bytes
        Service of the host that the request came from, for the backend server.
    expected_server : bytes
        Id of the only backend server that may run the request.
    not_executed : bytes
        Present if a backend server states that it has not run the request.
    load : bytes
        Running, waiting and slots of the answering backend server.
    signature : bytes
        Signature of the backend server over its answer.
    rate_limit : bytes
        Requests a second that the answering backend server takes from all hosts
        together.
    leaving : bytes
        Whether the answering backend server is leaving.
    server_id, warmup_ms : bytes
        In answers to health checks, the id of the backend server and the milliseconds
        until it is warm.
    """

    request_id: bytes
    deadline_ms: bytes
    key: bytes
    key_scheme: bytes
    team: bytes
    calling_service: bytes
    expected_server: bytes
    not_executed: bytes
    load: bytes
    signature: bytes
    rate_limit: bytes
    leaving: bytes
    server_id: bytes
    warmup_ms: bytes


class ReservedNames:
    """Lower-case names of the relay's fields, in the form that parsers compare."""

    def __init__(self, names: HeaderNames) -> None:
        self.request_id = names.request_id.lower()
        self.deadline_ms = names.deadline_ms.lower()
        self.key = names.key.lower()
        self.not_executed = names.not_executed.lower()
        self.load = names.load.lower()
        self.signature = names.signature.lower()
        self.rate_limit = names.rate_limit.lower()
        self.leaving = names.leaving.lower()
        own = {
            self.deadline_ms,
            self.key,
            names.team.lower(),
            names.calling_service.lower(),
            names.expected_server.lower(),
            b"content-length",
            b"expect",
        }
        self.dropped_from_request = HOP_BY_HOP | own
        self.dropped_from_response = HOP_BY_HOP | {self.load, b"content-length"}


def remaining_fields(
    headers: Iterable[Field], dropped: frozenset[bytes]
) -> Iterator[Field]:
    """Yield the fields that are forwarded, without dropped and hop-by-hop fields.

    Parameters
    ----------
    headers : iterable of Field
        Lower-case name, name as sent, value.

    Examples
    --------
    >>> names = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"A", b"2")]
    >>> fields = [(name.lower(), name, value) for name, value in names]
    >>> list(remaining_fields(fields, HOP_BY_HOP))
    [(b'a', b'A', b'2')]
    """
    for lower, _, value in headers:
        if lower == b"connection" and value.lower() not in NON_FIELD_OPTIONS:
            listed = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | listed
    for field in headers:
        if field[0] not in dropped:
            yield field


def names_fields(connection: bytes) -> bool:
    """Return whether a value of the Connection field names other header fields."""
    return connection.lower() not in NON_FIELD_OPTIONS


def without_fields(lines: bytes | bytearray, listed: bytes) -> bytes:
    r"""Return the lines of header fields whose names are not listed.

    Parameters
    ----------
    lines : bytes or bytearray
        Header fields, each ended by CRLF.
    listed : bytes
        Names separated by commas, in any case.

    Examples
    --------
    >>> without_fields(b"A: 1\r\nX-Hop: 2\r\nB: 3\r\n", b"close, x-HOP")
    b'A: 1\r\nB: 3\r\n'
    """
    dropped = {part.strip().lower() for part in listed.split(b",")}
    kept = [
        line
        for line in bytes(lines).split(b"\r\n")
        if line and line.partition(b":")[0].lower() not in dropped
    ]
    return b"".join(line + b"\r\n" for line in kept)
