"""Memory and descriptors of callers' connections, and who is closed to free them."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

from damaskramp.core import MemoryHolder, MemoryShare, worst_holders
from damaskramp.relay.shedding import Shedding, SheddingLog

__all__ = ["BodyMemory", "BodyWaiter", "CallerMemory", "CallerShares", "ClientHolder"]

CONNECTION_BYTES = 6 * 1024
"""Memory of a connection and of a small request on it, in bytes: 3.6 KB were measured
with 2,000 connections that had each served a request."""

MIN_STALL_SECONDS = 0.5
"""Shortest time without progress, in seconds, after which a connection is closed to
free memory: several round trips, and the longest turn of a busy event loop."""

MIN_BODY_STALL_SECONDS = 1.0
"""The same for a body that is being received while others wait for memory: the time
after which TCP resends a lost packet for the second time."""

SHED_SHARE = 32
"""One pass of shedding frees a 32nd of a share or more, as it ranks all connections."""

FUTILE_PASS_SECONDS = 0.1
"""Time, in seconds, for which no connections are ranked after a pass that freed
nothing, so that a flood of new connections does not cost a pass for each."""


class CallerShares(NamedTuple):
    """Shares of the accounts that callers draw on.

    Attributes
    ----------
    bodies, small_bodies : MemoryShare
        Bytes of bodies of requests, over and up to 64 KiB.
    connections : MemoryShare
        Bytes of connections, heads and pipelined requests.
    answers : MemoryShare
        Bytes of answers that callers have not read yet.
    passing_answers : MemoryShare
        Bytes of answers that are passed on as callers read them.
    descriptors : MemoryShare
        Number of connections.
    """

    bodies: MemoryShare
    small_bodies: MemoryShare
    connections: MemoryShare
    answers: MemoryShare
    passing_answers: MemoryShare
    descriptors: MemoryShare


class BodyWaiter(ABC):
    """Connection that waits for memory."""

    @abstractmethod
    def reserve_memory(self) -> bool:
        """Reserve the memory that the body waits for; return False if there is none."""


class BodyMemory:
    """Memory for bodies, and the connections that wait for it in order of arrival."""

    def __init__(self, share: MemoryShare) -> None:
        self.share = share
        self.waiters: deque[BodyWaiter] = deque()

    def reserve(self, size: int) -> bool:
        """Reserve bytes; a body that finds no room is granted alone.

        Large bodies that are complete need memory a second time, as calls for the
        backend server of this host. A second one that is still arriving would take it.
        """
        share = self.share
        return share.reserve(size) or (not share.used and share.reserve_alone(size))

    def reserve_unchecked(self, size: int) -> None:
        """Reserve bytes that are already held."""
        self.share.reserve_unchecked(size)

    def wait(self, waiter: BodyWaiter) -> None:
        """Let a connection continue to read once there is memory for its body."""
        self.waiters.append(waiter)

    def release(self, size: int) -> None:
        """Release the bytes of a body, and resume connections that wait."""
        self.share.release(size)
        if self.waiters:
            self.resume()

    def resume(self) -> None:
        """Resume the connections that wait, in order, as long as there is memory."""
        while self.waiters and self.waiters[0].reserve_memory():
            self.waiters.popleft()


class ClientHolder(MemoryHolder):
    """Connection of a client, which may be closed to free memory."""

    @property
    @abstractmethod
    def client(self) -> str:
        """Address of the client."""


class CallerMemory:
    """Reservations of callers' connections, which close others if there is no room.

    Parameters
    ----------
    connections : collection of ClientHolder
        Open connections; the owner adds and removes them.
    """

    def __init__(
        self,
        shares: CallerShares,
        connections: Collection[ClientHolder],
        clock: Callable[[], float],
        log: SheddingLog,
    ) -> None:
        self._shares = shares
        self._connections = connections
        self._clock = clock
        self._log = log
        self._futile_until: dict[Shedding, float] = {}
        self.bodies = BodyMemory(shares.bodies)
        self.small_bodies = BodyMemory(shares.small_bodies)

    def open_connection(self, client: str) -> bool:
        """Reserve a descriptor and the memory of a connection; return whether so."""
        descriptors = self._shares.descriptors
        if self._reserve(descriptors, 1, Shedding.DESCRIPTORS):
            if self.charge(CONNECTION_BYTES):
                return True
            descriptors.release(1)
        self._log.record(Shedding.DESCRIPTORS, client, 0)
        return False

    def close_connection(self) -> None:
        """Release what `open_connection` has reserved."""
        self._shares.descriptors.release(1)
        self._shares.connections.release(CONNECTION_BYTES)

    def charge(self, size: int) -> bool:
        """Reserve memory of a head or request; return whether there is room."""
        return self._reserve(self._shares.connections, size, Shedding.HEADS)

    def release(self, size: int) -> None:
        """Release memory of a head or request."""
        self._shares.connections.release(size)

    def hold_answer(self, size: int) -> None:
        """Reserve memory of an answer that is not sent yet; close others if needed."""
        answers = self._shares.answers
        if not answers.reserve(size):
            # The caller itself is among the candidates.
            answers.reserve_unchecked(size)
            self._shed(Shedding.ANSWERS, answers, size, 0.0)

    def release_answer(self, size: int) -> None:
        """Release memory of an answer."""
        self._shares.answers.release(size)

    def may_begin(self, connection: ClientHolder) -> bool:
        """Return whether a request may begin, whose answer will need memory."""
        answers = self._shares.answers
        if not answers.exhausted:
            return True
        self._shed(Shedding.ANSWERS, answers, 1, MIN_STALL_SECONDS)
        if not answers.exhausted:
            return True
        self._log.record(Shedding.REQUESTS, connection.client, 0)
        return False

    def sweep(self) -> None:
        """Close callers without progress while others wait for the memory they hold."""
        passing = self._shares.passing_answers
        if passing.refused:
            passing.refused = 0
            needed = passing.limit // SHED_SHARE
            self._shed(Shedding.ANSWERS, passing, needed, MIN_BODY_STALL_SECONDS)
        for memory in (self.bodies, self.small_bodies):
            if memory.waiters:
                # Other parts of the process may have released memory.
                memory.resume()
            if memory.waiters:
                needed = memory.share.limit // SHED_SHARE
                self._shed(
                    Shedding.BODIES, memory.share, needed, MIN_BODY_STALL_SECONDS
                )

    def _reserve(self, share: MemoryShare, size: int, kind: Shedding) -> bool:
        if share.reserve(size):
            return True
        self._shed(kind, share, size, MIN_STALL_SECONDS)
        return share.reserve(size)

    def _shed(
        self, kind: Shedding, share: MemoryShare, size: int, min_seconds: float
    ) -> None:
        """Close the connections that hold most and progress least."""
        now = self._clock()
        if now < self._futile_until.get(kind, 0.0):
            return
        needed = max(size, share.limit // SHED_SHARE)
        chosen = worst_holders(self._connections, kind, now, min_seconds, needed)
        if not chosen:
            self._futile_until[kind] = now + FUTILE_PASS_SECONDS
        for connection, held in chosen:
            freed = 0 if kind is Shedding.DESCRIPTORS else held
            self._log.record(kind, connection.client, freed)
            connection.shed(kind)
