"""Piggybacked news: each is sent a bounded number of times, newest first."""

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Dissemination", "retransmissions"]

T = TypeVar("T")

RETRANSMISSION_FACTOR = 3
ROUTINE_FACTOR = 1
ENTRY_OVERHEAD_BYTES = 3


def retransmissions(members: int, routine: bool = False) -> int:
    """Times that one node sends one piece of news, for so many members.

    Routine news may be left to a later sync where it misses somebody.

    Examples
    --------
    >>> retransmissions(3), retransmissions(175), retransmissions(175, routine=True)
    (6, 23, 8)
    """
    factor = ROUTINE_FACTOR if routine else RETRANSMISSION_FACTOR
    return math.ceil(factor * math.log2(members + 1))


@dataclass(slots=True)
class _Entry(Generic[T]):
    news: T
    size: int
    left: int


class Dissemination(Generic[T]):
    """News waiting to be sent, one piece a key.

    Examples
    --------
    >>> news = Dissemination()
    >>> news.put("a", "old", 3, 2)
    >>> news.put("a", "new", 3, 2)
    >>> news.take(100), news.take(100), news.take(100)
    (['new'], ['new'], [])
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry[T]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, news: T, size: int, times: int) -> None:
        """Send `news` of `size` bytes so many times, in place of older of its key."""
        self._entries[key] = _Entry(news, size + ENTRY_OVERHEAD_BYTES, times)

    def drop(self, key: str) -> None:
        """Send no more about a key."""
        self._entries.pop(key, None)

    def take(self, budget: int) -> list[T]:
        """News for one message, the least sent first, within `budget` bytes."""
        taken = []
        order = sorted(self._entries.items(), key=lambda pair: -pair[1].left)
        for key, entry in order:
            if entry.size > budget:
                continue
            budget -= entry.size
            taken.append(entry.news)
            entry.left -= 1
            if entry.left == 0:
                del self._entries[key]
        return taken
