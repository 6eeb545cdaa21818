"""Messages between nodes: msgpack arrays, each beginning with its kind.

msgpack delimits its values itself, so a stream of them needs no frames of its own.
"""

from enum import IntEnum
from typing import NamedTuple

from damaskramp.core import Reason

__all__ = ["REASONS", "REASON_CODES", "Call", "Kind"]


class Kind(IntEnum):
    """First element of a message."""

    CALL = 1
    CANCEL = 2
    ANSWER = 3
    REFUSED = 4
    FAILED = 5
    PING = 6
    PONG = 7
    BORROW = 8
    LENT = 9
    NEWS = 10
    GIVE_BACK = 11


REASONS = tuple(Reason)
"""Reasons by their number on the wire."""

REASON_CODES = {reason: code for code, reason in enumerate(REASONS)}


class Call(NamedTuple):
    """A request for the node beside a backend server.

    Attributes
    ----------
    number : int
        Number of the call on its link.
    server : str
        Id of the backend server that shall run it.
    head : bytes
        Request line and header fields, without the deadline and the blank line.
    remaining : float
        Seconds until nobody waits for the answer.
    target : float
        Seconds until the answer loses its full value; may be negative.
    priority : int
        Rank among new requests; 0 is the most important.
    is_call : bool
        Whether a backend server made the request.
    route : str
        Name of its route, by which service times are averaged.
    key_digest : bytes
        Digest of the caller's key; empty where it needs none.
    fingerprint : int
        Hash of caller, method, path and body.
    repeat_share : float
        Probability that this run repeats another, 0 to 1; its calls inherit it.
    """

    number: int
    server: str
    request_id: bytes
    head: bytes
    body: bytes
    head_only: bool
    idempotent: bool
    remaining: float
    target: float
    priority: int
    is_call: bool
    route: str
    key_digest: bytes
    fingerprint: int
    repeat_share: float
