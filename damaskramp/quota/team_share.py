"""What the owner of a team knows of its share in a zone."""

from dataclasses import dataclass, field

from damaskramp.core import ZoneName
from damaskramp.quota.issuer import LeaseIssuer
from damaskramp.quota.ledger import Borrower
from damaskramp.quota.messages import Grant, Holding
from damaskramp.quota.settings import QuotaSettings

__all__ = [
    "BorrowerDemand",
    "TeamShare",
    "loan_issuer",
    "standing_level",
    "standing_loan",
]

ASKING_WINDOW_SECONDS = 1.0
"""Time for which an ask for waiting requests counts."""


@dataclass(slots=True)
class BorrowerDemand:
    """What a borrower needs; `wanted_at` is its last ask for waiting requests."""

    rate: float
    want: float
    until: float
    wanted_at: float


@dataclass(slots=True)
class TeamShare:
    """State of one owned team.

    Attributes
    ----------
    issuing_from : float
        Until then leases of a former owner may still run.
    minting : bool
        Whether the share is minted: the wait is over and no greater bundle known.
    loans : dict of int to Mint
        Mints of the leases that other zones gave, by lease number.
    asks : dict of ZoneName to (int, float)
        Number and time of the ask to each zone that may still be answered.
    asked : dict of ZoneName to float
        Time of the last ask to each zone.
    """

    issuer: LeaseIssuer
    issuing_from: float
    issuing: bool = False
    loans: dict[int, LeaseIssuer] = field(default_factory=dict)
    pending_asks: dict[ZoneName, tuple[int, float]] = field(default_factory=dict)
    last_asked_at: dict[ZoneName, float] = field(default_factory=dict)
    last_ask_numbers: dict[Borrower, int] = field(default_factory=dict)
    demands: dict[Borrower, BorrowerDemand] = field(default_factory=dict)

    def demand(self, now: float) -> float:
        """Requests a second of all borrowers of this zone."""
        self.demands = {b: d for b, d in self.demands.items() if d.until > now}
        return sum(demand.rate for demand in self.demands.values())

    def unmet(self) -> float:
        """Permits that waiting requests did not get."""
        return sum(demand.want for demand in self.demands.values())

    def count_asking(self, now: float) -> int:
        """Borrowers that lately asked for waiting requests."""
        since = now - ASKING_WINDOW_SECONDS
        return sum(demand.wanted_at >= since for demand in self.demands.values())


def standing_loan(share: TeamShare, grant: Grant) -> int | None:
    """Loan that a grant renews."""
    for number, loan in share.loans.items():
        if grant.standing and loan.rate > 0 and loan.source == grant.source:
            return number
    return None


def loan_issuer(
    settings: QuotaSettings, grant: Grant, now: float, until: float
) -> LeaseIssuer:
    """Mint of a loan that another zone gave, until it ends."""
    return LeaseIssuer(
        settings,
        grant.source,
        now,
        grant.rate,
        grant.capacity,
        grant.amount,
        until,
    )


def standing_level(
    issuer: LeaseIssuer, borrower: Borrower, holdings: tuple[Holding, ...]
) -> float:
    """Permits that a borrower still has of a mint's standing leases."""
    return sum(
        h.level for h in holdings if h.standing and issuer.has_lease(borrower, h.lease)
    )
