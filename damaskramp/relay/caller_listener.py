"""Listener for callers, with the state that their connections share."""

from collections import deque
from collections.abc import Callable

from damaskramp.core import Counters, MemoryShare
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_buffers import ReadBuffer
from damaskramp.relay.caller_connection import CallerConnection
from damaskramp.relay.caller_memory import BodyWaiter, CallerMemory, CallerShares
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.caller_turns import CallerTurns
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.shedding import SheddingLog

__all__ = ["CallerListener"]


class CallerListener:
    """Registry of all callers' connections, and their memory.

    Attributes
    ----------
    memory_account : CallerMemory
        Memory and descriptors of the connections.
    read_buffer : ReadBuffer
        Buffer that every connection is read into, one at a time.
    turns : CallerTurns
        Bound on the requests that begin in one turn of the event loop.
    """

    def __init__(
        self,
        handler: RequestHandler,
        names: ReservedNames,
        clock: Callable[[], float],
        counters: Counters,
        shares: CallerShares,
        shedding_log: SheddingLog,
    ) -> None:
        self.handler = handler
        self.names = names
        self.clock = clock
        self.counters = counters
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self.read_buffer = ReadBuffer()
        self.turns = CallerTurns()
        self.memory_account = CallerMemory(
            shares, self.connections, clock, shedding_log
        )

    def connect(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        return CallerConnection(self)

    @property
    def memory(self) -> MemoryShare:
        """Memory of bodies over 64 KiB."""
        return self.memory_account.bodies.share

    @property
    def _memory_waiters(self) -> deque[BodyWaiter]:
        return self.memory_account.bodies.waiters

    @property
    def unanswered(self) -> int:
        """Number of connections with an unanswered request."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unsent(self) -> int:
        """Number of connections with an answer that is not sent completely."""
        return sum(connection.has_unsent for connection in self.connections)

    def announce_close(self) -> None:
        """Close each connection after its next answer."""
        self.closing = True

    def release_memory(self, size: int) -> None:
        """Release the bytes of a body, and resume connections that wait for memory."""
        self.memory_account.bodies.release(size)

    def sweep(self) -> None:
        """Close connections that have been idle, slow or stalled for too long."""
        now = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.memory_account.sweep()

    def close_idle(self) -> None:
        """Close idle connections, and the others after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()
