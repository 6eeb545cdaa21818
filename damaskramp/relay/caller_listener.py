"""Listener for callers, with the registry of their connections."""

from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_buffers import ReadBuffer
from damaskramp.relay.caller_connection import CallerConnection
from damaskramp.relay.caller_context import CallerContext
from damaskramp.relay.caller_memory import CallerMemory, CallerShares
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.shedding import SheddingLog

__all__ = ["CallerListener"]


class CallerListener:
    """Registry of all callers' connections.

    Attributes
    ----------
    connections : set of CallerConnection
        Open connections.
    context : CallerContext
        State that they share.
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
        self.connections: set[CallerConnection] = set()
        self._memory = CallerMemory(shares, self.connections, clock, shedding_log)
        self.context = CallerContext(handler, names, clock, counters, self._memory)
        self._read_buffer = ReadBuffer()

    @property
    def unanswered(self) -> int:
        """Number of connections with an unanswered request."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unsent(self) -> int:
        """Number of connections with an answer that is not sent completely."""
        return sum(connection.has_unsent for connection in self.connections)

    def connect(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        return CallerConnection(self.context, self.connections, self._read_buffer)

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a configuration."""
        self.context.limits = limits

    def announce_close(self) -> None:
        """Close each connection after its next answer."""
        self.context.closing = True

    def announce_end(self, end_at: float) -> None:
        """Have all open requests answered before the node ends.

        Parameters
        ----------
        end_at : float
            Clock time in seconds.
        """
        for connection in list(self.connections):
            connection.announce_end(end_at)

    def sweep(self) -> None:
        """Close connections that have been idle, slow or stalled for too long."""
        now = self.context.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self._memory.sweep()

    def close_idle(self) -> None:
        """Close idle connections, and the others after their answer."""
        self.context.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()
