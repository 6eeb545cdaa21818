"""Selection of servers at the entry hosts of `placement_model`."""

from abc import ABC, abstractmethod

from benchmarks.placement_server import ServerNode
from benchmarks.placement_settings import Kind
from damaskramp.dispatch import ServerSelector

__all__ = ["Chooser", "SelectorChooser"]


class Chooser(ABC):
    """Selection of servers at one entry host."""

    @abstractmethod
    def choose(self, servers, excluded, kind: Kind, now: float):
        """Choose a server; None if none may be asked now."""

    @abstractmethod
    def sent(self, server, kind: Kind) -> None:
        """Record that a request was sent."""

    @abstractmethod
    def ended(self, server, kind: Kind, failed, node: ServerNode, now: float) -> None:
        """Record the end of a request with the state of the server's node."""

    @abstractmethod
    def refused(self, server, kind: Kind, now: float) -> None:
        """Record a refusal that was not meant to be fast."""

    @abstractmethod
    def exchange(self, other: "Chooser", now: float) -> None:
        """Take what another host knows, as in the answer to a ping."""


class SelectorChooser(Chooser):
    """Selection by a `ServerSelector`, of this checkout or an earlier commit."""

    def __init__(self, selector: ServerSelector) -> None:
        self._selector = selector

    def choose(self, servers, excluded, kind, now):
        """Choose a server; None if none may be asked now."""
        return self._selector.choose(servers, excluded, kind.rank, now)

    def sent(self, server, kind):
        """Record that a request was sent."""
        self._selector.record_sent(server)

    def ended(self, server, kind, failed, node, now):
        """Record the end of a request with the state of the server's node."""
        self._selector.record_end(server, failed)
        self._selector.record_load(server, node.queue.load, now, kind.rank)

    def refused(self, server, kind, now):
        """Record a refusal that was not meant to be fast."""
        self._selector.record_refusal(server, kind.rank, now)

    def exchange(self, other, now):
        """Take nothing: hosts tell each other no loads."""
