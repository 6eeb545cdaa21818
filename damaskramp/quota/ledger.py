"""Leases that a lender counts as held by its borrowers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from damaskramp.core import HostId, Incarnation
from damaskramp.quota.messages import Holding

__all__ = ["Account", "Borrower", "Lease", "Ledger"]

Borrower = tuple[HostId, Incarnation]


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease as its lender counts it, valid until the lender's time `until`."""

    rate: float
    capacity: float
    until: float


@dataclass(slots=True)
class Account:
    """Leases of one borrower.

    The borrower uses one standing lease at a time. Until it states which one, it
    may be any of them, so the largest counts. Spot leases add up.
    """

    standing: dict[int, Lease] = field(default_factory=dict)
    spots: dict[int, Lease] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Largest rate in permits a second at which the borrower may add permits."""
        return max((lease.rate for lease in self.standing.values()), default=0.0)

    @property
    def standing_capacity(self) -> float:
        """Largest number of permits that its standing lease may hold."""
        return max((lease.capacity for lease in self.standing.values()), default=0.0)

    @property
    def capacity(self) -> float:
        """Largest number of permits that the borrower may hold."""
        spots = sum(lease.capacity for lease in self.spots.values())
        return self.standing_capacity + spots

    def expire(self, now: float) -> None:
        """Drop the leases that have expired."""
        for leases in (self.standing, self.spots):
            for number in [n for n, lease in leases.items() if lease.until <= now]:
                del leases[number]

    def reconcile(self, holdings: Iterable[Holding]) -> None:
        """Drop what the borrower has given up or spent; it holds only `holdings`."""
        levels = {holding.lease: holding.level for holding in holdings}
        for leases in (self.standing, self.spots):
            for number in leases.keys() - levels.keys():
                del leases[number]
        for number, lease in self.spots.items():
            left = min(lease.capacity, max(0.0, levels[number]))
            self.spots[number] = replace(lease, capacity=left)


class Ledger:
    """Accounts of all borrowers of one lease issuer."""

    def __init__(self) -> None:
        self._accounts: dict[Borrower, Account] = {}

    @property
    def rate(self) -> float:
        """Sum of the rates of all borrowers, in permits a second."""
        return sum(account.rate for account in self._accounts.values())

    @property
    def capacity(self) -> float:
        """Sum of the permits that all borrowers may hold."""
        return sum(account.capacity for account in self._accounts.values())

    @property
    def standing_capacity(self) -> float:
        """Sum of the permits that the standing leases may hold."""
        return sum(account.standing_capacity for account in self._accounts.values())

    @property
    def borrowers(self) -> tuple[Borrower, ...]:
        """Borrowers with a lease."""
        return tuple(self._accounts)

    def account(self, borrower: Borrower) -> Account:
        """Return the account of a borrower; create it if there is none."""
        return self._accounts.setdefault(borrower, Account())

    def leases(self) -> Iterator[tuple[Borrower, int, Lease]]:
        """Iterate over every lease that counts, with its borrower and number."""
        for borrower, account in self._accounts.items():
            for number, lease in (account.standing | account.spots).items():
                yield borrower, number, lease

    def restore(self, borrower: Borrower, number: int, lease: Lease) -> None:
        """Count a lease that another owner granted."""
        account = self.account(borrower)
        leases = account.standing if lease.rate > 0 else account.spots
        leases[number] = lease

    def find_borrower(self, leases: Iterable[int]) -> Borrower | None:
        """Return the borrower that holds one of the leases, or None."""
        wanted = set(leases)
        for borrower, account in self._accounts.items():
            if wanted & (account.standing.keys() | account.spots.keys()):
                return borrower
        return None

    def expire(self, now: float) -> None:
        """Drop the leases that have expired, and accounts without a lease."""
        for borrower, account in list(self._accounts.items()):
            account.expire(now)
            if not account.standing and not account.spots:
                del self._accounts[borrower]
