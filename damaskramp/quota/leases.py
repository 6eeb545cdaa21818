"""The leases that a borrower holds for one team."""

from dataclasses import dataclass

from damaskramp.core import ZoneName
from damaskramp.quota.bucket import TokenBucket
from damaskramp.quota.messages import Grant, Holding

__all__ = ["LeasePool"]

ROUNDING_ERROR_PERMITS = 1e-9


@dataclass(slots=True)
class _HeldLease:
    grant: Grant
    bucket: TokenBucket
    asked_at: float

    @property
    def expires(self) -> float:
        """Own monotonic time; the lender counts on for longer."""
        return self.asked_at + self.grant.seconds

    def level(self, now: float) -> float:
        return self.bucket.level(now)

    def draw(self, now: float, wanted: float) -> float:
        drawn = min(wanted, self.bucket.level(now))
        self.bucket.acquire(now, drawn)
        return drawn


class LeasePool:
    """Leases of one team; a permit may be drawn in parts from several.

    Every look at a lease compares its expiry with the time given, so that a
    process that stood still never spends a lease that has run out meanwhile.
    """

    def __init__(self) -> None:
        self._leases: dict[int, _HeldLease] = {}

    def acquire(self, now: float, permits: float = 1.0) -> bool:
        """Spend permits where there are enough."""
        if self.level(now) < permits - ROUNDING_ERROR_PERMITS:
            return False
        wanted = permits
        for lease in sorted(self._leases.values(), key=lambda lease: lease.expires):
            wanted -= lease.draw(now, wanted)
        return True

    def level(self, now: float) -> float:
        """Permits that can be spent at `now`."""
        self._expire(now)
        return sum(lease.level(now) for lease in self._leases.values())

    def accept(self, now: float, asked_at: float, grant: Grant) -> None:
        """Use a lease, in place of the former standing one of its source."""
        level = grant.amount
        if grant.standing:
            former = self._find_standing(now, grant.source)
            if former is not None:
                level += former.level(now)
                del self._leases[former.grant.lease]
        # The lease may hold permits of the time before it was asked for, but adds
        # none for the time in which its answer was under way.
        bucket = TokenBucket(grant.rate, grant.capacity, now, level)
        self._leases[grant.lease] = _HeldLease(grant, bucket, asked_at)

    def holdings(self, now: float) -> tuple[Holding, ...]:
        """Leases in use."""
        self._expire(now)
        return tuple(
            Holding(
                number,
                lease.level(now),
                lease.grant.rate,
                lease.grant.capacity,
                lease.grant.source,
            )
            for number, lease in self._leases.items()
        )

    def drop_spent(self, now: float) -> None:
        """Give up spot leases that hold nothing more."""
        for number, lease in list(self._leases.items()):
            if not lease.grant.standing and lease.level(now) <= ROUNDING_ERROR_PERMITS:
                del self._leases[number]

    def renewal_due(self, now: float, fraction: float) -> bool:
        """Whether a standing lease has run through `fraction` of its time."""
        self._expire(now)
        return any(
            lease.grant.standing
            and now >= lease.asked_at + fraction * lease.grant.seconds
            for lease in self._leases.values()
        )

    def has_standing(self, now: float) -> bool:
        """Whether any lease adds permits."""
        self._expire(now)
        return any(lease.grant.standing for lease in self._leases.values())

    def _find_standing(self, now: float, source: ZoneName) -> _HeldLease | None:
        self._expire(now)
        for lease in self._leases.values():
            if lease.grant.standing and lease.grant.source == source:
                return lease
        return None

    def _expire(self, now: float) -> None:
        for number, lease in list(self._leases.items()):
            if now >= lease.expires:
                del self._leases[number]
