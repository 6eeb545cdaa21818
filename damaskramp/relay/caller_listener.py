"""What all connections of callers share."""

from collections import deque
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_connection import CallerConnection
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.headers import ReservedNames

__all__ = ["CallerListener"]


class CallerListener:
    """What all callers' connections share."""

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
        """Protocol of a new connection."""
        return CallerConnection(self)

    @property
    def unanswered(self) -> int:
        """Requests that wait for their answer."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unsent(self) -> int:
        """Connections with answers that are not sent to the end."""
        return sum(connection.has_unsent for connection in self.connections)

    def announce_close(self) -> None:
        """Have each answer from now on be the last of its connection."""
        self.closing = True

    def wait_for_memory(self, connection: CallerConnection) -> None:
        """Have a connection read on once there is room for its body."""
        self.counters.add("bodies_held_back")
        self._memory_waiters.append(connection)

    def release_memory(self, size: int) -> None:
        """Count bytes of a body out, and let those go on that waited for them."""
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
        """Close connections without a request, and the others after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Break all connections off."""
        for connection in list(self.connections):
            connection.abort()
