"""What borrowers and lenders of permits tell each other."""

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
"""Version of a bundle and the first digits of its digest."""


@dataclass(frozen=True, slots=True)
class Holding:
    """A lease that the borrower is using.

    Attributes
    ----------
    lease : int
        Number that the lender gave it.
    level : float
        Permits left.
    rate : float
        Permits a second that it adds.
    capacity : float
        Most permits that it holds.
    source : ZoneName
        Zone whose share it was cut from; another zone's where it is a loan.
    """

    lease: int
    level: float
    rate: float
    capacity: float
    source: ZoneName

    @property
    def standing(self) -> bool:
        """Whether it adds permits, and does not only hold some."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class TeamAsk:
    """What one borrower needs for one team.

    Attributes
    ----------
    demand : float
        Recent requests a second.
    want : float
        Permits needed at once.
    holdings : tuple of Holding
        Every lease in use; the borrower has given up all others.
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
        Grows with each ask of this incarnation.
    order : BundleOrder
        Greatest bundle that the borrower has or has heard of.
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
    """A lease: a small bucket that is valid for a short time.

    Attributes
    ----------
    amount : float
        Permits to begin with.
    rate : float
        Permits a second that it adds.
    capacity : float
        Most permits that it may hold.
    seconds : float
        Time of validity, counted by the borrower from its ask.
    source : ZoneName
        Zone whose share it was cut from.
    """

    lease: int
    amount: float
    rate: float
    capacity: float
    seconds: float
    source: ZoneName

    @property
    def standing(self) -> bool:
        """Whether it replaces the former standing lease of its source."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class TeamAnswer:
    """Answer for one team.

    Attributes
    ----------
    wait : float
        Seconds until another ask for permits is worth its while.
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
    """A lease that a leaving owner still counts.

    Attributes
    ----------
    seconds : float
        Time for which it counts on, from the arrival of the message at the latest.
    """

    host: HostId
    incarnation: Incarnation
    lease: int
    rate: float
    capacity: float
    seconds: float


@dataclass(frozen=True, slots=True)
class Handover:
    """Last word of a leaving owner, who mints and grants nothing after it.

    Attributes
    ----------
    host, incarnation
        The leaving owner.
    to_incarnation : Incarnation
        The one that may use it; 0 where the list of hosts does not tell.
    level : float
        Permits that no lease holds.
    rate, burst : float
        Share that the owner kept to.
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
