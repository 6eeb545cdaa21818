"""Turns of callers' connections, so that their requests leave time for other work.

A request that is refused at once is answered while its bytes are read. A hundred
connections with some 35 such requests in each read took the event loop for up to two
seconds, and the timeouts of other work, as of reads of the platform, passed meanwhile.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from damaskramp.core import Counters

__all__ = ["CallerTurns", "TurnTaker"]

REQUESTS_PER_TURN = 32
"""Most requests that begin in one turn of the event loop, over all connections: some 10
ms of work on a busy host, where one request takes up to 0.4 ms."""


class TurnTaker(ABC):
    """Connection whose next request waits for a turn."""

    @abstractmethod
    def take_turn(self) -> bool:
        """Begin the next request; return whether there was one to begin."""


class CallerTurns:
    """Bound on the requests that begin in one turn of the event loop.

    Connections that wait take turns with one request each, in the order in which they
    began to wait. A request that arrives later waits behind them.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._waiting: deque[TurnTaker] = deque()
        self._begun = 0
        self._is_scheduled = False

    def may_begin(self) -> bool:
        """Count a request that is to begin at once; return False if it must wait."""
        if self._waiting or self._begun >= REQUESTS_PER_TURN:
            return False
        self._begun += 1
        self._schedule()
        return True

    def wait(self, connection: TurnTaker) -> None:
        """Let a connection begin one request in a later turn."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_turn)

    def _start_turn(self) -> None:
        """Begin requests of connections that wait, up to the bound."""
        self._is_scheduled = False
        if self._begun >= REQUESTS_PER_TURN:
            self._counters.add("caller_turns_full")
        self._begun = 0
        # A connection that waits again during this turn is served in a later one.
        for _ in range(len(self._waiting)):
            if self._begun >= REQUESTS_PER_TURN:
                break
            if self._waiting.popleft().take_turn():
                self._begun += 1
        if self._waiting or self._begun:
            self._schedule()
