"""Entry nodes, homes and executing nodes in one event loop with a virtual clock.

The nodes run the real code without sockets. Messages between nodes, backend servers
and ownership are fakes that kill and freeze nodes, partition the zones, and lose,
delay and duplicate messages. The fake ownership keeps the contract of `Ownership`:
only a node that has been frozen holds an old view, and no other node of its zone
agrees with it.
"""

import asyncio
from dataclasses import dataclass

import numpy as np

from damaskramp.admission import EarlyRefusal, FixedAdmission
from damaskramp.balancing import RoundRobin
from damaskramp.bundle import (
    BundleView,
)
from damaskramp.config import DedupSettings, NodeSettings
from damaskramp.core import (
    HostId,
    Incarnation,
    Section,
    ServiceName,
    VirtualTimers,
    ZoneName,
    host_generator,
)
from damaskramp.dedup import ExecutionLedger, RequestIdIssuer, resource_of
from damaskramp.http import (
    HttpRequest,
    HttpResponse,
)
from damaskramp.membership import LocalBroadcast, Member, MemberTable
from damaskramp.node.containment import Containment
from damaskramp.node.contexts import ContextTable
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.entry import Entry
from damaskramp.node.execution import Executor
from damaskramp.node.home import Home
from damaskramp.node.home_router import HomeRouter
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.objectives import ObjectiveMonitor
from damaskramp.node.releases import ReleaseGuard
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.telemetry import Telemetry
from damaskramp.node.tests.fake_bundle import KEYS, ZONES, bundle_text, bundle_view
from damaskramp.node.tests.fake_parts import (
    BackendFate,
    FakeBackend,
    FakeLimiter,
    FakeMessages,
    FakeOwnership,
    FakePeers,
)
from damaskramp.quarantine import Quarantine
from damaskramp.retries import Backoff, HintSpreader
from damaskramp.testing.history import Execution

__all__ = ["KEYS", "BackendFate", "FakeFleet", "FakeNode", "bundle_text", "bundle_view"]

STEP_SECONDS = 0.05
LOOP_TURNS_PER_STEP = 12
HOSTS_PER_ZONE = 3


