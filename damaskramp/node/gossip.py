"""Driving membership, broadcast and ownership over gRPC."""

import asyncio
from collections.abc import Coroutine

from damaskramp.core import HostId, Incarnation, Section, TimerService
from damaskramp.membership import (
    GossipProtocol,
    ListedMember,
    MembershipSettings,
    MemberState,
    MemberTable,
)
from damaskramp.node.ownership_codec import decode_ack, encode_ask
from damaskramp.node.peers import FAILURES, PeerPool
from damaskramp.node.telemetry import Telemetry
from damaskramp.ownership import AcknowledgedOwnership, Ask
from damaskramp.wire.membership_grpc import GossiperStub
from damaskramp.wire.membership_pb2 import (
    STATE_LEAVING,
    STATE_LIVE,
    IndirectProbe,
    Update,
)

__all__ = ["GossipController"]

PROBE_PERIODS = 0.4
"""Timeout of a direct probe."""

INDIRECT_PERIODS = 1.0
"""Timeout of a probe by a helper, both ways included."""

ASK_PERIODS = 1.0
FAREWELLS = 8
"""Members told at once that this node leaves."""


class GossipController:
    """Controller of the blackboard's members section.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds.
    timers : TimerService
        Time.
    protocol : GossipProtocol
        Membership and broadcast.
    ownership : AcknowledgedOwnership
        Ownership inside the zone.
    members : Section of MemberTable
        Section that it writes.
    pool : PeerPool
        Channels.
    telemetry : Telemetry
        Counters.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        timers: TimerService,
        protocol: GossipProtocol,
        ownership: AcknowledgedOwnership,
        members: Section[MemberTable],
        pool: PeerPool,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._protocol = protocol
        self._ownership = ownership
        self._members = members
        self._pool = pool
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task] = set()
        self._was_active = False
        ownership.subscribe_renewal(self._follow_renewal)

    @property
    def protocol(self) -> GossipProtocol:
        """Membership and broadcast."""
        return self._protocol

    async def run(self) -> None:
        """Begin a period again and again, for ever."""
        while True:
            self._step()
            await asyncio.sleep(self._settings.period_seconds)

    def receive_list(self, listed: list[ListedMember]) -> None:
        """Take a reading of the host list."""
        self._protocol.roster.receive_list(listed)
        zone = self._protocol.roster.own.zone
        inside = [(m.host, m.peer) for m in listed if m.zone == zone]
        self._ownership.receive_list(inside)
        self._publish()

    async def leave(self) -> None:
        """Tell other nodes at once that this one leaves."""
        self._ownership.leave()
        roster = self._protocol.roster
        roster.leave()
        self._publish()
        near = [record.update for record in roster.others(roster.own.zone)]
        far = [
            record.update
            for zone in roster.zones()
            for record in roster.others(zone)[:1]
        ]
        told = near[:FAREWELLS] + far
        await asyncio.gather(*(self._probe(update) for update in told))

    async def close(self) -> None:
        """End what is under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def probe_for(self, host: str, peer: str) -> bool:
        """Probe a member in another's place; whether it answered."""
        record = self._protocol.roster.get(host)
        update = record.update if record else Update(host=host, peer=peer)
        return await self._probe(update)

    def _step(self) -> None:
        period = self._protocol.begin_period()
        if period.probe is not None:
            self._spawn(self._check(period.probe))
        for contact in period.contacts:
            self._spawn(self._probe(contact))
        if period.unlisted is not None:
            self._spawn(self._check_unlisted(period.unlisted))
        if period.sync is not None:
            self._spawn(self._sync(period.sync))
        self._drive_ownership()
        self._publish()
        broadcast = self._protocol.broadcast
        self._telemetry.value("broadcast_items", len(broadcast))
        self._telemetry.value("broadcast_items_refused", broadcast.refused)

    def _publish(self) -> None:
        table = self._protocol.roster.changed_table()
        if table is None:
            return
        self._members.replace(table)
        for state in MemberState:
            count = sum(member.state is state for member in table)
            self._telemetry.value(f"members_{state.value}", count)

    async def _check(self, target: Update) -> None:
        """Probe a member, by helpers where it doesn't answer, then suspect it."""
        begun = self._timers.now
        if await self._probe(target):
            return
        self._telemetry.event("probe_failed")
        helpers = self._protocol.helpers(target.host)
        answers = await asyncio.gather(*(self._ask(h, target) for h in helpers))
        if any(answers):
            return
        if self._protocol.record_probe_failure(target.host, begun):
            self._telemetry.event("member_suspected")
            self._publish()

    async def _check_unlisted(self, target: Update) -> None:
        begun = self._timers.now
        if not await self._probe(target):
            self._protocol.record_missed_probe(target.host, begun)

    async def _probe(self, target: Update) -> bool:
        stub = self._stub(target.peer)
        timeout = PROBE_PERIODS * self._settings.period_seconds
        message = self._protocol.message(target)
        try:
            answer = await stub.Probe(message, timeout=timeout)
        except (*FAILURES, TimeoutError):
            return False
        self._protocol.receive_answer(answer)
        self._publish()
        return answer.sender.host == target.host

    async def _ask(self, helper: Update, target: Update) -> bool:
        stub = self._stub(helper.peer)
        timeout = INDIRECT_PERIODS * self._settings.period_seconds
        gossip = self._protocol.message(helper)
        request = IndirectProbe(gossip=gossip, host=target.host, peer=target.peer)
        try:
            return (await stub.ProbeFor(request, timeout=timeout)).answered
        except (*FAILURES, TimeoutError):
            return False

    async def _sync(self, target: Update) -> None:
        stub = self._stub(target.peer)
        try:
            answer = await stub.Sync(
                self._protocol.sync_request(), timeout=self._settings.period_seconds
            )
        except (*FAILURES, TimeoutError):
            return
        self._telemetry.event("synced")
        self._protocol.receive_sync_answer(answer)
        self._publish()

    def _drive_ownership(self) -> None:
        roster = self._protocol.roster
        own = Incarnation(roster.own.incarnation)
        if own > self._ownership.own.incarnation:
            self._ownership.renew(Incarnation(own - 1))
        for record in roster.others(roster.own.zone):
            self._tell_ownership(record.update)
        for contact, ask in self._ownership.tick():
            self._spawn(self._acknowledge(contact.peer, ask))
        active = self._ownership.active
        if active != self._was_active:
            self._was_active = active
            name = "ownership_active" if active else "ownership_inactive"
            self._telemetry.event(name)
        self._telemetry.value("ownership_active", float(active))

    def _tell_ownership(self, update: Update) -> None:
        host = HostId(update.host)
        incarnation = Incarnation(update.incarnation)
        if update.state == STATE_LEAVING:
            self._ownership.receive_leave(host, incarnation)
        elif update.state == STATE_LIVE and update.incarnation:
            self._ownership.receive_host(host, update.peer)
            self._ownership.receive_heartbeat(host, incarnation)

    async def _acknowledge(self, peer: str, ask: Ask) -> None:
        timeout = ASK_PERIODS * self._settings.period_seconds
        try:
            answer = await self._stub(peer).Acknowledge(
                encode_ask(ask), timeout=timeout
            )
        except (*FAILURES, TimeoutError):
            return
        ack = decode_ack(answer)
        if ack is not None:
            self._ownership.receive_ack(ack)

    def _follow_renewal(self, incarnation: Incarnation) -> None:
        self._telemetry.event("incarnation_renewed")
        self._protocol.roster.renew(incarnation)
        self._publish()

    def _stub(self, peer: str) -> GossiperStub:
        return GossiperStub(self._pool.channel(peer))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
