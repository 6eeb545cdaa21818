"""One account of the bytes or descriptors that a process holds, shared by its parts.

Each part of the process draws on the account through a `MemoryShare`, which has the
methods of `ByteBudget`. A share has a guaranteed amount that no other share can use,
and a cap. What lies between them comes from the common rest of the account.

Examples
--------
>>> account = MemoryAccount(100)
>>> large = account.share("large", guaranteed=0, cap=90)
>>> small = account.share("small", guaranteed=30, cap=50)
>>> large.reserve(80), large.reserve(70)
(False, True)
>>> small.reserve(30), small.reserve(1)
(True, False)
>>> account.used, large.refused, small.refused
(100, 1, 1)
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum
from operator import itemgetter
from typing import TypeVar

from damaskramp.core.byte_budget import LARGE_BYTES, ByteBudget

__all__ = ["MemoryAccount", "MemoryHolder", "MemoryShare", "worst_holders"]


class MemoryAccount:
    """Account of everything of one kind that the process holds.

    Parameters
    ----------
    limit : int
        Maximum amount held, in bytes or descriptors.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._shares: dict[str, MemoryShare] = {}
        self._committed = 0
        self._beyond = 0

    @property
    def limit(self) -> int:
        """Maximum amount held, in bytes or descriptors."""
        return self._limit

    @property
    def used(self) -> int:
        """Amount held now by all shares, in bytes or descriptors."""
        return sum(share.used for share in self._shares.values())

    @property
    def shares(self) -> dict[str, "MemoryShare"]:
        """Shares by name."""
        return self._shares

    def share(self, name: str, guaranteed: int, cap: int) -> "MemoryShare":
        """Create a share.

        Parameters
        ----------
        name : str
            Name of the share in metrics and log lines.
        guaranteed : int
            Amount that only this share may use.
        cap : int
            Maximum amount of this share.

        Raises
        ------
        ValueError
            If the guaranteed amounts exceed the limit.
        """
        if self._committed + guaranteed > self._limit:
            raise ValueError("guaranteed amounts exceed the limit of the account")
        self._committed += guaranteed
        share = MemoryShare(self, name, guaranteed, max(guaranteed, cap))
        self._shares[name] = share
        return share

    def may_commit(self, change: int) -> bool:
        """Return whether the amount beyond the guarantees may grow by `change`."""
        return change <= 0 or self._committed + self._beyond + change <= self._limit

    def hold_beyond(self, size: int) -> bool:
        """Record one reservation beyond the shares; return False if there is one."""
        if self._beyond:
            return False
        self._beyond = size
        return True

    def release_beyond(self) -> None:
        """Record the end of the reservation beyond the shares."""
        self._beyond = 0

    def commit(self, change: int) -> None:
        """Record a change of the amount that is held or guaranteed."""
        self._committed += change


class MemoryShare(ByteBudget):
    """Part of an account, with the methods of a budget of its own.

    Parameters
    ----------
    guaranteed : int
        Amount that only this share may use.
    cap : int
        Maximum amount of this share.

    Attributes
    ----------
    name : str
        Name of the share in metrics and log lines.
    refused : int
        Number of refused reservations since it was last set to 0.
    """

    def __init__(
        self, account: MemoryAccount, name: str, guaranteed: int, cap: int
    ) -> None:
        super().__init__(cap)
        self._account = account
        self._guaranteed = guaranteed
        self.name = name
        self.refused = 0

    @property
    def exhausted(self) -> bool:
        """Whether nothing more can be reserved."""
        counted = self._used - self._beyond
        if counted >= self._limit:
            return True
        return counted >= self._guaranteed and not self._account.may_commit(1)

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if the share or the account has no room."""
        if not size:
            return True
        counted = self._used - self._beyond + size
        if counted > self._guaranteed or counted > self._limit:
            change = self._change(size)
            if counted > self._limit or not self._account.may_commit(change):
                self.refused += 1
                return False
            self._account.commit(change)
        self._used += size
        return True

    def reserve_alone(self, size: int) -> bool:
        """Reserve bytes as `reserve` does, or one large body beyond the shares.

        There is at most one such body in the account. It has to be released whole.
        """
        if self.reserve(size):
            return True
        if size <= min(self._limit, LARGE_BYTES):
            return False
        if not self._account.hold_beyond(size):
            return False
        self._beyond = size
        self._used += size
        return True

    def reserve_unchecked(self, size: int) -> None:
        """Reserve bytes that are already held, regardless of any limit."""
        self._account.commit(self._change(size))
        self._used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        if not size:
            return
        if self._beyond and size >= self._beyond:
            # Another body of this size or more may have been released instead; the one
            # beyond the shares is counted in them from now on.
            self._account.release_beyond()
            counted, self._beyond = self._used - self._beyond, 0
            after = max(self._used - size, self._guaranteed)
            self._account.commit(after - max(counted, self._guaranteed))
        else:
            self._account.commit(self._change(-size))
        self._used -= size

    def _change(self, size: int) -> int:
        """Change of the committed amount if `size` more is held."""
        guaranteed, counted = self._guaranteed, self._used - self._beyond
        return max(counted + size, guaranteed) - max(counted, guaranteed)


class MemoryHolder(ABC):
    """Connection that holds memory and may be closed to release it."""

    @abstractmethod
    def held(self, kind: Enum) -> int:
        """Amount of a kind that closing the connection releases; 0 to keep it."""

    @property
    @abstractmethod
    def progressed_at(self) -> float:
        """Clock time, in seconds, of the last substantial progress."""

    @abstractmethod
    def shed(self, kind: Enum) -> None:
        """Close the connection; release at once what it holds of a kind."""


Holder = TypeVar("Holder", bound=MemoryHolder)


def worst_holders(
    holders: Iterable[Holder], kind: Enum, now: float, min_seconds: float, needed: int
) -> list[tuple[Holder, int]]:
    """Choose the holders to close: those who hold most and progress least.

    Holders are ranked by what they hold times the seconds since their last progress.

    Parameters
    ----------
    kind : Enum
        Kind of what is to be released.
    now : float
        Clock time in seconds.
    min_seconds : float
        Shortest time without progress, in seconds, of a holder that is chosen.
    needed : int
        Amount to release. Less is released if not enough holders qualify.

    Returns
    -------
    list of tuple of MemoryHolder and int
        The first holders in this order that release the amount, and what each holds.
    """
    ranked = []
    for holder in holders:
        seconds = now - holder.progressed_at
        if seconds < min_seconds:
            continue
        held = holder.held(kind)
        if held:
            ranked.append((held * seconds, held, holder))
    ranked.sort(key=itemgetter(0), reverse=True)
    chosen = []
    for _, held, holder in ranked:
        if needed <= 0:
            break
        chosen.append((holder, held))
        needed -= held
    return chosen
