"""Token bucket of a team in a zone that issues leases of its rate and capacity.

The issuer keeps ``level + capacity of all leases <= capacity`` and
``own rate + rate of all leases <= rate``. A lease counts in full from before it is
sent until the borrower has given it up or its validity has passed. The permits
that can be spent anywhere therefore never exceed the capacity and grow no faster
than the rate, so no window admits more than ``rate * window + capacity``, whatever
happens to messages. The argument concerns permits that can still be spent, not the
times at which they were issued.
"""

from collections.abc import Iterable

from damaskramp.core import ZoneName
from damaskramp.quota.bucket import TokenBucket
from damaskramp.quota.ledger import Account, Borrower, Lease, Ledger
from damaskramp.quota.messages import Grant, HandedLease, Holding
from damaskramp.quota.settings import QuotaSettings

__all__ = ["LeaseIssuer"]

SUM_TOLERANCE_PERMITS = 1e-6
"""Rounding error allowed for in sums over leases."""

ROUNDING_ERROR_PERMITS = 1e-9
"""Rounding error of one addition."""

BORROWER_HEADROOM = 1.5
"""Largest rate of a standing lease, as a multiple of its borrower's demand."""

LENDER_HEADROOM = 1.3
"""Rate that a lending zone keeps, as a multiple of its own demand."""

PREFETCH_SECONDS = 1.0
"""Time for which the capacity of a standing lease covers the demand."""

MIN_STANDING_PERMITS = 4.0
"""Smallest capacity of a standing lease.

A smaller lease is full too often, and a full lease loses the permits that its rate
would add.
"""

MIN_BUSY_STANDING_PERMITS = 1.0
"""Smallest capacity of a standing lease while the owner is busy.

A standing lease that holds less than one whole permit is of no use.
"""

LENDABLE_FRACTION = 0.9
"""Fraction of the spare rate and capacity that other zones may borrow."""


