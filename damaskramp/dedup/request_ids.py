"""Request ids issued by nodes, and request ids chosen by callers.

An issued id names its home, which is the one incarnation of a node that may release
the request, and the time of issue on that incarnation's monotonic clock. A keyed
digest binds the id to the team that it was issued to, so the home keeps no record of
the ids that it issued. A caller's own id may start with the name of its home zone.
"""

import hashlib
import hmac
import itertools
import re
import uuid
from dataclasses import dataclass

from expression import Error, Ok, Result

from damaskramp.core import (
    HostId,
    Incarnation,
    RequestId,
    TimerService,
    ZoneName,
)

__all__ = [
    "ClaimKey",
    "IssuedId",
    "OwnId",
    "RequestIdIssuer",
    "claim_key",
    "fingerprint",
    "parse_request_id",
    "uuid7_seconds",
]

ISSUED_PREFIX = "drq1~"
ZONED_PREFIX = "drz1~"
MAX_ID_LENGTH = 256
TAG_BYTES = 10
DIGEST_BYTES = 16
MILLISECONDS = 1000

NAME = r"[A-Za-z0-9._-]{1,64}"
ISSUED_ID = re.compile(
    rf"drq1~({NAME})~({NAME})~([0-9a-f]{{1,16}})~([0-9a-f]{{1,12}})"
    rf"~([0-9a-f]{{1,12}})~([0-9a-f]{{{2 * TAG_BYTES}}})"
)
ZONED_ID = re.compile(rf"drz1~({NAME})~[!-~]{{1,128}}")
PLAIN_ID = re.compile(r"[!-~]{1,128}")
UUID = re.compile(r"[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")

NO_ZONE = ZoneName("")

ClaimKey = bytes
"""Digest of a scope and a request id; its first byte is the number of its range."""


@dataclass(frozen=True, slots=True)
class IssuedId:
    """A request id issued by a node.

    Attributes
    ----------
    text : RequestId
        The whole id.
    zone, host, incarnation
        Home of the id.
    issued : int
        Time of issue in milliseconds since the home's incarnation started.
    serial : int
        Number that distinguishes ids issued in one millisecond.
    tag : str
        Hexadecimal digest that binds the id to its team.
    """

    text: RequestId
    zone: ZoneName
    host: HostId
    incarnation: Incarnation
    issued: int
    serial: int
    tag: str


@dataclass(frozen=True, slots=True)
class OwnId:
    """A request id chosen by a caller.

    Attributes
    ----------
    zone : ZoneName
        Home zone that the id names, empty if it names none.
    """

    text: RequestId
    zone: ZoneName = NO_ZONE


def parse_request_id(text: str) -> Result[IssuedId | OwnId, str]:
    """Parse a request id; the error says why the text is not one.

    Examples
    --------
    >>> parse_request_id("drz1~perth-north~ballot-7").ok.zone
    'perth-north'
    >>> parse_request_id("drq1~perth-north").error
    'malformed issued id'
    """
    if len(text) > MAX_ID_LENGTH:
        return Error("too long")
    if text.startswith(ISSUED_PREFIX):
        return _parse_issued(text)
    if text.startswith(ZONED_PREFIX):
        match = ZONED_ID.fullmatch(text)
        if match is None:
            return Error("malformed id with a zone")
        return Ok(OwnId(RequestId(text), ZoneName(match[1])))
    if PLAIN_ID.fullmatch(text) is None:
        return Error("must be 1 to 128 visible characters")
    return Ok(OwnId(RequestId(text)))


def _parse_issued(text: str) -> Result[IssuedId | OwnId, str]:
    match = ISSUED_ID.fullmatch(text)
    if match is None:
        return Error("malformed issued id")
    numbers = [int(match[position], 16) for position in (3, 4, 5)]
    if [f"{number:x}" for number in numbers] != [match[3], match[4], match[5]]:
        return Error("malformed issued id")
    return Ok(
        IssuedId(
            RequestId(text),
            ZoneName(match[1]),
            HostId(match[2]),
            Incarnation(numbers[0]),
            numbers[1],
            numbers[2],
            match[6],
        )
    )


def claim_key(scope: str, request_id: RequestId) -> ClaimKey:
    """Return the key of a claim; equal ids in two scopes have different keys."""
    data = f"{scope}\0{request_id}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest that is equal for requests of equal method, target and body."""
    digest = hashlib.blake2b(f"{method}\0{target}\0".encode(), digest_size=16)
    digest.update(body)
    return digest.digest()


def uuid7_seconds(text: str) -> float | None:
    """Return the issue time of a version 7 UUID in seconds since the epoch, or None.

    A home zone in front of the UUID is skipped.

    References
    ----------
    RFC 9562, section 5.7.

    Examples
    --------
    >>> uuid7_seconds("018bcfe5-6800-7000-8000-000000000000")
    1700000000.0
    >>> uuid7_seconds("ballot-7") is None
    True
    """
    tail = text.rpartition("~")[2]
    if UUID.fullmatch(tail) is None:
        return None
    value = uuid.UUID(tail)
    return (value.int >> 80) / MILLISECONDS if value.version == 7 else None


class RequestIdIssuer:
    """Issues request ids whose home is this incarnation, and verifies them.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    zone, host, incarnation
        Identity of this node.
    secret : bytes
        Random key of this incarnation; it never leaves the process.
    """

    def __init__(
        self,
        timers: TimerService,
        zone: ZoneName,
        host: HostId,
        incarnation: Incarnation,
        secret: bytes,
    ) -> None:
        self._timers = timers
        self._zone = zone
        self._host = host
        self._incarnation = incarnation
        self._secret = secret
        self._started_at = timers.now
        self._serials = itertools.count()

    def issue(self, scope: str) -> RequestId:
        """Issue a new id for a scope."""
        issued = int((self._timers.now - self._started_at) * MILLISECONDS)
        unsigned_text = (
            f"{ISSUED_PREFIX}{self._zone}~{self._host}~{self._incarnation:x}"
            f"~{issued:x}~{next(self._serials):x}"
        )
        return RequestId(f"{unsigned_text}~{self._tag(scope, unsigned_text)}")

    def is_home_of(self, issued: IssuedId) -> bool:
        """Return whether this incarnation is the home of an id."""
        return issued.host == self._host and issued.incarnation == self._incarnation

    def verify(self, scope: str, issued: IssuedId) -> bool:
        """Return whether this incarnation issued an id for a scope."""
        unsigned_text = issued.text.rpartition("~")[0]
        return hmac.compare_digest(self._tag(scope, unsigned_text), issued.tag)

    def issued_at(self, issued: IssuedId) -> float:
        """Return this host's monotonic time in seconds at which an id was issued."""
        return self._started_at + issued.issued / MILLISECONDS

    def _tag(self, scope: str, unsigned_text: str) -> str:
        data = f"{scope}\0{unsigned_text}".encode()
        digest = hashlib.blake2b(data, key=self._secret, digest_size=TAG_BYTES)
        return digest.hexdigest()
