"""Interface of ownership inside a zone."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from damaskramp.core import HostId, Incarnation

__all__ = ["Owner", "Ownership"]


@dataclass(frozen=True, slots=True)
class Owner:
    """Incarnation of a node that owns resources.

    Attributes
    ----------
    peer : str
        ``IP:PORT`` where the node listens for other nodes.
    """

    host: HostId
    incarnation: Incarnation
    peer: str


class Ownership(ABC):
    """Owners of resources inside the zone of this node.

    A resource is named by a string such as ``quota/clubs``.
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
        """Return active members by descending rank; the first owns `resource`."""

    @abstractmethod
    def owns(self, resource: str) -> bool:
        """Return whether this incarnation is active and the owner of `resource`."""

    @abstractmethod
    def may_release(self, resource: str, releaser: Owner) -> bool:
        """Return whether this node knows no owner of `resource` but `releaser`.

        An executing node checks this before it acts on a message from an owner; the
        check fences off an owner that acts on outdated knowledge.
        """

    def owner(self, resource: str) -> Owner | None:
        """Return the owner of `resource`, None if no member is active."""
        owners = self.successors(resource, 1)
        return owners[0] if owners else None
