"""What the head of an answer says about the backend server itself.

A server may limit the requests a second that it takes, and may announce that it is
leaving. A value that can't be read still shows that the server asks for protection.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

__all__ = ["NO_NOTICE", "Notice", "ServerNotice", "parse_notice"]

MAX_RATE_LIMIT = 1e9
"""Largest rate limit, in requests a second; a larger value is as good as none."""

_DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")


class Notice(Enum):
    """Whether an answer carries a notice, and whether its value can be read."""

    ABSENT = "absent"
    GIVEN = "given"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Notices of a backend server in the head of one answer.

    Attributes
    ----------
    rate_limit : float
        Requests a second that the server takes from all hosts together; 0.0 unless
        `limit` is `Notice.GIVEN`.
    """

    limit: Notice = Notice.ABSENT
    rate_limit: float = 0.0
    leaving: Notice = Notice.ABSENT


NO_NOTICE = ServerNotice()
"""Notice of a server that neither limits its requests nor leaves."""


def parse_notice(
    limit_values: Sequence[bytes], leaving_values: Sequence[bytes]
) -> ServerNotice:
    """Parse the values of the two header fields, which may be repeated.

    Of several readable limits, the smallest is used.

    Examples
    --------
    >>> parse_notice([b"12.5", b"40"], []).rate_limit
    12.5
    >>> parse_notice([b"-1"], [b"0"])  # doctest: +ELLIPSIS
    ServerNotice(limit=<Notice.UNREADABLE: 'unreadable'>, rate_limit=0.0, ...)
    """
    if not limit_values and not leaving_values:
        return NO_NOTICE
    rates = [
        min(float(item), MAX_RATE_LIMIT)
        for item in _items(limit_values)
        if _DECIMAL_NUMBER.fullmatch(item)
    ]
    limit, rate_limit = Notice.ABSENT, 0.0
    if rates:
        limit, rate_limit = Notice.GIVEN, min(rates)
    elif limit_values:
        limit = Notice.UNREADABLE
    return ServerNotice(limit, rate_limit, _parse_leaving(leaving_values))


def _parse_leaving(values: Sequence[bytes]) -> Notice:
    items = set(_items(values))
    if b"1" in items:
        return Notice.GIVEN
    if items <= {b"0"} and (items or not values):
        return Notice.ABSENT
    return Notice.UNREADABLE


def _items(values: Sequence[bytes]) -> list[bytes]:
    """Items of a field that may be a list or be sent more than once (RFC 9110, 5.3)."""
    items = [item.strip() for value in values for item in value.split(b",")]
    return [item for item in items if item]
