"""Leases that a borrower holds for one team."""

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
        """Expiry in the borrower's monotonic time; the lender counts longer."""
        return self.asked_at + self.grant.seconds

    def level(self, now: float) -> float:
        return self.bucket.level(now)

    def draw(self, now: float, wanted: float) -> float:
        drawn = min(wanted, self.bucket.level(now))
        self.bucket.acquire(now, drawn)
        return drawn


class LeasePool:
    """Leases of one team; a permit may be drawn in parts from several leases.

    Every method compares the expiry of each lease with the time given, so that a
    process that was paused never spends a lease that has expired meanwhile.
    """

    def __init__(self) -> None:
        self._leases: dict[int, _HeldLease] = {}

    def acquire(self, now: float, permits: float = 1.0) -> bool:
        """Spend permits if there are enough; return whether they were spent."""
        if self.level(now) < permits - ROUNDING_ERROR_PERMITS:
            return False
        wanted = permits
        for lease in sorted(self._leases.values(), key=lambda lease: lease.expires):
            wanted -= lease.draw(now, wanted)
        return True

    def level(self, now: float) -> float:
        """Return the number of permits that can be spent at `now`."""
        self._expire(now)
        return sum(lease.level(now) for lease in self._leases.values())

    def accept(self, now: float, asked_at: float, grant: Grant) -> None:
        """Add a lease; a standing one replaces the former one of its source zone."""
        level = grant.amount
        if grant.standing:
            former = self._find_standing(now, grant.source)
            if former is not None:
                level += former.level(now)
                del self._leases[former.grant.lease]
        # The lease may hold permits from before the ask, but adds none for the time
        # in which the answer was in transit.
        bucket = TokenBucket(grant.rate, grant.capacity, now, level)
        self._leases[grant.lease] = _HeldLease(grant, bucket, asked_at)

    def holdings(self, now: float) -> tuple[Holding, ...]:
        """Return the leases in use."""
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
        """Give up spot leases that are empty."""
        for number, lease in list(self._leases.items()):
            if not lease.grant.standing and lease.level(now) <= ROUNDING_ERROR_PERMITS:
                del self._leases[number]

    def renewal_due(self, now: float, fraction: float) -> bool:
        """Return whether `fraction` of a standing lease's validity has passed."""
        self._expire(now)
        return any(
            lease.grant.standing
            and now >= lease.asked_at + fraction * lease.grant.seconds
            for lease in self._leases.values()
        )

    def has_standing(self, now: float) -> bool:
        """Return whether any lease adds permits."""
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
