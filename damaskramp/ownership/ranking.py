"""Ranks of the members that count, kept from one question to the next."""

import heapq
from collections.abc import Iterable

from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.ownership.contact import NEVER, Contact
from damaskramp.ownership.messages import OwnershipSettings
from damaskramp.ownership.ownership import Owner

__all__ = ["Ranking"]

MAX_RANKED_RESOURCES = 4096


class Ranking:
    """The counting members of a zone, and their ranks for the things asked about.

    A set of members that was taken holds until the first moment at which silence or
    retirement may end the standing of one of them. Time alone never lets a member
    count that didn't, so anything else that bears on standing is an event, and the
    holder tells of it by `invalidate`. A later sign of life of a member that counts
    isn't one: it only puts off an end.

    Parameters
    ----------
    settings : OwnershipSettings
        Times.
    """

    def __init__(self, settings: OwnershipSettings) -> None:
        self._silence = settings.silence_seconds
        self._members: tuple[Owner, ...] = ()
        self._ranked: dict[tuple[str, int], tuple[Owner, ...]] = {}
        self._oldest_last_heard = NEVER
        self._first_retirement = NEVER

    def invalidate(self) -> None:
        """Take the members anew at the next question."""
        self._oldest_last_heard = NEVER

    def is_valid(self, now: float) -> bool:
        """Whether every member that was taken still counts."""
        # Written as in `Contact.silent`, so that rounding can't part the two.
        return (
            now - self._oldest_last_heard < self._silence
            and now < self._first_retirement
        )

    def refresh(
        self, contacts: Iterable[Contact], own: Owner | None, now: float
    ) -> None:
        """Take the members that count at `now`; `own` where this node is active."""
        eligible = [c for c in contacts if c.is_eligible(now, self._silence)]
        # No later than now: a sign of life never puts `last_heard` back before it.
        self._oldest_last_heard = min((c.last_heard for c in eligible), default=now)
        self._oldest_last_heard = min(self._oldest_last_heard, now)
        self._first_retirement = min((c.retires_at for c in eligible), default=-NEVER)
        members = tuple(c.as_owner() for c in eligible)
        if own is not None:
            members += (own,)
        if members != self._members:
            self._members = members
            self._ranked.clear()

    def top(self, resource: str, count: int) -> tuple[Owner, ...]:
        """Members by falling rank for `resource`, at most `count`."""
        key = (resource, count)
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MAX_RANKED_RESOURCES:
                del self._ranked[next(iter(self._ranked))]
            ranked = self._ranked[key] = self._rank(resource, count)
        return ranked

    def _rank(self, resource: str, count: int) -> tuple[Owner, ...]:
        def rank(owner: Owner) -> tuple[int, str]:
            return rendezvous_score(owner.host, resource), owner.host

        return tuple(heapq.nlargest(count, self._members, key=rank))
