"""Load balancing and retries on a virtual clock.

Six nodes balance calls over three backend servers (4 slots, 10 ms per call, queue of
64) at half of the capacity for 30 s. The fault lasts from 10 s to 20 s; the figures
cover this time. Calls have a deadline of 1 s; after a refused connection a call is
redirected to another host, up to three times. The second table shows attempts at the
deepest of 29 services per first attempt.

Run as ``python -m benchmarks.balancing``.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np
from ddsketch import DDSketch

from damaskramp.admission import Load
from damaskramp.balancing import (
    Attempt,
    AttemptResult,
    LoadBalancer,
    ObservedBalancer,
    RoundRobin,
)
from damaskramp.config import BalancingSettings
from damaskramp.core import HostId, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import Member
from damaskramp.node.tests.chain import FAULTS, Chain

SEED = 11
SLOTS = 4
QUEUE = 64
SERVICE_SECONDS = 0.010
HOSTS = 3
NODES = 6
LOAD_SHARE = 0.5
DEADLINE_SECONDS = 1.0
MAX_REDIRECTS = 3
WIRE_SECONDS = 0.0005
FAULT_BEGINS = 10.0
FAULT_ENDS = 20.0
RUN_SECONDS = 30.0
HOPS = 29
CHAIN_REQUESTS = 200


@dataclass
class Server:
    """Simulated backend server with slots, a queue and an optional fault."""

    timers: VirtualTimers
    random: np.random.Generator
    slowness: float = 1.0
    dead: bool = False
    hung: bool = False
    fails: float = 0.0
    busy: int = 0
    waiting: deque = field(default_factory=deque)

    def call(self, done: Callable[[AttemptResult], None]) -> None:
        """Run a call; `done` is called with the result unless the server hangs."""
        if self.dead:
            self.timers.after(WIRE_SECONDS, lambda: done(AttemptResult.FAILED))
        elif self.hung:
            return
        elif self.busy < SLOTS:
            self._begin(done)
        elif len(self.waiting) < QUEUE:
            self.waiting.append(done)
        else:
            self.timers.after(WIRE_SECONDS, lambda: done(AttemptResult.SHED))

    def _begin(self, done: Callable[[AttemptResult], None]) -> None:
        self.busy += 1
        seconds = self.random.exponential(SERVICE_SECONDS) * self.slowness
        self.timers.after(WIRE_SECONDS + seconds, lambda: self._end(done))

    def _end(self, done: Callable[[AttemptResult], None]) -> None:
        self.busy -= 1
        failed = self.dead or self.random.random() < self.fails
        done(AttemptResult.FAILED if failed else AttemptResult.ANSWERED)
        if self.waiting and self.busy < SLOTS:
            self._begin(self.waiting.popleft())

    @property
    def load(self) -> Load:
        """Load that the server reports with an answer."""
        return Load(self.busy, SLOTS + QUEUE, len(self.waiting))


class Run:
    """Simulation of one load with one kind of balancer."""

    def __init__(self, build: Callable, zones: tuple[str, ...]) -> None:
        self.timers = VirtualTimers()
        self.random = np.random.default_rng(SEED)
        self.members = [
            Member(HostId(f"h{n}"), ZoneName(zone), "x:1", ServiceName("s"))
            for n, zone in enumerate(zones)
        ]
        self.servers = {m.host: Server(self.timers, self.random) for m in self.members}
        self.listed = list(self.members)
        self.balancers = [
            build(self.timers, HostId(f"n{n}"), ZoneName(zones[n % len(zones)]))
            for n in range(NODES)
        ]
        self.sent = 0
        self.served = 0
        self.seconds = DDSketch()
        self.wrongly_ejected: set[tuple[int, HostId]] = set()
        self.faulty: HostId | None = None

    def run(self) -> None:
        """Run the load to its end."""
        rate = LOAD_SHARE * HOSTS * SLOTS / SERVICE_SECONDS
        self._arrive(rate)
        self.timers.advance(RUN_SECONDS)

    def _arrive(self, rate: float) -> None:
        if self.timers.now >= RUN_SECONDS - DEADLINE_SECONDS:
            return
        SimulatedRequest(self, int(self.random.integers(NODES))).begin()
        gap = self.random.exponential(1.0 / rate)
        self.timers.after(gap, lambda: self._arrive(rate))

    def record_wrong_ejections(self, node: int) -> None:
        """Record healthy hosts that a node has ejected."""
        ejected = getattr(self.balancers[node], "ejected", frozenset())
        self.wrongly_ejected |= {(node, h) for h in ejected if h != self.faulty}


class SimulatedRequest:
    """One request with its redirects."""

    def __init__(self, run: Run, node: int) -> None:
        self._run = run
        self._node = node
        self._started = run.timers.now
        self._tried: set[HostId] = set()
        self._over = False

    @property
    def _balancer(self) -> LoadBalancer:
        return self._run.balancers[self._node]

    def begin(self) -> None:
        """Send the request."""
        if FAULT_BEGINS <= self._started < FAULT_ENDS:
            self._run.sent += 1
        self._attempt()

    def _attempt(self) -> None:
        member = self._balancer.choose(self._run.listed, self._tried)
        if member is None:
            return
        host = member.host
        self._tried.add(host)
        self._balancer.started(host)
        sent = self._run.timers.now
        server = self._run.servers[host]
        over: list[bool] = []

        def done(result: AttemptResult) -> None:
            if over:
                return
            over.append(True)
            load = server.load if result is AttemptResult.ANSWERED else None
            seconds = self._run.timers.now - sent
            self._balancer.finished(Attempt(host, result, seconds, load))
            self._run.record_wrong_ejections(self._node)
            self._after(result, server.dead)

        left = DEADLINE_SECONDS - (sent - self._started)
        self._run.timers.after(left, lambda: done(AttemptResult.FAILED))
        server.call(done)

    def _after(self, result: AttemptResult, refused: bool) -> None:
        seconds = self._run.timers.now - self._started
        if result is AttemptResult.ANSWERED:
            if FAULT_BEGINS <= self._started < FAULT_ENDS:
                self._run.served += 1
                self._run.seconds.add(seconds)
        elif (
            refused and len(self._tried) <= MAX_REDIRECTS and seconds < DEADLINE_SECONDS
        ):
            self._attempt()


def calm(run: Run) -> None:
    """Inject no fault."""


def kill_one(run: Run) -> None:
    """Kill one of three servers."""
    _fault(run, dead=True)


def hang_one(run: Run) -> None:
    """Let one of three servers hang without answering."""
    _fault(run, hung=True)


def slow_one(run: Run) -> None:
    """Let one of three servers run at a fifth of its speed."""
    _fault(run, slowness=5.0)


def fail_one(run: Run) -> None:
    """Let one of three servers fail every call quickly."""
    _fault(run, fails=1.0, slowness=0.1)


def fail_all_half(run: Run) -> None:
    """Let a shared dependency fail half of the calls of all servers."""
    for server in run.servers.values():
        run.timers.after(FAULT_BEGINS, lambda server=server: _set(server, fails=0.5))


def cold_start(run: Run) -> None:
    """Add the third server, which runs at a fifth of its speed for 5 s."""
    joining = run.members[0]
    server = run.servers[joining.host]
    server.slowness = 5.0
    run.listed = run.members[1:]
    run.timers.after(FAULT_BEGINS, lambda: run.listed.append(joining))
    run.timers.after(FAULT_BEGINS + 5.0, lambda: _set(server, slowness=1.0))


def _fault(run: Run, **changes: object) -> None:
    host = run.members[0].host
    server = run.servers[host]
    run.faulty = host
    before = {name: getattr(server, name) for name in changes}
    run.timers.after(FAULT_BEGINS, lambda: _set(server, **changes))
    run.timers.after(FAULT_ENDS, lambda: _set(server, **before))


def _set(server: Server, **changes: object) -> None:
    for name, value in changes.items():
        setattr(server, name, value)


def round_robin(timers: VirtualTimers, own: HostId, zone: ZoneName) -> LoadBalancer:
    """Build the round-robin baseline."""
    return RoundRobin(zone)


def observed(timers: VirtualTimers, own: HostId, zone: ZoneName) -> LoadBalancer:
    """Build the balancer that damaskramp uses."""
    return ObservedBalancer(BalancingSettings(seed=SEED), timers, own, zone)


SCENARIOS = (
    calm,
    kill_one,
    hang_one,
    slow_one,
    fail_one,
    fail_all_half,
    cold_start,
)
LAYOUTS = {"one zone": ("z1",) * HOSTS, "three zones": ("z1", "z2", "z3")}


def balance() -> None:
    """Print the table of load balancing."""
    head = f"{'layout':12} {'scenario':14} {'balancer':12} {'sent':>6} {'served':>7}"
    print(f"{head} {'p50 ms':>7} {'p99 ms':>7}  wrongly ejected")
    for layout, zones in LAYOUTS.items():
        for scenario in SCENARIOS:
            for build in (round_robin, observed):
                run = Run(build, zones)
                scenario(run)
                run.run()
                p50, p99 = (
                    run.seconds.get_quantile_value(q) * 1000 for q in (0.5, 0.99)
                )
                print(
                    f"{layout:12} {scenario.__name__:14} {build.__name__:12}"
                    f" {run.sent:6d} {run.served / run.sent:7.1%}"
                    f" {p50:7.1f} {p99:7.1f}  {len(run.wrongly_ejected)}"
                )


def chain() -> None:
    """Print attempts at the deepest service per first attempt."""
    shed, _, _, _, lost, broken = FAULTS
    cases = {
        "deepest sheds all": {HOPS - 1: (1.0, shed)},
        "deepest loses all answers": {HOPS - 1: (1.0, lost)},
        "deepest fails all": {HOPS - 1: (1.0, broken)},
        "each hop loses 5 %": dict.fromkeys(range(HOPS), (0.05, lost)),
    }
    print(f"{'29 hops, callers at each hop retry 10 times':46} attempts / first")
    for name, faults in cases.items():
        hops = Chain(HOPS, SEED, faults, eager=10)
        asyncio.run(hops.drive(hops.send(CHAIN_REQUESTS)))
        print(f"{name:46} {hops.attempts / CHAIN_REQUESTS:.3f}")


if __name__ == "__main__":
    balance()
    print()
    chain()
