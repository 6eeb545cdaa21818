"""Listener for callers, with the state that their connections share."""

from collections import deque
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_connection import CallerConnection
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.headers import ReservedNames

__all__ = ["CallerListener"]


class CallerListener:
    """Registry and memory budget of all callers' connections."""

    def __init__(
        self,
        handler: RequestHandler,
        names: ReservedNames,
        clock: Callable[[], float],
        counters: Counters,
        memory: ByteBudget,
    ) -> None:
        self.handler = handler
        self.names = names
        self.clock = clock
        self.counters = counters
        self.memory = memory
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self._memory_waiters: deque[CallerConnection] = deque()

    def connect(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        return CallerConnection(self)

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

    def wait_for_memory(self, connection: CallerConnection) -> None:
        """Let a connection continue to read once there is memory for its body."""
        self.counters.add("bodies_held_back")
        self._memory_waiters.append(connection)

    def release_memory(self, size: int) -> None:
        """Release the bytes of a body, and resume connections that wait for memory."""
        self.memory.release(size)
        while self._memory_waiters:
            if not self._memory_waiters[0].reserve_memory():
                return
            self._memory_waiters.popleft()

    def sweep(self) -> None:
        """Close connections that have been idle, slow or stalled for too long."""
        now = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def close_idle(self) -> None:
        """Close idle connections, and the others after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()
