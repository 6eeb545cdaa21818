"""Messages by which a new incarnation becomes active, and their time limits."""

from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation

__all__ = ["Ack", "Ask", "KnownHost", "OwnershipSettings"]


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Time limits of ownership.

    Attributes
    ----------
    silence_seconds : float
        Silence after which a member is no longer ranked. It must exceed the lag of
        the host list, and twice the time in which membership detects a dead member.
    ask_seconds : float
        Time between two asks to one member.
    """

    silence_seconds: float = 16.0
    ask_seconds: float = 1.0

    @property
    def pause_seconds(self) -> float:
        """Longest pause of the event loop after which an incarnation may continue."""
        return self.silence_seconds / 4

    @property
    def sponsor_seconds(self) -> float:
        """Validity of a sponsor's answer, counted from the ask."""
        return self.silence_seconds / 2


@dataclass(frozen=True, slots=True)
class KnownHost:
    """Host in a node's view.

    Attributes
    ----------
    age : float
        Seconds since the host was last heard from.
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
        Digest of the host names in the asking node's view.
    asked_at : float
        Monotonic time of the asking node, returned in the answer.
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
        Whether the answering node is active and finds itself in the host list.
    acknowledged : Incarnation
        Incarnation that was acknowledged.
    asked_at : float
        Time stated in the ask.
    view : tuple of KnownHost
        View of the answering node; empty if the digests agree.
    """

    host: HostId
    incarnation: Incarnation
    peer: str
    active: bool
    listed: bool
    acknowledged: Incarnation
    asked_at: float
    view: tuple[KnownHost, ...] = ()
