"""Nodes on a virtual clock with an unreliable network, for tests and benchmarks.

Ownership is a fake that keeps the contract of the interface. Every node that runs
when a new owner becomes active knows that owner. A frozen node may still regard the
former owner as the owner. A node that was frozen for longer than the silence that
the others wait for learns the present owner when it wakes.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

import numpy as np

from damaskramp.bundle import Bundle, BundleView, SigningKey, sign_bundle
from damaskramp.core import (
    HostId,
    Incarnation,
    Section,
    ServiceName,
    TeamId,
    TimerService,
    VirtualTimers,
    ZoneName,
)
from damaskramp.membership import Member, MemberTable
from damaskramp.ownership import Owner, Ownership, rank_members
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
    StaticSplit,
)
from damaskramp.quota.owner import resource_of

KEY = SigningKey(bytes(32))
ISSUED = datetime(2020, 1, 1, tzinfo=UTC)
SILENCE_SECONDS = 1.5
STEP_SECONDS = 0.01


def make_view(version: int, zones: list[str], teams: list[dict]) -> BundleView:
    """Return a signed bundle with the given version, zones and teams."""
    head = {"version": version, "issued": ISSUED, "zones": zones, "classes": ["a"]}
    bundle = Bundle.model_validate({"bundle": head, "teams": teams})
    return BundleView(sign_bundle(bundle, KEY))


class SkewedTimers(TimerService):
    """Clock of one node, with its own zero and a small rate error."""

    def __init__(self, base: VirtualTimers, offset: float, rate: float) -> None:
        self._base = base
        self._offset = offset
        self._rate = rate

    @property
    def now(self) -> float:
        return self._offset + self._base.now * self._rate

    @property
    def wall_now(self) -> float:
        return self._base.wall_now

    def after(self, delay: float, callback: Callable[[], None]) -> object:
        return self._base.after(delay / self._rate, callback)


class FakeOwnership(Ownership):
    """Ownership as one node knows it, possibly outdated."""

    def __init__(self, node: "FakeNode") -> None:
        self._node = node
        self.known_owners: dict[str, Owner] = {}

    @property
    def active(self) -> bool:
        return True

    @property
    def active_since(self) -> float:
        return 0.0

    def successors(self, resource: str, count: int) -> tuple[Owner, ...]:
        owner = self.known_owners.get(resource)
        members = self._node.fleet.members.value.in_zone(self._node.zone)
        hosts = [m.host for m in rank_members(members, resource)]
        others = [self._node.fleet.nodes[host].as_owner for host in hosts]
        return (owner, *(x for x in others if x != owner))[:count] if owner else ()

    def owns(self, resource: str) -> bool:
        return self.known_owners.get(resource) == self._node.as_owner

    def may_release(self, resource: str, releaser: Owner) -> bool:
        owner = self.known_owners.get(resource)
        return owner is None or owner.host == releaser.host


@dataclass(frozen=True)
class Faults:
    """Faults of the network.

    Attributes
    ----------
    lost, duplicated : float
        Probability that a message is lost, and that it is sent twice.
    max_delay_seconds : float
        Longest delay of a message that does not lag.
    lagging : float
        Probability that a message lags.
    lag_seconds : float
        Longest delay of a message that lags.
    """

    lost: float = 0.0
    duplicated: float = 0.0
    max_delay_seconds: float = 0.002
    lagging: float = 0.0
    lag_seconds: float = 3.0


class FakeNode(AskTransport):
    """Node without sockets."""

    def __init__(
        self, fleet: "FakeFleet", name: str, zone: str, incarnation: int
    ) -> None:
        self.fleet = fleet
        self.host = HostId(name)
        self.zone = ZoneName(zone)
        self.incarnation = Incarnation(incarnation)
        self.frozen_at: float | None = None
        self.inbox: list[Callable[[], None]] = []
        generator = fleet.generator
        offset, rate = generator.uniform(0, 1e4), 1.0 + generator.uniform(-4e-4, 4e-4)
        self.timers = SkewedTimers(fleet.timers, offset, rate)
        self.ownership = FakeOwnership(self)
        settings = fleet.settings
        self.shares = ShareLedger(self.zone, settings.settle_seconds)
        identity = (self.host, self.incarnation, self.zone)
        self.owner = QuotaOwner(
            settings, self.timers, *identity, self.ownership, self.shares, generator
        )
        self.limiter = LeasedLimiter(
            settings,
            self.timers,
            *identity,
            self.ownership,
            self.owner,
            self.shares,
            self,
            generator,
        )
        self.loan_client = LoanClient(
            settings,
            self.timers,
            *identity,
            fleet.members,
            self.owner,
            self.shares,
            self,
        )
        self.static = StaticSplit(fleet.timers, self.zone)
        self.sent = self.received = 0

    @property
    def as_owner(self) -> Owner:
        return Owner(self.host, self.incarnation, self.host)

    def adopt(self, view: BundleView) -> None:
        self.limiter.set_bundle(view)
        self.static.set_bundle(view)

    def tick(self) -> None:
        self.limiter.tick()
        self.loan_client.tick()

    def send(self, peer: str, ask: Ask) -> None:
        self.sent += 1
        self.fleet.post(self.host, peer, lambda node: node.serve(ask))

    def serve(self, ask: Ask) -> None:
        self.received += 1
        answer = self.owner.answer(ask)
        self.reply(ask, answer)

    def reply(self, ask: Ask, answer: Answer) -> None:
        name = "take_loan" if ask.between_zones else "take_answer"
        self.fleet.post(self.host, ask.host, lambda node: getattr(node, name)(answer))

    def take_answer(self, answer: Answer) -> None:
        self.limiter.receive(answer)

    def leave(self) -> None:
        """Stop owning teams and send the handovers."""
        for owner, handover in self.owner.hand_over():
            self.fleet.post(
                self.host, owner.host, lambda node, h=handover: node.take_handover(h)
            )

    def take_handover(self, handover: Handover) -> None:
        self.owner.receive_handover(handover)

    def take_loan(self, answer: Answer) -> None:
        self.loan_client.receive(answer)


@dataclass
class Tally:
    """Times of the admitted and refused requests of a team, and their hosts."""

    admitted: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)


class FakeFleet:
    """Nodes of several zones, and the events that can happen to them."""

    def __init__(
        self,
        zones: dict[str, int],
        teams: list[dict],
        seed: int,
        faults: Faults | None = None,
        settings: QuotaSettings | None = None,
        static: bool = False,
        node_type: type[FakeNode] = FakeNode,
    ) -> None:
        self.generator = np.random.default_rng(seed)
        self.settings = settings or QuotaSettings()
        self.faults = faults or Faults()
        self.timers = VirtualTimers()
        self.members = Section("members", MemberTable())
        self.tally: dict[str, Tally] = {}
        self.cut: set[frozenset[str]] = set()
        self.on_message: Callable[[str, str, object], None] | None = None
        self._zones = zones
        self._static = static
        self._node_type = node_type
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._messages: list[tuple[float, int, str, Callable]] = []
        self._due: list[tuple[float, int, Callable]] = []
        self._tasks: set[asyncio.Task] = set()
        self.view = make_view(1, list(zones), teams)
        self.nodes: dict[str, FakeNode] = {}
        for zone, count in zones.items():
            for number in range(count):
                self.add(f"{zone}-{number}", zone)
        for team in teams:
            for zone in zones:
                self.elect(zone, team["name"])

    def add(self, name: str, zone: str) -> FakeNode:
        """Start a node, or replace it by a new incarnation."""
        node = self._node_type(self, name, zone, next(self._incarnations))
        self.nodes[name] = node
        for other in self.nodes.values():
            if other.zone == zone and other is not node:
                node.ownership.known_owners.update(other.ownership.known_owners)
        node.adopt(self.view)
        self._update_members()
        return node

    def remove(self, name: str) -> None:
        """Remove a node at once, without a handover."""
        del self.nodes[name]
        self._update_members()

    def freeze(self, name: str) -> None:
        """Freeze a node; its messages are kept until it wakes."""
        self.nodes[name].frozen_at = self.timers.now

    def wake(self, name: str) -> None:
        """Let a frozen node continue with its outdated owners.

        The node learns the present owners after it has processed its messages, or
        before that if it was frozen for longer than the silence.
        """
        node = self.nodes[name]
        frozen_seconds = self.timers.now - node.frozen_at
        node.frozen_at = None
        inbox, node.inbox = node.inbox, []
        if frozen_seconds >= SILENCE_SECONDS:
            self._learn_owners(node)
        for deliver in inbox:
            deliver()
        self._learn_owners(node)

    def elect(self, zone: str, team: str, avoid: str = "") -> str:
        """Make the highest ranked running node the owner and tell all running nodes."""
        candidates = list(self.members.value.in_zone(ZoneName(zone)))
        candidates = [
            m for m in candidates if m.host != avoid and self._is_running(m.host)
        ]
        if not candidates:
            return ""
        resource = resource_of(TeamId(team))
        owner = self.nodes[rank_members(candidates, resource)[0].host].as_owner
        for node in self.nodes.values():
            if node.zone == zone and node.frozen_at is None:
                node.ownership.known_owners[resource] = owner
        return owner.host

    def owner_of(self, zone: str, team: str) -> str:
        """Return the host that the running nodes of a zone know as the owner."""
        resource = resource_of(TeamId(team))
        for node in self.nodes.values():
            owner = node.ownership.known_owners.get(resource)
            if owner and node.zone == zone and node.frozen_at is None:
                return owner.host
        return ""

    def publish(self, teams: list[dict], lag: float) -> None:
        """Bring a new bundle into force at each node within `lag` seconds."""
        version = self.view.version + 1
        self.view = view = make_view(version, list(self._zones), teams)
        for node in self.nodes.values():
            self.later(self.generator.uniform(0, lag), _adopt_if_newer(node, view))

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action for a later step."""
        due = self.timers.now + delay
        heapq.heappush(self._due, (due, next(self._order), action))

    def post(self, source: str, target: str, deliver: Callable) -> None:
        """Send a message, or lose, duplicate or delay it."""
        if self.on_message:
            self.on_message(source, target, deliver)
        generator, faults = self.generator, self.faults
        copies = 0 if generator.random() < faults.lost else 1
        copies += generator.random() < faults.duplicated
        for _ in range(copies):
            delay = generator.uniform(0.0005, faults.max_delay_seconds)
            if generator.random() < faults.lagging:
                delay = generator.uniform(0, faults.lag_seconds)
            due = self.timers.now + delay
            item = (due, next(self._order), source, target, deliver)
            heapq.heappush(self._messages, item)

    def request(self, host: str, team: str) -> None:
        """Offer one request to a node."""
        node = self.nodes.get(host)
        if node is None or node.frozen_at is not None:
            return
        task = asyncio.get_running_loop().create_task(self._acquire(node, team))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float) -> None:
        """Advance time in small steps."""
        end = self.timers.now + seconds
        while self.timers.now < end - 1e-9:
            self.timers.advance(STEP_SECONDS)
            while self._due and self._due[0][0] <= self.timers.now:
                heapq.heappop(self._due)[2]()
            self._deliver()
            self._tick()
            if self._tasks:
                await asyncio.sleep(0)
                await asyncio.sleep(0)

    def _tick(self) -> None:
        step = round(self.timers.now / STEP_SECONDS)
        every = round(self.settings.tick_seconds / STEP_SECONDS)
        for number, node in enumerate(list(self.nodes.values())):
            if node.frozen_at is None and (step + number) % every == 0:
                node.tick()

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.timers.now:
            _, _, source, target, deliver = heapq.heappop(self._messages)
            node = self.nodes.get(target)
            if node is None or self._is_cut(source, target):
                continue
            if node.frozen_at is not None:
                node.inbox.append(lambda n=node, d=deliver: d(n))
            else:
                deliver(node)

    async def _acquire(self, node: FakeNode, team: str) -> None:
        limiter = node.static if self._static else node.limiter
        deadline = node.timers.now + 2.0
        result = await limiter.acquire(TeamId(team), deadline)
        tally = self.tally.setdefault(team, Tally())
        if result.is_ok():
            tally.admitted.append(self.timers.now)
            tally.hosts.append(node.host)
        else:
            tally.refused.append(self.timers.now)

    def _is_cut(self, source: str, target: str) -> bool:
        zones = {source.rsplit("-", 1)[0], target.rsplit("-", 1)[0]}
        return frozenset(zones) in self.cut

    def _is_running(self, host: str) -> bool:
        return host in self.nodes and self.nodes[host].frozen_at is None

    def _learn_owners(self, node: FakeNode) -> None:
        for other in self.nodes.values():
            knows = other is not node and other.frozen_at is None
            if knows and other.zone == node.zone:
                node.ownership.known_owners.update(other.ownership.known_owners)

    def _update_members(self) -> None:
        nodes = self.nodes.values()
        self.members.replace(
            MemberTable(
                Member(
                    n.host, n.zone, n.host, ServiceName("s"), incarnation=n.incarnation
                )
                for n in nodes
            )
        )
        for node in nodes:
            hosts = frozenset(n.host for n in nodes if n.zone == node.zone)
            node.static.set_hosts(hosts)


def _adopt_if_newer(node: FakeNode, view: BundleView) -> Callable[[], None]:
    def adopt() -> None:
        if view.version > node.shares.view.version:
            node.adopt(view)

    return adopt
