"""Cache of the eligible members of a zone and of their ranks."""

import heapq
from collections.abc import Iterable

from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.ownership.contact import NEVER, Contact
from damaskramp.ownership.messages import OwnershipSettings
from damaskramp.ownership.ownership import Owner

__all__ = ["Ranking"]

MAX_RANKED_RESOURCES = 4096


class Ranking:
    """Cache of the eligible members of a zone and of their ranks by resource.

    The cached set of members is valid until the first time at which silence or
    retirement may make one of them ineligible. Time alone never makes a member
    eligible, so any other change of eligibility comes from an event, which the user
    of the cache reports by `invalidate`. A later heartbeat of an eligible member is
    not such an event: it only delays the time at which the member becomes silent.

    Parameters
    ----------
    settings : OwnershipSettings
        Time limits.
    """

    def __init__(self, settings: OwnershipSettings) -> None:
        self._silence = settings.silence_seconds
        self._members: tuple[Owner, ...] = ()
        self._ranked: dict[tuple[str, int], tuple[Owner, ...]] = {}
        self._oldest_last_heard = NEVER
        self._first_retirement = NEVER

    def invalidate(self) -> None:
        """Mark the cached members as outdated; the next query refreshes them."""
        self._oldest_last_heard = NEVER

    def is_valid(self, now: float) -> bool:
        """Return whether every cached member is still eligible."""
        # The same expression as in `Contact.is_silent`, so that rounding cannot make
        # the two differ.
        return (
            now - self._oldest_last_heard < self._silence
            and now < self._first_retirement
        )

    def refresh(
        self, contacts: Iterable[Contact], own: Owner | None, now: float
    ) -> None:
        """Cache the members eligible at `now`; `own` is None while not active."""
        eligible = [c for c in contacts if c.is_eligible(now, self._silence)]
        # The oldest time is set to at most `now`, even if every `last_heard` lies in
        # the future: a later heartbeat may set a `last_heard` back, but never to a time
        # before `now`.
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
        """Return up to `count` members by descending rank for `resource`."""
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
