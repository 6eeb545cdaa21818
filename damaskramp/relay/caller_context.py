"""State that the connections of all callers share."""

from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_memory import CallerMemory
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.caller_turns import CallerTurns
from damaskramp.relay.headers import ReservedNames

__all__ = ["CallerContext"]


class CallerContext:
    """Handler, limits and memory of callers' connections.

    Attributes
    ----------
    handler : RequestHandler
        Handler of complete requests.
    names : ReservedNames
        Names of header fields.
    limits : CallerLimits
        Limits of the configuration.
    memory : CallerMemory
        Memory and descriptors of the connections.
    turns : CallerTurns
        Bound on the requests that begin in one turn of the event loop.
    closing : bool
        Whether each connection is closed after its next answer.
    """

    __slots__ = (
        "clock",
        "closing",
        "counters",
        "handler",
        "limits",
        "memory",
        "names",
        "turns",
    )

    def __init__(
        self,
        handler: RequestHandler,
        names: ReservedNames,
        clock: Callable[[], float],
        counters: Counters,
        memory: CallerMemory,
    ) -> None:
        self.handler = handler
        self.names = names
        self.clock = clock
        self.counters = counters
        self.memory = memory
        self.limits = CallerLimits()
        self.turns = CallerTurns(counters)
        self.closing = False
