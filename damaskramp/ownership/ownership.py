"""Interface of ownership inside a zone."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation

__all__ = ["Owner", "Ownership"]


@dataclass(frozen=True, slots=True)
class Owner:
    """A node that owns something.

    Attributes
    ----------
    peer : str
        ``IP:PORT`` where the node listens for other nodes.
    """

    host: HostId
    incarnation: Incarnation
    peer: str


class Ownership(ABC):
    """Owners of things inside the zone of this node.

    A thing is named by text, as ``quota/clubs``.
    """

    @property
    @abstractmethod
    def active(self) -> bool:
        """Whether this incarnation may own anything yet."""

    @property
    @abstractmethod
    def active_since(self) -> float:
        """Monotonic time at which this incarnation became active."""

    @abstractmethod
    def successors(self, resource: str, count: int) -> tuple[Owner, ...]:
        """Active members by falling rank for `resource`; the first is its owner."""

    @abstractmethod
    def owns(self, resource: str) -> bool:
        """Whether this incarnation is active and the owner of `resource`."""

    @abstractmethod
    def may_release(self, resource: str, releaser: Owner) -> bool:
        """Whether this node knows of no other owner of `resource` than `releaser`.

        An executing node asks this before it acts on the word of an owner; it is
        the fence against an owner that acts on old beliefs.
        """

    def owner(self, resource: str) -> Owner | None:
        """Owner of `resource`, None where no member is active."""
        owners = self.successors(resource, 1)
        return owners[0] if owners else None
