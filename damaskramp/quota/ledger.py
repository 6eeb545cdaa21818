"""What a lender counts as held by its borrowers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from damaskramp.core import HostId, Incarnation
from damaskramp.quota.messages import Holding

__all__ = ["Account", "Borrower", "Lease", "Ledger"]

Borrower = tuple[HostId, Incarnation]


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its lender counts it, valid until the lender's time `until`."""

    rate: float
    capacity: float
    until: float


@dataclass(slots=True)
class Account:
    """Leases of one borrower.

    Of the standing leases the borrower uses one at a time, but until it states
    which, it may be any: the largest counts. Spot leases add up.
    """

    standing: dict[int, Lease] = field(default_factory=dict)
    spots: dict[int, Lease] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Most permits a second that the borrower may be adding."""
        return max((lease.rate for lease in self.standing.values()), default=0.0)

    @property
    def standing_capacity(self) -> float:
        """Most permits that its standing lease may hold."""
        return max((lease.capacity for lease in self.standing.values()), default=0.0)

    @property
    def capacity(self) -> float:
        """Most permits that the borrower may hold."""
        spots = sum(lease.capacity for lease in self.spots.values())
        return self.standing_capacity + spots

    def expire(self, now: float) -> None:
        """Forget the leases that have run out."""
        for leases in (self.standing, self.spots):
            for number in [n for n, lease in leases.items() if lease.until <= now]:
                del leases[number]

    def reconcile(self, holdings: Iterable[Holding]) -> None:
        """Forget what the borrower has given up or spent; it holds only `holdings`."""
        levels = {holding.lease: holding.level for holding in holdings}
        for leases in (self.standing, self.spots):
            for number in leases.keys() - levels.keys():
                del leases[number]
        for number, lease in self.spots.items():
            left = min(lease.capacity, max(0.0, levels[number]))
            self.spots[number] = replace(lease, capacity=left)


class Ledger:
    """Accounts of all borrowers of one mint."""

    def __init__(self) -> None:
        self._accounts: dict[Borrower, Account] = {}

    @property
    def rate(self) -> float:
        """Rate of all leases."""
        return sum(account.rate for account in self._accounts.values())

    @property
    def capacity(self) -> float:
        """Capacity of all leases."""
        return sum(account.capacity for account in self._accounts.values())

    @property
    def standing_capacity(self) -> float:
        """Capacity of the standing leases."""
        return sum(account.standing_capacity for account in self._accounts.values())

    @property
    def borrowers(self) -> tuple[Borrower, ...]:
        """Borrowers with a lease."""
        return tuple(self._accounts)

    def account(self, borrower: Borrower) -> Account:
        """Account of a borrower, opened where there is none."""
        return self._accounts.setdefault(borrower, Account())

    def leases(self) -> Iterator[tuple[Borrower, int, Lease]]:
        """Every lease that counts, with its borrower and number."""
        for borrower, account in self._accounts.items():
            for number, lease in (account.standing | account.spots).items():
                yield borrower, number, lease

    def restore(self, borrower: Borrower, number: int, lease: Lease) -> None:
        """Count a lease that another owner gave."""
        account = self.account(borrower)
        leases = account.standing if lease.rate > 0 else account.spots
        leases[number] = lease

    def find_borrower(self, leases: Iterable[int]) -> Borrower | None:
        """Borrower that one of the leases was given to."""
        wanted = set(leases)
        for borrower, account in self._accounts.items():
            if wanted & (account.standing.keys() | account.spots.keys()):
                return borrower
        return None

    def expire(self, now: float) -> None:
        """Forget the leases that have run out."""
        for borrower, account in list(self._accounts.items()):
            account.expire(now)
            if not account.standing and not account.spots:
                del self._accounts[borrower]
