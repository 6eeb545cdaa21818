"""Queue of piggybacked updates, each sent a bounded number of times.

Updates with the most transmissions left are sent first, so new updates go before old
ones.
"""

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Dissemination", "retransmissions"]

T = TypeVar("T")

RETRANSMISSION_FACTOR = 3
ROUTINE_FACTOR = 1
ENTRY_OVERHEAD_BYTES = 3


def retransmissions(members: int, routine: bool = False) -> int:
    """Return how many times one node sends an update, given the number of members.

    A routine update is sent less often, since a later sync delivers it to a member that
    it missed.

    Examples
    --------
    >>> retransmissions(3), retransmissions(175), retransmissions(175, routine=True)
    (6, 23, 8)
    """
    factor = ROUTINE_FACTOR if routine else RETRANSMISSION_FACTOR
    return math.ceil(factor * math.log2(members + 1))


@dataclass(slots=True)
class _Entry(Generic[T]):
    update: T
    size: int
    remaining_sends: int


class Dissemination(Generic[T]):
    """Updates waiting to be sent, one for each key.

    Examples
    --------
    >>> queue = Dissemination()
    >>> queue.put("a", "old", 3, 2)
    >>> queue.put("a", "new", 3, 2)
    >>> queue.take(100), queue.take(100), queue.take(100)
    (['new'], ['new'], [])
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry[T]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, update: T, size: int, transmissions: int) -> None:
        """Queue an update, which replaces the queued update of its key.

        Parameters
        ----------
        key : str
            Key of the update.
        update : T
            Update to send.
        size : int
            Size of the encoded update in bytes.
        transmissions : int
            Number of times that the update is sent.
        """
        self._entries[key] = _Entry(update, size + ENTRY_OVERHEAD_BYTES, transmissions)

    def drop(self, key: str) -> None:
        """Remove the queued update of a key."""
        self._entries.pop(key, None)

    def take(self, budget: int) -> list[T]:
        """Take updates for one message of at most `budget` bytes.

        Updates with the most transmissions left are taken first.
        """
        taken = []
        order = sorted(self._entries.items(), key=lambda pair: -pair[1].remaining_sends)
        for key, entry in order:
            if entry.size > budget:
                continue
            budget -= entry.size
            taken.append(entry.update)
            entry.remaining_sends -= 1
            if entry.remaining_sends == 0:
                del self._entries[key]
        return taken
