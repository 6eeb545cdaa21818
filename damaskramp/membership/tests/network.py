"""Simulated network of nodes in several zones, in one process with virtual time."""

from collections.abc import Callable

import numpy as np

from damaskramp.core import HostId, Incarnation, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import (
    GossipProtocol,
    ListedMember,
    Member,
    MembershipSettings,
    MemberState,
)
from damaskramp.wire.membership_pb2 import Update

__all__ = ["Network", "Station"]

ANSWER_TIMEOUT_SECONDS = 0.4
MAX_DELAY_SECONDS = 0.02


class Station:
    """One node of the simulated network."""

    def __init__(self, protocol: GossipProtocol) -> None:
        self.protocol = protocol
        self.running = True
        self.frozen = False
        self.sent_bytes = 0
        self.messages = 0
        self.inbox: list[Callable[[], None]] = []

    @property
    def host(self) -> str:
        return self.protocol.roster.own.host

    @property
    def zone(self) -> str:
        return self.protocol.roster.own.zone

    def state_of(self, host: str) -> MemberState | None:
        record = self.protocol.roster.get(host)
        return None if record is None else record.as_member().state


class Network:
    """Delivers messages with delay, loss and duplication, and none across a cut."""

    def __init__(
        self, zones: int, nodes: int, loss: float = 0.0, duplication: float = 0.0
    ) -> None:
        self.timers = VirtualTimers()
        self.settings = MembershipSettings()
        self.random = np.random.default_rng(7)
        self.loss = loss
        self.duplication = duplication
        self.cut: set[str] = set()
        self.stations: dict[str, Station] = {}
        for zone in range(zones):
            for number in range(nodes):
                self.add(f"z{zone}-n{number}", f"z{zone}")

    @property
    def listed(self) -> list[ListedMember]:
        return [
            ListedMember(
                HostId(s.host), ZoneName(s.zone), f"{s.host}:1", ServiceName("s")
            )
            for s in self.stations.values()
        ]

    def add(self, host: str, zone: str, incarnation: int = 1) -> Station:
        own = Member(
            HostId(host),
            ZoneName(zone),
            f"{host}:1",
            ServiceName("s"),
            incarnation=Incarnation(incarnation),
        )
        random = np.random.default_rng(len(self.stations))
        protocol = GossipProtocol(self.settings, self.timers, own, random)
        station = self.stations[host] = Station(protocol)
        first_delay = float(self.random.random()) * self.settings.period_seconds
        self.timers.after(first_delay, lambda: self._begin(station))
        return station

    def publish(self) -> None:
        listed = self.listed
        for station in self.stations.values():
            station.protocol.roster.receive_list(listed)

    def freeze(self, host: str) -> None:
        self.stations[host].frozen = True

    def wake(self, host: str) -> None:
        station = self.stations[host]
        station.frozen = False
        for action in station.inbox:
            action()
        station.inbox.clear()

    def seen(self, host: str) -> set[MemberState | None]:
        """Return the states of a host at the other nodes that run and aren't frozen."""
        return {
            s.state_of(host)
            for s in self.stations.values()
            if s.running and not s.frozen and s.host != host
        }

    def _begin(self, station: Station) -> None:
        if not station.running:
            return
        self.timers.after(self.settings.period_seconds, lambda: self._begin(station))
        if not station.frozen:
            self._act(station)

    def _act(self, station: Station) -> None:
        period = station.protocol.begin_period()
        if period.probe is not None:
            self._probe(station, period.probe)
        for contact in period.contacts:
            self._exchange(station, contact, lambda: None)
        if period.unlisted is not None:
            self._check_unlisted(station, period.unlisted)
        if period.sync is not None:
            self._sync(station, period.sync)

    def _probe(self, station: Station, target: Update) -> None:
        began_at = self.timers.now
        answered = []
        self._exchange(station, target, lambda: answered.append(True))

        def ask_helpers() -> None:
            if answered:
                return
            for helper in station.protocol.helpers(target.host):
                self._indirect(station, helper, target, answered)
            self._after(station, 1.0, give_up)

        def give_up() -> None:
            if not answered:
                station.protocol.record_probe_failure(target.host, began_at)

        self._after(station, ANSWER_TIMEOUT_SECONDS, ask_helpers)

    def _check_unlisted(self, station: Station, target: Update) -> None:
        began_at = self.timers.now
        answered = []
        self._exchange(station, target, lambda: answered.append(True))

        def check_answer() -> None:
            if not answered:
                station.protocol.record_missed_probe(target.host, began_at)

        self._after(station, ANSWER_TIMEOUT_SECONDS, check_answer)

    def _indirect(self, station, helper, target, answered) -> None:
        other = self.stations[helper.host]
        gossip = station.protocol.message(helper)

        def ask() -> None:
            other.protocol.receive_answer(gossip)
            self._exchange(other, target, report_answer)

        def report_answer() -> None:
            self._send(other, station, 8, lambda: answered.append(True))

        self._send(station, other, gossip.ByteSize(), ask)

    def _exchange(self, station, target, on_answer) -> None:
        other = self.stations[target.host]
        message = station.protocol.message(target)

        def answer() -> None:
            reply = other.protocol.receive_probe(message)
            self._send(other, station, reply.ByteSize(), lambda: receive_reply(reply))

        def receive_reply(reply) -> None:
            station.protocol.receive_answer(reply)
            on_answer()

        self._send(station, other, message.ByteSize(), answer)

    def _sync(self, station, target) -> None:
        other = self.stations[target.host]
        request = station.protocol.sync_request()

        def answer() -> None:
            reply = other.protocol.receive_sync(request)
            self._send(
                other,
                station,
                reply.ByteSize(),
                lambda: station.protocol.receive_sync_answer(reply),
            )

        self._send(station, other, request.ByteSize(), answer)

    def _after(self, station: Station, delay: float, action: Callable) -> None:
        self.timers.after(delay, lambda: self._deliver(station, action))

    def _send(
        self, sender: Station, recipient: Station, size: int, action: Callable
    ) -> None:
        sender.sent_bytes += size
        sender.messages += 1
        if sender.zone != recipient.zone and {sender.zone, recipient.zone} & self.cut:
            return
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay = float(self.random.random()) * MAX_DELAY_SECONDS
            self.timers.after(delay, lambda: self._deliver(recipient, action))

    def _deliver(self, station: Station, action: Callable) -> None:
        if not station.running:
            return
        if station.frozen:
            station.inbox.append(action)
        else:
            action()
