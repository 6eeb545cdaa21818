"""Values that describe evacuations of availability zones to other parts and hosts."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from damaskramp.fleet.model import EvacuationStatement, StorePosition

__all__ = [
    "EvacuationChange",
    "EvacuationSource",
    "EvacuationState",
    "EvacuationTerms",
    "ReportedStatement",
]


class EvacuationSource(Enum):
    """Where a host has learned of a statement."""

    STORE = "store"
    PEER = "peer"


class ReportedStatement(NamedTuple):
    """Statement as one host reports it to another.

    Attributes
    ----------
    age : float
        Seconds since a host first read the statement from the store.
    """

    statement: EvacuationStatement
    age: float


class EvacuationState(NamedTuple):
    """What one host tells another.

    Attributes
    ----------
    position : StorePosition
        Position up to which the statements are complete: a zone that they lack has no
        evacuation in force there.
    """

    position: StorePosition
    statements: tuple[ReportedStatement, ...]


class EvacuationChange(NamedTuple):
    """Begin or end of the evacuation of a zone, as one host learns of it.

    Attributes
    ----------
    seconds : float
        Age of the statement in seconds; for an end, the time for which the evacuation
        was known.
    """

    statement: EvacuationStatement
    source: EvacuationSource
    seconds: float


@dataclass(frozen=True, slots=True)
class EvacuationTerms:
    """Times of evacuations, in seconds.

    Attributes
    ----------
    effect_seconds : float
        Time from which nothing may be sent to a zone after its evacuation was
        requested.
    withdrawal_share : float
        Part of that time for which a withdrawal stands against the copy that the store
        was restored from. The rest of the time is for reading the store and for telling
        the other hosts.
    """

    effect_seconds: float = 5.0
    withdrawal_share: float = 0.3

    @property
    def withdrawal_seconds(self) -> float:
        """Time for which a withdrawal stands against a copy, in seconds."""
        return self.effect_seconds * self.withdrawal_share
