"""Request ids: those that the system issues and those that callers bring.

An issued id names its home, the one incarnation of a node that may release the
request, and the moment of issue on that incarnation's monotonic clock. A keyed
digest binds it to the team that it was issued to, so the home needs no memory of
the ids that it issued. A caller's own id may name its home zone in front.
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
LONGEST_ID = 256
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
"""Digest of a scope and an id; its first byte is the range that it lies in."""


@dataclass(frozen=True, slots=True)
class IssuedId:
    """An id issued by a node.

    Attributes
    ----------
    issued : int
        Milliseconds since the home's incarnation started.
    serial : int
        Tells ids of one millisecond apart.
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
    """An id chosen by a caller.

    Attributes
    ----------
    zone : ZoneName
        Home zone that the id names, empty where it names none.
    """

    text: RequestId
    zone: ZoneName = NO_ZONE


def parse_request_id(text: str) -> Result[IssuedId | OwnId, str]:
    """Parse the id of a request.

    Examples
    --------
    >>> parse_request_id("drz1~perth-north~ballot-7").ok.zone
    'perth-north'
    >>> parse_request_id("drq1~perth-north").error
    'malformed issued id'
    """
    if len(text) > LONGEST_ID:
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
    """Key of a claim; equal ids of two scopes never meet."""
    data = f"{scope}\0{request_id}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Digest that tells whether two requests are the same."""
    digest = hashlib.blake2b(f"{method}\0{target}\0".encode(), digest_size=16)
    digest.update(body)
    return digest.digest()


def uuid7_seconds(text: str) -> float | None:
    """Issue time of a UUID of version 7 in seconds since the epoch.

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
    """Issues ids homed at this incarnation and checks them.

    Parameters
    ----------
    timers : TimerService
        Time.
    zone, host, incarnation
        This node.
    secret : bytes
        Random key of this incarnation, never sent anywhere.
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
        self._born = timers.now
        self._serials = itertools.count()

    def issue(self, scope: str) -> RequestId:
        """New id for a scope."""
        issued = int((self._timers.now - self._born) * MILLISECONDS)
        stem = (
            f"{ISSUED_PREFIX}{self._zone}~{self._host}~{self._incarnation:x}"
            f"~{issued:x}~{next(self._serials):x}"
        )
        return RequestId(f"{stem}~{self._tag(scope, stem)}")

    def is_home_of(self, issued: IssuedId) -> bool:
        """Whether this incarnation is the home of an id."""
        return issued.host == self._host and issued.incarnation == self._incarnation

    def verify(self, scope: str, issued: IssuedId) -> bool:
        """Whether this incarnation issued an id to a scope."""
        stem = issued.text.rpartition("~")[0]
        return hmac.compare_digest(self._tag(scope, stem), issued.tag)

    def issued_at(self, issued: IssuedId) -> float:
        """Monotonic time of this host at which an id was issued."""
        return self._born + issued.issued / MILLISECONDS

    def _tag(self, scope: str, stem: str) -> str:
        data = f"{scope}\0{stem}".encode()
        digest = hashlib.blake2b(data, key=self._secret, digest_size=TAG_BYTES)
        return digest.hexdigest()
