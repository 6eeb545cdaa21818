"""Controller that runs membership, broadcast and ownership over gRPC."""

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

PROBE_TIMEOUT_PERIODS = 0.4
"""Timeout of a direct probe, in gossip periods."""

INDIRECT_PROBE_TIMEOUT_PERIODS = 1.0
"""Timeout of a probe through a helper, in gossip periods.

It includes the round trip to the helper.
"""

ASK_TIMEOUT_PERIODS = 1.0
"""Timeout of a request for an ownership acknowledgement, in gossip periods."""

MAX_LEAVE_NOTICES = 8
"""Members of the own zone that a leaving node notifies at once."""


class GossipController:
    """Controller that runs the gossip and writes the blackboard's members section.

    Parameters
    ----------
    settings : MembershipSettings
        Times and bounds of the protocol.
    timers : TimerService
        Clock and timers.
    protocol : GossipProtocol
        Membership and broadcast.
    ownership : AcknowledgedOwnership
        Ownership inside the zone.
    members : Section of MemberTable
        Section of the blackboard to which the member table is written.
    pool : PeerPool
        Channels to other nodes.
    telemetry : Telemetry
        Metrics of the node.
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
        ownership.subscribe_renewal(self._renew_incarnation)

    @property
    def protocol(self) -> GossipProtocol:
        """Membership and broadcast."""
        return self._protocol

    async def run(self) -> None:
        """Begin a gossip period every `period_seconds` until cancelled."""
        while True:
            self._begin_period()
            await asyncio.sleep(self._settings.period_seconds)

    def receive_list(self, listed: list[ListedMember]) -> None:
        """Apply the host list that was last read from the platform."""
        self._protocol.roster.receive_list(listed)
        zone = self._protocol.roster.own.zone
        zone_hosts = [(m.host, m.peer) for m in listed if m.zone == zone]
        self._ownership.receive_list(zone_hosts)
        self._publish()

    async def leave(self) -> None:
        """Announce to other nodes at once that this node leaves."""
        self._ownership.leave()
        roster = self._protocol.roster
        roster.leave()
        self._publish()
        zone_updates = [record.update for record in roster.others(roster.own.zone)]
        remote_updates = [
            record.update
            for zone in roster.zones()
            for record in roster.others(zone)[:1]
        ]
        notified = zone_updates[:MAX_LEAVE_NOTICES] + remote_updates
        await asyncio.gather(*(self._probe(update) for update in notified))

    async def close(self) -> None:
        """Cancel all running exchanges and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def probe_for(self, host: str, peer: str) -> bool:
        """Probe a member on behalf of another; return whether it answered."""
        record = self._protocol.roster.get(host)
        update = record.update if record else Update(host=host, peer=peer)
        return await self._probe(update)

    def _begin_period(self) -> None:
        period = self._protocol.begin_period()
        if period.probe is not None:
            self._spawn(self._check_member(period.probe))
        for contact in period.contacts:
            self._spawn(self._probe(contact))
        if period.unlisted is not None:
            self._spawn(self._check_unlisted(period.unlisted))
        if period.sync is not None:
            self._spawn(self._sync(period.sync))
        self._advance_ownership()
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

    async def _check_member(self, target: Update) -> None:
        """Probe a member; suspect it if it answers neither this node nor a helper."""
        started_at = self._timers.now
        if await self._probe(target):
            return
        self._telemetry.event("probe_failed")
        helpers = self._protocol.helpers(target.host)
        answers = await asyncio.gather(
            *(self._request_probe(h, target) for h in helpers)
        )
        if any(answers):
            return
        if self._protocol.record_probe_failure(target.host, started_at):
            self._telemetry.event("member_suspected")
            self._publish()

    async def _check_unlisted(self, target: Update) -> None:
        started_at = self._timers.now
        if not await self._probe(target):
            self._protocol.record_missed_probe(target.host, started_at)

    async def _probe(self, target: Update) -> bool:
        stub = self._stub(target.peer)
        timeout = PROBE_TIMEOUT_PERIODS * self._settings.period_seconds
        message = self._protocol.message(target)
        try:
            answer = await stub.Probe(message, timeout=timeout)
        except (*FAILURES, TimeoutError):
            return False
        self._protocol.receive_answer(answer)
        self._publish()
        return answer.sender.host == target.host

    async def _request_probe(self, helper: Update, target: Update) -> bool:
        stub = self._stub(helper.peer)
        timeout = INDIRECT_PROBE_TIMEOUT_PERIODS * self._settings.period_seconds
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

    def _advance_ownership(self) -> None:
        roster = self._protocol.roster
        own = Incarnation(roster.own.incarnation)
        if own > self._ownership.own.incarnation:
            self._ownership.renew(Incarnation(own - 1))
        for record in roster.others(roster.own.zone):
            self._update_ownership(record.update)
        for contact, ask in self._ownership.tick():
            self._spawn(self._request_ack(contact.peer, ask))
        active = self._ownership.active
        if active != self._was_active:
            self._was_active = active
            name = "ownership_active" if active else "ownership_inactive"
            self._telemetry.event(name)
        self._telemetry.value("ownership_active", float(active))

    def _update_ownership(self, update: Update) -> None:
        host = HostId(update.host)
        incarnation = Incarnation(update.incarnation)
        if update.state == STATE_LEAVING:
            self._ownership.receive_leave(host, incarnation)
        elif update.state == STATE_LIVE and update.incarnation:
            self._ownership.receive_host(host, update.peer)
            self._ownership.receive_heartbeat(host, incarnation)

    async def _request_ack(self, peer: str, ask: Ask) -> None:
        timeout = ASK_TIMEOUT_PERIODS * self._settings.period_seconds
        try:
            answer = await self._stub(peer).Acknowledge(
                encode_ask(ask), timeout=timeout
            )
        except (*FAILURES, TimeoutError):
            return
        ack = decode_ack(answer)
        if ack is not None:
            self._ownership.receive_ack(ack)

    def _renew_incarnation(self, incarnation: Incarnation) -> None:
        self._telemetry.event("incarnation_renewed")
        self._protocol.roster.renew(incarnation)
        self._publish()

    def _stub(self, peer: str) -> GossiperStub:
        return GossiperStub(self._pool.channel(peer))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