class FakeNode:
    """One node, assembled like the daemon but without sockets."""

    def __init__(self, fleet: "FakeFleet", host: str, zone: str) -> None:
        self.fleet = fleet
        self.host = HostId(host)
        self.zone = ZoneName(zone)
        self.peer = f"127.0.0.1:{9000 + fleet.next_number()}"
        self.incarnation = Incarnation(int(fleet.timers.wall_now * 1e6))
        self.alive = True
        self.frozen = False
        self.view: tuple[Member, ...] = ()
        self.members: Section[MemberTable] = Section("members", MemberTable())
        self.member = Member(
            self.host,
            self.zone,
            self.peer,
            ServiceName("slots"),
            incarnation=self.incarnation,
        )
        self._tasks: set[asyncio.Task] = set()
        self._build()

    def _build(self) -> None:
        timers = self.fleet.timers
        settings = NodeSettings.model_validate(
            {
                "node": {"host": self.host, "zone": self.zone},
                "listen": dict.fromkeys(("http", "peer", "admin"), "127.0.0.1:1"),
                "backend": {"service": "slots", "address": "127.0.0.1:1"},
                "platform": {"address": "127.0.0.1:1"},
                "trust": {"public_keys": ["0" * 64]},
                "dedup": DedupSettings(clock_skew_seconds=self.fleet.clock_skew),
            }
        )
        self.bundle: Section[BundleView | None] = Section("bundle", self.fleet.bundle)
        self.ownership = FakeOwnership(self)
        self.id_issuer = RequestIdIssuer(
            timers, self.zone, self.host, self.incarnation, self.host.encode()
        )
        telemetry = Telemetry(Section("classes", ("all",)))
        contexts = ContextTable(timers)
        self.ledger = ExecutionLedger(timers, lambda: self.home.retention(), 10_000)
        backend = FakeBackend(self)
        quarantine = Quarantine(
            settings.quarantine, timers, self.host, self.zone, LocalBroadcast()
        )
        self.executor = Executor(
            settings,
            timers,
            self.bundle,
            Section("lifecycle", Lifecycle.SERVING),
            FixedAdmission(8),
            backend,
            contexts,
            Containment(
                settings.quarantine,
                timers,
                quarantine,
                backend,
                telemetry.event,
            ),
            telemetry,
            ReleaseGuard(self.zone, self.ledger, self.ownership),
        )
        balancer = RoundRobin(self.zone)
        generator = host_generator(settings.retries.seed, self.host)
        dispatcher = Dispatcher(
            self.host,
            timers,
            settings.retries,
            Backoff(settings.retries, generator),
            self.members,
            balancer,
            self.executor,
            FakePeers(self),
            quarantine,
            telemetry.event,
        )
        allowances = RetryAllowances(
            settings.retries,
            timers,
            HintSpreader(settings.retries, generator),
            telemetry.event,
        )
        messages = FakeMessages(self)
        self.home = Home(
            settings,
            timers,
            self.bundle,
            self.ownership,
            self.id_issuer,
            dispatcher,
            messages,
        )
        self.home.set_bundle(self.fleet.bundle)
        self.router = HomeRouter(
            settings, self.members, self.ownership, self.id_issuer, self.home, messages
        )
        self.entry = Entry(
            settings,
            timers,
            self.bundle,
            contexts,
            FakeLimiter(self.fleet),
            dispatcher,
            EarlyRefusal(settings.admission, timers, np.random.default_rng(1)),
            allowances,
            telemetry,
            self.router,
            self.id_issuer,
            ObjectiveMonitor(timers, self.bundle),
        )

    def set_view(self, zone: tuple[Member, ...], everyone: list[Member]) -> None:
        """Set the view of the zone and of all members."""
        self.view = zone
        self.members.replace(MemberTable(everyone))
        self.home.ranges.observe_all()

    async def wait_until_running(self) -> None:
        """Wait until the process runs; this never returns for a killed process."""
        while self.frozen or not self.alive:
            await self.fleet.sleep(STEP_SECONDS)

    def spawn(self, coroutine: object) -> asyncio.Task:
        """Run a coroutine as a task of this process."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self) -> None:
        """Kill the process and cancel its tasks."""
        self.alive = False
        for task in [*self._tasks, *self.home._tasks]:
            task.cancel()
        self.home.close()


@dataclass
class _Cut:
    until: float = 0.0


class FakeFleet:
    """Fleet of two zones with three nodes each and faults drawn from a seed."""

    def __init__(
        self,
        seed: int = 0,
        bundle: BundleView | None = None,
        clock_skew: float = 0.5,
    ) -> None:
        self.timers = VirtualTimers()
        self.generator = np.random.default_rng(seed)
        self.clock_skew = clock_skew
        self.bundle = bundle or bundle_view()
        self.executions: list[Execution] = []
        self.over_rate = self.backend_faults = self.duplicates = 0.0
        self.service_seconds = 0.05
        self.fate: BackendFate | None = None
        self.lose_requests_to: set[str] = set()
        self.lose_replies_of: set[str] = set()
        self._cut = _Cut()
        self._number = 0
        self._zone_views: dict[str, tuple[Member, ...]] = {}
        self.nodes: dict[str, FakeNode] = {}
        self._lagging: set[str] = set()

    def build(self) -> None:
        """Start all nodes; this needs a running event loop."""
        for zone in ZONES:
            for position in range(HOSTS_PER_ZONE):
                host = f"{zone}-{position}"
                self.nodes[host] = FakeNode(self, host, zone)
        self.update_views()

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def draw(self) -> float:
        return float(self.generator.random())

    def chance(self, share: float) -> bool:
        return self.draw() < share

    def between(self, low: float, high: float) -> float:
        return float(self.generator.uniform(low, high))

    def pick(self, items: list) -> object:
        return items[int(self.generator.integers(len(items)))]

    async def sleep(self, seconds: float) -> None:
        """Sleep in virtual time."""
        done = asyncio.get_running_loop().create_future()
        self.timers.after(seconds, lambda: done.done() or done.set_result(None))
        await done

    async def advance(self, seconds: float) -> None:
        """Advance virtual time and run all timers and tasks that become due."""
        end = self.timers.now + seconds - 1e-9
        while self.timers.now < end:
            for _ in range(LOOP_TURNS_PER_STEP):
                await asyncio.sleep(0)
            self.timers.advance(STEP_SECONDS)
        for _ in range(LOOP_TURNS_PER_STEP):
            await asyncio.sleep(0)

    async def settle(self, task: asyncio.Task, seconds: float = 10.0) -> object:
        """Advance virtual time until a task is done, and return its result."""
        end = self.timers.now + seconds
        while not task.done() and self.timers.now < end:
            await self.advance(STEP_SECONDS)
        return task.result()

    async def call(self, host: str, request: HttpRequest) -> HttpResponse:
        """Send a request to an entry node and advance time until its answer."""
        node = self.nodes[host]
        return await self.settle(node.spawn(node.entry.handle(request)))

    def update_views(self) -> None:
        """Give every node that is not frozen the current view of active members."""
        alive = [n for n in self.nodes.values() if n.alive]
        everyone = [node.member for node in alive]
        for node in alive:
            if node.frozen or node.host in self._lagging:
                continue
            zone = tuple(
                other.member
                for other in alive
                if other.zone == node.zone and other.host not in self._lagging
            )
            node.set_view(zone, everyone)

    def cut(self, seconds: float) -> None:
        """Partition the two zones from each other for a time."""
        self._cut.until = max(self._cut.until, self.timers.now + seconds)

    def kill(self, host: str) -> None:
        """Kill a node; the other nodes see it at once."""
        self.nodes[host].kill()
        self.update_views()

    def restart(self, host: str) -> None:
        """Start a new incarnation of a dead node."""
        zone = self.nodes[host].zone
        self.nodes[host] = FakeNode(self, host, zone)
        self.update_views()

    async def freeze(self, host: str, seconds: float, takeover: bool) -> None:
        """Freeze a node; after a takeover it resumes with its old view."""
        node = self.nodes[host]
        if not node.alive or node.frozen:
            return
        node.frozen = True
        if takeover:
            self._lagging.add(node.host)
            self.update_views()
        await self.sleep(seconds)
        node.frozen = False
        if takeover:
            await self.sleep(6 * STEP_SECONDS)
            # The node detects that it was frozen, and its ownership starts anew.
            self._lagging.discard(node.host)
            if node.alive:
                node.view = ()
                node.home.ranges.observe_all()
                node.ownership.since = self.timers.now
                self.update_views()

    def find_reachable(self, source: FakeNode, peer: str) -> FakeNode | None:
        """Node at an address, or None if no connection can be made."""
        target = next((n for n in self.nodes.values() if n.peer == peer), None)
        if target is None or not target.alive or self._is_cut(source, target):
            return None
        return target

    async def exchange(
        self, source: FakeNode, target: FakeNode, handle: object
    ) -> object:
        """Deliver a message and return the reply; None if either is lost."""
        await self.sleep(self.between(0.0, 2 * STEP_SECONDS))
        if self._is_cut(source, target) or not target.alive:
            return None
        if target.host in self.lose_requests_to:
            return None

        async def deliver() -> object:
            await target.wait_until_running()
            return await handle()

        task = target.spawn(deliver())
        waited = await self._wait(task, 1.0)
        lost = target.host in self.lose_replies_of or self._is_cut(source, target)
        if not waited or task.cancelled() or lost:
            return None
        return task.result()

    async def _wait(self, task: asyncio.Task, seconds: float) -> bool:
        """Wait in virtual time; on timeout the call is cancelled at its server."""
        expired = asyncio.get_running_loop().create_future()
        self.timers.after(seconds, lambda: expired.done() or expired.set_result(None))
        await asyncio.wait({task, expired}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            task.cancel()
            return False
        return True

    def _is_cut(self, source: FakeNode, target: FakeNode) -> bool:
        return source.zone != target.zone and self.timers.now < self._cut.until

    def owner_of(self, key: bytes, zone: str) -> FakeNode:
        """Node that owns the range of a claim key."""
        node = next(n for n in self.nodes.values() if n.alive and n.zone == zone)
        return self.nodes[node.ownership.owner(resource_of(key)).host]

    def close(self) -> None:
        """Kill all nodes."""
        for node in self.nodes.values():
            node.kill()
