"""State that the owner of a team keeps of its share in a zone."""

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
"""Time for which a borrower counts as asking after an ask for waiting requests."""


@dataclass(slots=True)
class BorrowerDemand:
    """Need of a borrower.

    Attributes
    ----------
    rate : float
        Requests a second.
    want : float
        Permits that its waiting requests did not get.
    until : float
        Monotonic time until which the need counts.
    wanted_at : float
        Monotonic time of the last ask for waiting requests, or of the first ask.
    """

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
        Monotonic time until which leases of a former owner may still run.
    issuing : bool
        Whether leases are issued from the share: a handover has been used, or the
        wait is over and no greater bundle is known.
    loans : dict of int to LeaseIssuer
        Issuers of the loans that other zones granted, by lease number.
    pending_asks : dict of ZoneName to (int, float)
        Number and time of the ask to each zone that may still be answered.
    last_asked_at : dict of ZoneName to float
        Monotonic time of the last ask to each zone.
    last_ask_numbers : dict of Borrower to int
        Number of the last ask of each borrower.
    demands : dict of Borrower to BorrowerDemand
        Last stated need of each borrower.
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
        """Return the requests a second of all borrowers of this zone."""
        self.demands = {b: d for b, d in self.demands.items() if d.until > now}
        return sum(demand.rate for demand in self.demands.values())

    def unmet(self) -> float:
        """Return the number of permits that waiting requests did not get."""
        return sum(demand.want for demand in self.demands.values())

    def count_asking(self, now: float) -> int:
        """Return the number of borrowers that lately asked for waiting requests."""
        since = now - ASKING_WINDOW_SECONDS
        return sum(demand.wanted_at >= since for demand in self.demands.values())


def standing_loan(share: TeamShare, grant: Grant) -> int | None:
    """Return the number of the loan that a grant renews, or None."""
    for number, loan in share.loans.items():
        if grant.standing and loan.rate > 0 and loan.source == grant.source:
            return number
    return None


def loan_issuer(
    settings: QuotaSettings, grant: Grant, now: float, until: float
) -> LeaseIssuer:
    """Return the lease issuer of a loan from another zone, until the loan ends."""
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
    """Return the permits that a borrower still has of an issuer's standing leases."""
    return sum(
        h.level for h in holdings if h.standing and issuer.has_lease(borrower, h.lease)
    )
