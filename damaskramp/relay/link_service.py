"""Service of a node for other nodes, over the links that they open."""

from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters
from damaskramp.relay.execution import Executor
from damaskramp.relay.incoming_link import IncomingLink
from damaskramp.relay.memory_queue import MemoryQueue

__all__ = ["LinkService"]


class LinkService:
    """Service of a node for other nodes.

    Parameters
    ----------
    memory : ByteBudget
        Budget for the bodies of calls, shared with the executor.
    partial_memory : ByteBudget
        Budget for messages that have not arrived completely.

    Attributes
    ----------
    answer_ping : callable
        Returns the fields of the answer to the fields of a ping.
    lend : callable
        Returns the permits lent and left, for a team and the least and most permits
        wanted.
    receive_returned : callable
        Receives a team and permits of it that another node could not use.
    receive_update : callable
        Receives changes that another node has read.
    """

    def __init__(
        self,
        executor: Executor,
        answer_ping: Callable[[list], tuple],
        lend: Callable[[str, float, float], tuple[float, float]],
        receive_returned: Callable[[str, float], None],
        receive_update: Callable[[list], None],
        clock: Callable[[], float],
        counters: Counters,
        memory: ByteBudget,
        partial_memory: ByteBudget,
    ) -> None:
        self.receive_update = receive_update
        self.executor = executor
        self.answer_ping = answer_ping
        self.lend = lend
        self.receive_returned = receive_returned
        self.clock = clock
        self.counters = counters
        self.memory = MemoryQueue(memory)
        self.partial_memory = partial_memory
        self.links: set[IncomingLink] = set()

    def connect(self) -> IncomingLink:
        """Create the protocol of a new connection."""
        return IncomingLink(self)

    @property
    def unsent(self) -> int:
        """Number of links on which an outcome has not reached the other host."""
        return sum(link.has_unsent for link in self.links)

    @property
    def uploads(self) -> int:
        """Number of calls whose bodies are arriving."""
        return sum(link.uploads for link in self.links)

    def sweep(self) -> None:
        """Drop bodies that nobody waits for, and those that are not taken."""
        now = self.clock()
        for link in list(self.links):
            link.check_bodies(now)

    def abort(self) -> None:
        """Abort all links."""
        for link in list(self.links):
            link.abort()
