"""Fake parts of a node that fail at random, and fake messages between nodes."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import TYPE_CHECKING

import orjson
from expression import Error, Ok, Result

from damaskramp.admission import Refusal
from damaskramp.core import (
    Reason,
)
from damaskramp.http import (
    HttpRequest,
    HttpResponse,
    TransportError,
    TransportErrorKind,
)
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.home_messages import ClaimCopy, CopyResult, HomeCall, HomeMessages
from damaskramp.ownership import Owner, Ownership, rank_members
from damaskramp.quota import RateLimiter
from damaskramp.testing.history import Execution

if TYPE_CHECKING:
    from damaskramp.node.tests.fake_fleet import FakeFleet, FakeNode

__all__ = [
    "BackendFate",
    "FakeBackend",
    "FakeLimiter",
    "FakeMessages",
    "FakeOwnership",
    "FakePeers",
]


class BackendFate(Enum):
    """Result of every request at a backend server.

    The fleet draws a number and compares it with multiples of its share of faults.
    With a share of 1, each value lies in the interval of its own result.
    """

    CONNECT_FAILED = 0.5
    SHED = 1.5
    BROKEN = 2.5
    ANSWERED = 3.5

    @property
    def share(self) -> float:
        """Number that selects this result in place of a drawn one."""
        return self.value


class FakeLimiter(RateLimiter):
    """Limiter that refuses a random share of the requests."""

    def __init__(self, fleet: FakeFleet) -> None:
        self._fleet = fleet

    async def acquire(self, team: str, deadline: float) -> Result[None, Refusal]:
        """Admit or refuse a request at random."""
        if self._fleet.chance(self._fleet.over_rate):
            return Error(Refusal(Reason.TEAM_OVER_RATE))
        return Ok(None)


class FakeOwnership(Ownership):
    """Ownership that follows from the view of the node."""

    def __init__(self, node: FakeNode) -> None:
        self._node = node
        self.since = node.fleet.timers.now

    @property
    def active(self) -> bool:
        return any(m.host == self._node.host for m in self._node.view)

    @property
    def active_since(self) -> float:
        return self.since

    def successors(self, resource: str, count: int) -> tuple[Owner, ...]:
        ranked = rank_members(self._node.view, resource)[:count]
        return tuple(Owner(m.host, m.incarnation, m.peer) for m in ranked)

    def owns(self, resource: str) -> bool:
        owner = self.owner(resource)
        own = (self._node.host, self._node.incarnation)
        return owner is not None and (owner.host, owner.incarnation) == own

    def may_release(self, resource: str, releaser: Owner) -> bool:
        owner = self.owner(resource)
        if owner is None:
            return False
        own = (owner.host, owner.incarnation)
        return own == (releaser.host, releaser.incarnation)


class FakeBackend:
    """Backend server that answers, sheds, resets or refuses connections at random."""

    def __init__(self, node: FakeNode) -> None:
        self._node = node

    async def reachable(self, timeout: float) -> bool:
        """Return True, since the fakes fail answers but never the server process."""
        return True

    async def request(
        self, request: HttpRequest, timeout: float
    ) -> Result[HttpResponse, TransportError]:
        """Answer one request after a random virtual time."""
        fleet = self._node.fleet
        fate = fleet.draw() if fleet.fate is None else fleet.fate.share
        faults = fleet.backend_faults if fleet.fate is None else 1.0
        if fate < faults:
            return Error(TransportError(TransportErrorKind.CONNECT, False))
        await self._node.wait_until_running()
        if fate < 2 * faults:
            return Ok(HttpResponse(503))
        digest = hashlib.sha256(request.target.encode() + request.body).hexdigest()
        request_id = request.value(b"damaskramp-request-id").decode()
        team = request.value(b"damaskramp-team").decode()
        fleet.executions.append(
            Execution(self._node.host, team, request_id, fleet.timers.now, digest)
        )
        seconds = fleet.between(0.0, 2 * fleet.service_seconds)
        await fleet.sleep(min(seconds, timeout))
        if seconds >= timeout:
            return Error(TransportError(TransportErrorKind.TIMEOUT, True))
        if fate < 3 * faults:
            return Error(TransportError(TransportErrorKind.BROKEN, True))
        body = orjson.dumps({"id": request_id, "digest": digest})
        return Ok(HttpResponse(200, (), body))


class FakePeers:
    """Fake client for calls to executing nodes."""

    def __init__(self, node: FakeNode) -> None:
        self._node = node

    async def execute(self, member: Member, call: Call) -> Reply:
        """Run a call on another node."""
        fleet = self._node.fleet
        await self._node.wait_until_running()
        target = fleet.find_reachable(self._node, member.peer)
        if target is None:
            return Reply.not_run(Reason.CONNECT_FAILED)
        reply = await fleet.exchange(
            self._node, target, lambda: target.executor.execute(call)
        )
        return reply or Reply.unknown(Reason.ANSWER_LOST)


class FakeMessages(HomeMessages):
    """Fake messages between homes, which may be lost or duplicated."""

    def __init__(self, node: FakeNode) -> None:
        self._node = node

    async def run(self, peer: str, home_call: HomeCall) -> Reply | None:
        """Send a call to a home."""
        fleet = self._node.fleet
        await self._node.wait_until_running()
        target = fleet.find_reachable(self._node, peer)
        if target is None:
            return None
        if fleet.chance(fleet.duplicates):
            target.spawn(target.home.run(home_call))
        reply = await fleet.exchange(
            self._node, target, lambda: target.home.run(home_call)
        )
        return reply or Reply.unknown(Reason.ANSWER_LOST)

    async def copy(self, peer: str, copy: ClaimCopy, timeout: float) -> CopyResult:
        """Send the copy of a claim to a node."""
        fleet = self._node.fleet
        await self._node.wait_until_running()
        target = fleet.find_reachable(self._node, peer)
        if target is None:
            return CopyResult.LOST

        async def keep() -> CopyResult:
            return target.home.keep_copy(copy)

        return await fleet.exchange(self._node, target, keep) or CopyResult.LOST
