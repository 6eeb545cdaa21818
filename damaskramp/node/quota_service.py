"""Rates of the teams in the node: leases and loans over gRPC."""

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

EXCHANGE_SECONDS = 1.0
HANDOVER_SECONDS = 0.5


class QuotaService(QuotaBase):
    """Answers the asks of other nodes.

    Parameters
    ----------
    owner : QuotaOwner
        Lender side of this node.
    """

    def __init__(self, owner: QuotaOwner) -> None:
        self._owner = owner

    async def Exchange(self, stream: Stream) -> None:
        """Answer one ask."""
        ask = decode_ask(await stream.recv_message())
        await stream.send_message(encode_answer(self._owner.answer(ask)))

    async def HandOver(self, stream: Stream) -> None:
        """Take what a leaving owner hands over."""
        self._owner.receive_handover(decode_handover(await stream.recv_message()))
        await stream.send_message(quota_pb2.HandoverReply())


class _GrpcTransport(AskTransport):
    """Sends asks by gRPC and hands answers to `receive`."""

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task] = set()
        self.receive: Callable[[Ask, Answer], None] = lambda ask, answer: None
        self.lost = 0

    def send(self, peer: str, ask: Ask) -> None:
        """Send an ask; a failure is as good as a lost message."""
        task = asyncio.get_running_loop().create_task(self._exchange(peer, ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Give up what is under way."""
        for task in self._tasks:
            task.cancel()

    async def hand_over(self, peer: str, handover: Handover) -> None:
        """Hand a team over; the successor waits where this is lost."""
        stub = QuotaStub(self._pool.channel(peer))
        try:
            await stub.HandOver(encode_handover(handover), timeout=HANDOVER_SECONDS)
        except (*FAILURES, TimeoutError):
            self.lost += 1

    async def _exchange(self, peer: str, ask: Ask) -> None:
        stub = QuotaStub(self._pool.channel(peer))
        try:
            reply = await stub.Exchange(encode_ask(ask), timeout=EXCHANGE_SECONDS)
        except (*FAILURES, TimeoutError):
            self.lost += 1
            return
        self.receive(ask, decode_answer(reply))


class QuotaNode:
    """Lender, borrower and their messages, in one node.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Time.
    incarnation : Incarnation
        This incarnation.
    members : Section of MemberTable
        Known members.
    ownership : Ownership
        Who owns what in the zone.
    pool : PeerPool
        Channels to other nodes.
    telemetry : Telemetry
        Counters.
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
        who = (host, incarnation, zone)
        self._owner = QuotaOwner(
            quota, timers, *who, ownership, self._shares, generator
        )
        self._limiter = LeasedLimiter(
            quota,
            timers,
            *who,
            ownership,
            self._owner,
            self._shares,
            self._transport,
            generator,
        )
        self._loan_client = LoanClient(
            quota, timers, *who, members, self._owner, self._shares, self._transport
        )
        self._transport.receive = self._receive

    @property
    def limiter(self) -> LeasedLimiter:
        """Limiter of requests from outside."""
        return self._limiter

    @property
    def service(self) -> QuotaService:
        """Server side."""
        return QuotaService(self._owner)

    def set_bundle(self, view: BundleView | None) -> None:
        """Follow a new bundle."""
        self._limiter.set_bundle(view)

    def renew(self, incarnation: Incarnation) -> None:
        """Become a new incarnation, which owns nothing yet."""
        self._owner.renew(incarnation)

    def start(self) -> None:
        """Begin to renew leases."""
        self._handle = self._timers.every(self._settings.tick_seconds, self._tick)

    def leave(self) -> None:
        """Own nothing more; called before the other nodes are told."""
        self._limiter.leave()
        self._owner.leave()

    async def hand_over(self, moment: float) -> None:
        """Mint until `moment`, then tell the successors what they need to go on."""
        if self._owner.teams:
            await asyncio.sleep(max(0.0, moment - self._timers.now))
        handovers = self._owner.hand_over()
        for successor, handover in handovers:
            self._limiter.set_successor(handover.team, successor)
        sends = [self._transport.hand_over(owner.peer, h) for owner, h in handovers]
        await asyncio.gather(*sends)

    def stop(self) -> None:
        """Ask for no more leases."""
        self._handle.cancel()
        self._transport.close()

    def status(self) -> dict:
        """State for ``damaskramp-status``.

        ``ready`` is false while the zone has no owner of some team, or while this
        node owns a team and still waits for the leases of a former owner to end.
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
        self._telemetry.value("quota_lost_asks", self._transport.lost)

    def _receive(self, ask: Ask, answer: Answer) -> None:
        if ask.between_zones:
            self._loan_client.receive(answer)
        else:
            self._limiter.receive(answer)
