"""Team quotas in a node: exchange of leases and loans over gRPC."""

import asyncio
from collections.abc import Callable
from dataclasses import asdict

import numpy as np
from grpclib.server import Stream

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    HostId,
    Incarnation,
    Section,
    TeamId,
    TimerService,
    ZoneName,
)
from damaskramp.membership import MemberTable
from damaskramp.node.peers import FAILURES, PeerPool
from damaskramp.node.quota_codec import (
    decode_answer,
    decode_ask,
    decode_handover,
    encode_answer,
    encode_ask,
    encode_handover,
)
from damaskramp.node.telemetry import Telemetry
from damaskramp.ownership import Ownership
from damaskramp.quota import (
    Answer,
    Ask,
    AskTransport,
    Handover,
    LeasedLimiter,
    LoanClient,
    QuotaOwner,
    QuotaSettings,
    ShareLedger,
)
from damaskramp.quota.owner import resource_of
from damaskramp.wire import quota_pb2
from damaskramp.wire.quota_grpc import QuotaBase, QuotaStub

__all__ = ["QuotaNode", "QuotaService"]

EXCHANGE_TIMEOUT_SECONDS = 1.0
HANDOVER_TIMEOUT_SECONDS = 0.5


class QuotaService(QuotaBase):
    """Service that answers lease and loan requests of other nodes.

    Parameters
    ----------
    owner : QuotaOwner
        Quota owner of this node, which issues the leases.
    """

    def __init__(self, owner: QuotaOwner) -> None:
        self._owner = owner

    async def Exchange(self, stream: Stream) -> None:
        """Answer one request for leases or loans."""
        ask = decode_ask(await stream.recv_message())
        await stream.send_message(encode_answer(self._owner.answer(ask)))

    async def HandOver(self, stream: Stream) -> None:
        """Receive the handover of a leaving owner."""
        self._owner.receive_handover(decode_handover(await stream.recv_message()))
        await stream.send_message(quota_pb2.HandoverReply())


