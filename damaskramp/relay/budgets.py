"""Division of the process's memory and descriptors among the parts of a relay node.

The sizes follow the host: the setting `memory_mb`, and the limit on descriptors that
the process was started with. The reasons are in docs/design/memory.md.
"""

import resource
from dataclasses import dataclass

from damaskramp.core import MemoryAccount, MemoryShare
from damaskramp.relay.caller_memory import CallerShares
from damaskramp.relay.settings import RelaySettings

__all__ = ["NodeBudgets", "descriptor_limit"]

MEBIBYTE = 1024 * 1024

SPARE_SHARE = 1 / 8
"""Part of the memory that stays free."""

BASE_MEMORY_MB = 40
"""Memory of a process without any connection, in megabytes: 32 were measured, and the
configuration and servers of a large fleet take the rest."""

ALLOCATOR_SHARE = 0.75
"""Part of the remaining memory that is given out. The allocator and the collector keep
some of what was released."""

MIN_ACCOUNT_MB = 16
"""Least memory of the account, in megabytes, whatever the settings say."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""


@dataclass(frozen=True, slots=True)
class _Part:
    """Guaranteed part and bound of a share, as parts of the account."""

    guaranteed: float
    cap: float


BODIES = _Part(0.0, 0.7)
SMALL_BODIES = _Part(0.05, 0.3)
CONNECTIONS = _Part(0.08, 0.5)
ANSWERS = _Part(0.04, 0.5)
STATUS = _Part(0.05, 0.05)
CALLS = _Part(0.06, 0.7)
PASSING_ANSWERS = _Part(0.06, 0.5)
PARTIAL_MESSAGES = _Part(0.02, 0.2)
"""Shares of memory. The guaranteed parts make up 0.36; the rest goes to whoever needs
it, so that one body of 64 MiB fits on a host of 200 MB beside them."""

CALLER_DESCRIPTORS = _Part(0.5, 0.75)
STATUS_DESCRIPTORS = _Part(0.02, 0.06)
LINK_DESCRIPTORS = 0.25
"""Shares of descriptors. What callers may not use is left for links and for connections
to the backend server."""


class NodeBudgets:
    """Accounts of memory and descriptors of a node, and their shares.

    Attributes
    ----------
    memory, descriptors : MemoryAccount
        Accounts of bytes and of descriptors.
    callers : CallerShares
        Shares of callers.
    calls : MemoryShare
        Bodies of calls for the backend server, on links and while they run.
    partial_messages : MemoryShare
        Messages of other nodes that have not arrived completely.
    passing_answers : MemoryShare
        Bodies of answers of this backend server and others, until they are sent.
    max_links : int
        Most connections that other nodes may open.
    """

    def __init__(self, settings: RelaySettings, descriptors: int) -> None:
        usable_mb = settings.memory_mb * (1 - SPARE_SHARE) - BASE_MEMORY_MB
        usable_mb = max(MIN_ACCOUNT_MB, usable_mb * ALLOCATOR_SHARE)
        self.memory = MemoryAccount(int(usable_mb * MEBIBYTE))
        usable = max(1, descriptors - RESERVED_DESCRIPTORS)
        self.descriptors = MemoryAccount(usable)
        self.passing_answers = self._memory_share("passing_answers", PASSING_ANSWERS)
        self.callers = CallerShares(
            self._memory_share("bodies", BODIES),
            self._memory_share("small_bodies", SMALL_BODIES),
            self._memory_share("connections", CONNECTIONS),
            self._memory_share("answers", ANSWERS),
            self.passing_answers,
            self._descriptor_share("callers", CALLER_DESCRIPTORS),
        )
        self.calls = self._memory_share("calls", CALLS)
        self.partial_messages = self._memory_share("partial_messages", PARTIAL_MESSAGES)
        self.max_links = int(LINK_DESCRIPTORS * usable)

    def status_shares(self, address: str) -> tuple[MemoryShare, MemoryShare]:
        """Create the shares of memory and descriptors of one address for readers."""
        part = _Part(STATUS.guaranteed / 2, STATUS.cap / 2)
        return (
            self._memory_share(address, part),
            self._descriptor_share(address, STATUS_DESCRIPTORS),
        )

    def _memory_share(self, name: str, part: _Part) -> MemoryShare:
        return _share(self.memory, name, part)

    def _descriptor_share(self, name: str, part: _Part) -> MemoryShare:
        return _share(self.descriptors, name, part)


def _share(account: MemoryAccount, name: str, part: _Part) -> MemoryShare:
    limit = account.limit
    return account.share(name, int(part.guaranteed * limit), int(part.cap * limit))


def descriptor_limit() -> int:
    """Return the number of descriptors that this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
