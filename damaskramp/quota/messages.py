"""Messages between borrowers and lenders of permits."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation, TeamId, ZoneName

__all__ = [
    "Answer",
    "Ask",
    "BundleOrder",
    "Grant",
    "HandedLease",
    "Handover",
    "Holding",
    "TeamAnswer",
    "TeamAsk",
]

BundleOrder = tuple[int, str]
"""Version of a bundle, and the first digits of its digest."""


@dataclass(frozen=True, slots=True)
class Holding:
    """Lease that the borrower is using.

    Attributes
    ----------
    lease : int
        Number that the lender gave the lease.
    level : float
        Permits left.
    rate : float
        Permits a second that the lease adds.
    capacity : float
        Largest number of permits that the lease holds.
    source : ZoneName
        Zone whose share the lease comes from; another zone in the case of a loan.
    """

    lease: int
    level: float
    rate: float
    capacity: float
    source: ZoneName

    @property
    def standing(self) -> bool:
        """Whether the lease adds permits, instead of only holding some."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class TeamAsk:
    """Need of one borrower for one team.

    Attributes
    ----------
    demand : float
        Recent requests a second.
    want : float
        Permits needed at once.
    holdings : tuple of Holding
        Every lease in use; the borrower has given up all other leases.
    """

    team: TeamId
    demand: float
    want: float = 0.0
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True, slots=True)
class Ask:
    """Request of one borrower, for several teams of one lender.

    Attributes
    ----------
    number : int
        Number of the ask, which increases with each ask of this incarnation.
    order : BundleOrder
        Greatest bundle that the borrower has or was told of.
    between_zones : bool
        Whether the owner of another zone asks for a loan.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName
    number: int
    order: BundleOrder
    teams: tuple[TeamAsk, ...]
    between_zones: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Lease: a small token bucket that is valid for a short time.

    Attributes
    ----------
    amount : float
        Initial permits.
    rate : float
        Permits a second that the lease adds.
    capacity : float
        Largest number of permits that the lease may hold.
    seconds : float
        Validity, which the borrower counts from its ask.
    source : ZoneName
        Zone whose share the lease comes from.
    """

    lease: int
    amount: float
    rate: float
    capacity: float
    seconds: float
    source: ZoneName

    @property
    def standing(self) -> bool:
        """Whether the lease replaces the former standing lease of its source."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class TeamAnswer:
    """Answer for one team.

    Attributes
    ----------
    wait : float
        Seconds to wait before another ask for permits.
    settled : bool
        Whether the answering zone keeps to its share of the bundle in force.
    """

    team: TeamId
    grants: tuple[Grant, ...] = ()
    wait: float = 0.0
    settled: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an `Ask`, to the incarnation that sent it."""

    host: HostId
    incarnation: Incarnation
    zone: ZoneName
    to_incarnation: Incarnation
    number: int
    order: BundleOrder
    teams: tuple[TeamAnswer, ...]


@dataclass(frozen=True, slots=True)
class HandedLease:
    """Lease that a leaving owner still counts.

    Attributes
    ----------
    seconds : float
        Time for which the lease still counts, starting at the latest when the
        message arrives.
    """

    host: HostId
    incarnation: Incarnation
    lease: int
    rate: float
    capacity: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Handover:
    """Last message of a leaving owner, which issues no lease after it.

    Attributes
    ----------
    host, incarnation
        The leaving owner.
    to_incarnation : Incarnation
        Incarnation that may use the handover; 0, for any incarnation, where the
        list of hosts does not state it.
    level : float
        Permits that no lease holds.
    rate, burst : float
        Share that the leaving owner kept to.
    """

    host: HostId
    incarnation: Incarnation
    to_incarnation: Incarnation
    team: TeamId
    order: BundleOrder
    level: float
    rate: float
    burst: float
    leases: tuple[HandedLease, ...]