class _GrpcTransport(AskTransport):
    """Transport that sends asks over gRPC and passes each answer to `receive`."""

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task] = set()
        self.receive: Callable[[Ask, Answer], None] = lambda ask, answer: None
        self.lost_messages = 0

    def send(self, peer: str, ask: Ask) -> None:
        """Send an ask without waiting; a failed call counts as a lost message."""
        task = asyncio.get_running_loop().create_task(self._exchange(peer, ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all running exchanges."""
        for task in self._tasks:
            task.cancel()

    async def hand_over(self, peer: str, handover: Handover) -> None:
        """Send a handover to the successor.

        If the message is lost, the successor waits instead for the leases of this
        owner to end.
        """
        stub = QuotaStub(self._pool.channel(peer))
        try:
            await stub.HandOver(
                encode_handover(handover), timeout=HANDOVER_TIMEOUT_SECONDS
            )
        except (*FAILURES, TimeoutError):
            self.lost_messages += 1

    async def _exchange(self, peer: str, ask: Ask) -> None:
        stub = QuotaStub(self._pool.channel(peer))
        try:
            reply = await stub.Exchange(
                encode_ask(ask), timeout=EXCHANGE_TIMEOUT_SECONDS
            )
        except (*FAILURES, TimeoutError):
            self.lost_messages += 1
            return
        self.receive(ask, decode_answer(reply))


class QuotaNode:
    """Quota owner, limiter and loan client of one node, with their transport.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Clock and timers.
    incarnation : Incarnation
        Incarnation of this node.
    members : Section of MemberTable
        Known members of the fleet.
    ownership : Ownership
        Owners of the resources in the zone.
    pool : PeerPool
        Channels to other nodes.
    telemetry : Telemetry
        Metrics of the node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        incarnation: Incarnation,
        members: Section[MemberTable],
        ownership: Ownership,
        pool: PeerPool,
        telemetry: Telemetry,
    ) -> None:
        self._timers = timers
        self._ownership = ownership
        self._telemetry = telemetry
        quota = self._settings = QuotaSettings(**settings.quota.model_dump())
        host, zone = HostId(settings.node.host), ZoneName(settings.node.zone)
        self._host = host
        generator = np.random.default_rng()
        self._transport = _GrpcTransport(pool)
        self._shares = ShareLedger(zone, quota.settle_seconds)
        identity = (host, incarnation, zone)
        self._owner = QuotaOwner(
            quota, timers, *identity, ownership, self._shares, generator
        )
        self._limiter = LeasedLimiter(
            quota,
            timers,
            *identity,
            ownership,
            self._owner,
            self._shares,
            self._transport,
            generator,
        )
        self._loan_client = LoanClient(
            quota,
            timers,
            *identity,
            members,
            self._owner,
            self._shares,
            self._transport,
        )
        self._transport.receive = self._receive

    @property
    def limiter(self) -> LeasedLimiter:
        """Rate limiter for requests from outside."""
        return self._limiter

    @property
    def service(self) -> QuotaService:
        """Service that answers other nodes over gRPC."""
        return QuotaService(self._owner)

    def set_bundle(self, view: BundleView | None) -> None:
        """Apply the quotas of a new bundle."""
        self._limiter.set_bundle(view)

    def renew(self, incarnation: Incarnation) -> None:
        """Continue as a new incarnation, which owns no team yet."""
        self._owner.renew(incarnation)

    def start(self) -> None:
        """Start to renew leases periodically."""
        self._handle = self._timers.every(self._settings.tick_seconds, self._tick)

    def leave(self) -> None:
        """Take ownership of no further team.

        The node calls this before it announces to other nodes that it leaves.
        """
        self._limiter.leave()
        self._owner.leave()

    async def hand_over(self, handover_at: float) -> None:
        """Issue leases until `handover_at`, then hand each team to its successor.

        Parameters
        ----------
        handover_at : float
            Monotonic time in seconds. A node that owns no team does not wait for it.
        """
        if self._owner.teams:
            await asyncio.sleep(max(0.0, handover_at - self._timers.now))
        handovers = self._owner.hand_over()
        for successor, handover in handovers:
            self._limiter.set_successor(handover.team, successor)
        sends = [self._transport.hand_over(owner.peer, h) for owner, h in handovers]
        await asyncio.gather(*sends)

    def stop(self) -> None:
        """Stop the renewal of leases and cancel running exchanges."""
        self._handle.cancel()
        self._transport.close()

    def status(self) -> dict:
        """Quota state for ``damaskramp-status``.

        ``ready`` is false while some team has no owner in the zone, or while this
        node owns a team and still waits for the leases of its former owner to end.
        """
        now = self._timers.now
        teams = self._owner.teams
        return {
            "ready": self._ready(),
            "counters": asdict(self._limiter.counters),
            "owned": {
                team: {
                    "minting": share.issuing,
                    "rate": share.issuer.rate,
                    "burst": share.issuer.capacity,
                    "level": round(share.issuer.level(now), 3),
                    "leased_rate": round(share.issuer.rate - share.issuer.free_rate, 3),
                    "loans": {loan.source: loan.rate for loan in share.loans.values()},
                    "settled": self._shares.settled(team),
                }
                for team, share in teams.items()
            },
        }

    def _ready(self) -> bool:
        if not self._ownership.active:
            return False
        view = self._shares.view
        teams = view.contents.teams if view else ()
        return view is not None and all(self._has_owner(team.name) for team in teams)

    def _has_owner(self, team: TeamId) -> bool:
        owner = self._ownership.owner(resource_of(team))
        if owner is None or owner.host != self._host:
            return owner is not None
        share = self._owner.teams.get(team)
        return share is not None and share.issuing

    def _tick(self) -> None:
        self._limiter.tick()
        self._loan_client.tick()
        for name, value in asdict(self._limiter.counters).items():
            self._telemetry.value(f"quota_{name}", value)
        self._telemetry.value("quota_owned", len(self._owner.teams))
        self._telemetry.value("quota_lost_asks", self._transport.lost_messages)

    def _receive(self, ask: Ask, answer: Answer) -> None:
        if ask.between_zones:
            self._loan_client.receive(answer)
        else:
            self._limiter.receive(answer)