class LeaseIssuer:
    """Token bucket of one team in one zone that issues leases of its parts.

    Parameters
    ----------
    settings : QuotaSettings
        Validity of leases.
    source : ZoneName
        Zone whose share the bucket holds.
    now : float
        Monotonic time in seconds.
    rate : float
        Permits a second.
    capacity : float
        Largest number of permits that may exist, leased ones included.
    level : float
        Initial permits.
    until : float
        Monotonic time at which the issuer itself ends; no lease outlives it.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        source: ZoneName,
        now: float,
        rate: float,
        capacity: float,
        level: float = 0.0,
        until: float = float("inf"),
    ) -> None:
        self._settings = settings
        self._source = source
        self._rate = rate
        self._capacity = capacity
        self._until = until
        self._bucket = TokenBucket(rate, capacity, now, level)
        self._ledger = Ledger()

    @property
    def source(self) -> ZoneName:
        """Zone whose share the bucket holds."""
        return self._source

    @property
    def until(self) -> float:
        """Monotonic time at which the issuer ends."""
        return self._until

    @property
    def rate(self) -> float:
        """Rate in permits a second, leased rates included."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Largest number of permits that may exist, leased ones included."""
        return self._capacity

    @property
    def free_rate(self) -> float:
        """Rate that is not leased; negative after the share was reduced."""
        return self._rate - self._ledger.rate

    @property
    def free_capacity(self) -> float:
        """Capacity that is not leased; negative after the share was reduced."""
        return self._capacity - self._ledger.capacity

    def level(self, now: float) -> float:
        """Return the number of permits that no lease holds."""
        self._expire_leases(now)
        return self._bucket.level(now)

    def max_held(self, now: float) -> float:
        """Return the most permits that the issuer and its borrowers may hold."""
        return self.level(now) + self._ledger.capacity

    def find_borrower(self, holdings: Iterable[Holding]) -> Borrower | None:
        """Return the borrower that holds one of the leases, or None."""
        return self._ledger.find_borrower(holding.lease for holding in holdings)

    def is_within_limits(self, now: float) -> bool:
        """Return whether the leases fit into the present rate and capacity."""
        self._expire_leases(now)
        return (
            self.free_rate > -SUM_TOLERANCE_PERMITS
            and self.free_capacity > -SUM_TOLERANCE_PERMITS
        )

    def reconfigure(self, now: float, rate: float, capacity: float) -> None:
        """Change rate and capacity; leases remain valid until they end."""
        self._expire_leases(now)
        self._rate, self._capacity = rate, capacity
        self._resize(now)

    def extend(self, now: float, grant: Grant, until: float) -> bool:
        """Adopt a renewed loan if the leases issued from the loan fit into it.

        Returns whether the renewed loan was adopted.
        """
        self._expire_leases(now)
        fits_rate = self._ledger.rate <= grant.rate + SUM_TOLERANCE_PERMITS
        if (
            not fits_rate
            or self._ledger.capacity > grant.capacity + SUM_TOLERANCE_PERMITS
        ):
            return False
        level = self._bucket.level(now) + grant.amount
        self._rate, self._capacity, self._until = grant.rate, grant.capacity, until
        self._bucket = TokenBucket(
            max(0.0, self.free_rate), max(0.0, self.free_capacity), now, level
        )
        return True

    def export_leases(self, now: float) -> tuple[HandedLease, ...]:
        """Return the leases that still count, for a successor."""
        self._expire_leases(now)
        return tuple(
            HandedLease(
                host, incarnation, number, lease.rate, lease.capacity, lease.until - now
            )
            for (host, incarnation), number, lease in self._ledger.leases()
        )

    def take_over(
        self, now: float, level: float, leases: Iterable[HandedLease]
    ) -> None:
        """Continue with the level and the leases of a former owner."""
        for handed in leases:
            until = now + self._settings.held_seconds(handed.seconds)
            lease = Lease(handed.rate, handed.capacity, until)
            self._ledger.restore((handed.host, handed.incarnation), handed.lease, lease)
        capacity = max(0.0, self.free_capacity)
        self._bucket = TokenBucket(max(0.0, self.free_rate), capacity, now, level)

    def has_lease(self, borrower: Borrower, lease: int) -> bool:
        """Return whether a lease of `borrower` still counts."""
        account = self._ledger.account(borrower)
        return lease in account.standing or lease in account.spots

    def reconcile(
        self, now: float, borrower: Borrower, holdings: Iterable[Holding]
    ) -> None:
        """Drop the leases that a borrower has given up: those not in `holdings`."""
        self._ledger.account(borrower).reconcile(holdings)
        self._expire_leases(now)

    def renew(
        self, now: float, borrower: Borrower, number: int, holding: Holding
    ) -> Grant | None:
        """Renew a standing lease of a former owner; keep its terms, add no permits."""
        terms = (0.0, holding.rate, holding.capacity)
        return self._add_standing(now, borrower, number, terms)

    def grant_standing(
        self,
        now: float,
        borrower: Borrower,
        number: int,
        demand: float,
        demand_fraction: float,
        level: float,
        owner_busy: bool,
    ) -> Grant | None:
        """Grant or renew the standing lease of a borrower.

        Parameters
        ----------
        demand : float
            Requests a second at the borrower.
        demand_fraction : float
            Fraction of the demand of all borrowers that comes from this one.
        level : float
            Permits that the borrower's standing lease still holds.
        owner_busy : bool
            Whether there are more requests than asks that the owner accepts, so that a
            borrower can't ask for each request. Then even a lease of one permit is
            better than none.
        """
        self._expire_leases(now)
        settings = self._settings
        account = self._ledger.account(borrower)
        rate = min(
            settings.leased_rate * self._rate * demand_fraction,
            BORROWER_HEADROOM * demand,
            self.free_rate + account.rate,
        )
        allowed = settings.leased_capacity * self._capacity
        others = self._ledger.standing_capacity - account.standing_capacity
        capacity = min(
            min(allowed * demand_fraction, PREFETCH_SECONDS * demand),
            allowed - others,
            self.free_capacity + account.standing_capacity,
        )
        min_capacity = MIN_BUSY_STANDING_PERMITS if owner_busy else MIN_STANDING_PERMITS
        if capacity < min_capacity or rate <= 0.0:
            return None
        amount = max(0.0, min(capacity - level, self._bucket.level(now)))
        return self._add_standing(now, borrower, number, (amount, rate, capacity))

    def grant_spot(
        self, now: float, borrower: Borrower, number: int, want: float
    ) -> Grant | None:
        """Grant a spot lease of whole permits for requests that are waiting."""
        amount = float(int(min(want, self.level(now) + ROUNDING_ERROR_PERMITS)))
        seconds = min(self._settings.spot_seconds, self._until - now)
        if amount < 1.0 or seconds <= 0:
            return None
        self._bucket.acquire(now, min(amount, self._bucket.level(now)))
        until = now + self._settings.held_seconds(seconds)
        self._ledger.account(borrower).spots[number] = Lease(0.0, amount, until)
        self._resize(now)
        return Grant(number, amount, 0.0, amount, seconds, self._source)

    def grant_loan(
        self,
        now: float,
        borrower: Borrower,
        number: int,
        wanted_rate: float,
        demand: float,
        level: float,
    ) -> Grant | None:
        """Grant another zone a loan of what this zone does not use.

        Parameters
        ----------
        wanted_rate : float
            Rate that the other zone needs.
        demand : float
            Requests a second in this zone.
        level : float
            Permits that the present loan still holds.
        """
        self._expire_leases(now)
        account = self._ledger.account(borrower)
        spare = LENDABLE_FRACTION * max(0.0, self._rate - LENDER_HEADROOM * demand)
        rate = min(wanted_rate, spare, self.free_rate + account.rate)
        capacity = min(
            LENDABLE_FRACTION
            * self._capacity
            * spare
            / max(self._rate, ROUNDING_ERROR_PERMITS),
            self.free_capacity + account.standing_capacity,
        )
        if rate <= 0.0 or capacity < MIN_STANDING_PERMITS:
            return None
        amount = max(0.0, min(capacity - level, self._bucket.level(now)))
        return self._add_standing(now, borrower, number, (amount, rate, capacity))

    def _add_standing(
        self,
        now: float,
        borrower: Borrower,
        number: int,
        terms: tuple[float, float, float],
    ) -> Grant | None:
        amount, rate, capacity = terms
        seconds = min(self._settings.lease_seconds, self._until - now)
        if seconds <= 0:
            return None
        self._bucket.acquire(now, amount)
        until = now + self._settings.held_seconds(seconds)
        account: Account = self._ledger.account(borrower)
        account.standing[number] = Lease(rate, capacity, until)
        self._resize(now)
        return Grant(number, amount, rate, capacity, seconds, self._source)

    def _expire_leases(self, now: float) -> None:
        """Drop expired leases; the capacity that they free fills only from `now` on."""
        self._bucket.level(now)
        self._ledger.expire(now)
        self._resize(now)

    def _resize(self, now: float) -> None:
        rate, capacity = max(0.0, self.free_rate), max(0.0, self.free_capacity)
        self._bucket.reconfigure(rate, capacity, now)
