"""Messages by which a new incarnation becomes active."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation

__all__ = ["Ack", "Ask", "KnownHost", "OwnershipSettings"]


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Times of the ownership rule.

    Attributes
    ----------
    silence_seconds : float
        Silence after which a member no longer counts; above the lag of the host
        list, and above twice the time in which membership finds a dead member.
    ask_seconds : float
        Time between two asks of one member.
    """

    silence_seconds: float = 16.0
    ask_seconds: float = 1.0

    @property
    def pause_seconds(self) -> float:
        """Longest pause of the loop after which an incarnation may go on."""
        return self.silence_seconds / 4

    @property
    def sponsor_seconds(self) -> float:
        """Life of a sponsor's answer, from when it was asked for."""
        return self.silence_seconds / 2


@dataclass(frozen=True, slots=True)
class KnownHost:
    """A host in somebody's view.

    Attributes
    ----------
    age : float
        Seconds since it was last heard of.
    """

    host: HostId
    peer: str
    age: float


@dataclass(frozen=True, slots=True)
class Ask:
    """Request to acknowledge an incarnation.

    Attributes
    ----------
    view_digest : int
        Digest of the names in the asker's view.
    asked_at : float
        Monotonic time of the asker, handed back in the answer.
    """

    host: HostId
    incarnation: Incarnation
    peer: str
    view_digest: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement of an incarnation.

    Attributes
    ----------
    listed : bool
        Whether the answerer is active and read itself in the host list.
    acknowledged : Incarnation
        Incarnation that was acknowledged.
    view : tuple of Sighting
        The answerer's view; empty where the digests agree.
    """

    host: HostId
    incarnation: Incarnation
    peer: str
    active: bool
    listed: bool
    acknowledged: Incarnation
    asked_at: float
    view: tuple[KnownHost, ...] = ()
