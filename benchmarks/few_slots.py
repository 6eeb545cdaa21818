"""Placement over many servers with few slots each, on a virtual clock.

Many hosts choose among many servers by load reports that are a second old, while two
kinds of requests share the slots: short calls of running requests and long new
requests. The benchmark compares placement policies on the same arrivals::

    python -m benchmarks.few_slots
"""

import heapq
import itertools
import random
import statistics
from dataclasses import dataclass, field

from damaskramp.dispatch import (
    PlacementSettings,
    QueueDecision,
    RefusalBudget,
    SelectionSettings,
    ServerSelector,
    SlotQueue,
    SlotSettings,
    Work,
)
from damaskramp.fleet import BackendServer

__all__ = ["Fleet", "Result", "main"]

LINK_SECONDS = 0.0007
"""One-way delay between hosts, including the processing time of both nodes."""

SWEEP_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of requests; times in seconds."""

    name: str
    is_call: bool
    mean: float
    spread: float
    target: float
    deadline: float
    share: float


KINDS = (
    Kind("call", True, 0.039, 0.5, 0.3, 0.7, 0.96),
    Kind("view", False, 0.62, 0.5, 1.5, 3.0, 0.04),
)


@dataclass
class Result:
    """Results as seen by callers.

    Attributes
    ----------
    good : dict
        Number of requests of each kind that were answered within the latency target.
    waits : dict
        Seconds until each request of a kind started to run.
    messages : int
        Number of requests sent to servers' nodes.
    """

    asked: dict[str, int] = field(default_factory=dict)
    good: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    waits: dict[str, list[float]] = field(default_factory=dict)
    messages: int = 0
    refused_with_free_slot: int = 0

    def goodput(self, kind: str) -> float:
        """Return the share of a kind that was answered within the latency target."""
        return self.good.get(kind, 0) / max(1, self.asked.get(kind, 0))

    def wait(self, kind: str, percent: int) -> float:
        """Return a percentile of the waiting time in seconds."""
        waits = self.waits.get(kind, [])
        return statistics.quantiles(waits, n=100)[percent - 1] if len(waits) > 9 else 0


class _Request(Work):
    def __init__(self, fleet: "Fleet", kind: Kind, entry: int) -> None:
        now = fleet.now
        super().__init__(
            kind.name, kind.is_call, 1, now + kind.target, now + kind.deadline
        )
        self.fleet = fleet
        self.spec = kind
        self.entry = entry
        self.began = now
        self.refusal_budget = fleet.refusal_budget(kind)
        self.asked: set[str] = set()
        self.run_seconds = fleet.draw(kind)
        self.server: BackendServer | None = None

    def send(self) -> None:
        """Choose a server and send the request."""
        fleet = self.fleet
        selector = fleet.selectors[self.entry]
        rank = 0 if self.is_call else 2
        found = selector.choose(fleet.servers, self.asked, rank, fleet.now)
        if found is None:
            self.give_up()
            return
        self.server = found
        self.asked.add(found.id)
        fleet.result.messages += 1
        selector.record_sent(found)
        self.fail_fast = self.refusal_budget.should_fail_fast(
            len(fleet.servers) - len(self.asked)
        )
        fleet.after(LINK_SECONDS, self.arrive)

    def arrive(self) -> None:
        """Arrive at the server's node."""
        queue = self.fleet.queues[self.server.id]
        self.state = "new"
        decision = queue.offer(self, self.fleet.now)
        if decision is QueueDecision.RUN:
            self.fleet.start(self)
        elif decision is QueueDecision.REFUSE:
            self.fleet.after(LINK_SECONDS, self.refused)

    def refused(self) -> None:
        """Handle a refusal; send to another server or fail."""
        fleet = self.fleet
        selector = fleet.selectors[self.entry]
        selector.record_end(self.server, None)
        queue = fleet.queues[self.server.id]
        selector.record_load(self.server, queue.load, fleet.now)
        if not self.fail_fast:
            selector.record_refusal(self.server, 0 if self.is_call else 2, fleet.now)
        self.refusal_budget.record_refusal()
        if self.refusal_budget.has_remaining():
            self.send()
        else:
            self.give_up()

    def give_up(self) -> None:
        """Fail because no server accepted the request."""
        fleet = self.fleet
        fleet.count(fleet.result.refused, self.kind)
        free = any(q.running < q.limit for q in fleet.queues.values())
        fleet.result.refused_with_free_slot += free


class Fleet:
    """Simulation of entry hosts, servers and arrivals.

    Parameters
    ----------
    load : float
        Demand as a fraction of the capacity of all slots.
    """

    def __init__(
        self,
        placement: PlacementSettings,
        load: float,
        seed: int = 1,
        servers: int = 50,
        slots: int = 2,
        entries: int = 195,
        zones: int = 5,
    ) -> None:
        self.random = random.Random(seed)
        self.placement = placement
        self.now = 0.0
        self.result = Result()
        self._events: list = []
        self._order = itertools.count()
        self.servers = [
            BackendServer(
                f"i-{n}",
                "deep",
                f"10.0.0.{n}:80",
                f"z{n % zones}",
                slots,
                False,
                0,
                0,
                1,
            )
            for n in range(servers)
        ]
        self.queues = {s.id: SlotQueue(SlotSettings(), slots) for s in self.servers}
        self.speeds = {s.id: (0.7, 0.7, 1.6)[n % 3] for n, s in enumerate(self.servers)}
        self.selectors = [
            ServerSelector(
                SelectionSettings(), f"z{n % zones}", random.Random(seed * 999 + n)
            )
            for n in range(entries)
        ]
        mean = sum(kind.share * kind.mean for kind in KINDS)
        self.rate = load * servers * slots / mean

    def refusal_budget(self, kind: Kind) -> RefusalBudget:
        """Return the refusal budget of a request."""
        return RefusalBudget(self.placement, len(self.servers), kind.is_call)

    def draw(self, kind: Kind) -> float:
        """Draw the run time at speed 1, in seconds."""
        return kind.mean * self.random.lognormvariate(
            -(kind.spread**2) / 2, kind.spread
        )

    def after(self, seconds: float, action) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def count(self, table: dict, kind: str) -> None:
        """Count one request of a kind."""
        table[kind] = table.get(kind, 0) + 1

    def start(self, request: _Request) -> None:
        """Run a request."""
        waits = self.result.waits.setdefault(request.kind, [])
        waits.append(self.now - request.began)
        took = request.run_seconds / self.speeds[request.server.id]
        self.after(took, lambda: self._finish(request))

    def _finish(self, request: _Request) -> None:
        queue = self.queues[request.server.id]
        queue.finish(request, self.now, True)
        selector = self.selectors[request.entry]
        selector.record_end(request.server, False)
        selector.record_load(request.server, queue.load, self.now)
        if self.now <= request.target:
            self.count(self.result.good, request.kind)
        for work in queue.next_runs(self.now):
            self.start(work)

    def _sweep(self) -> None:
        for queue in self.queues.values():
            for work in queue.expire(self.now):
                work.refused()
        self.after(SWEEP_SECONDS, self._sweep)

    def play(self, seconds: float) -> Result:
        """Simulate arrivals for a number of seconds."""
        self._sweep()
        arrivals = self.now
        while True:
            arrivals += self.random.expovariate(self.rate)
            if arrivals > seconds:
                break
            while self._events and self._events[0][0] <= arrivals:
                self.now, _, action = heapq.heappop(self._events)
                action()
            self.now = arrivals
            kind = self.random.choices(KINDS, [k.share for k in KINDS])[0]
            self.count(self.result.asked, kind.name)
            _Request(self, kind, self.random.randrange(len(self.selectors))).send()
        while self._events and self._events[0][0] <= seconds + 4.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result


POLICIES = {
    "three patient tries": PlacementSettings(
        call_max_refusals=3, max_refusals=3, fail_fast=False
    ),
    "eager, three tries": PlacementSettings(call_max_refusals=3, max_refusals=3),
    "eager, more tries": PlacementSettings(),
}


def main() -> None:
    """Print the comparison."""
    print("load | policy | calls in time | views in time | wait p99 | messages | free")
    for load in (0.5, 0.8, 1.0, 1.3):
        for name, settings in POLICIES.items():
            found = Fleet(settings, load).play(10.0)
            asked = sum(found.asked.values())
            figures = (
                found.goodput("call"),
                found.goodput("view"),
                found.wait("call", 99),
                found.messages / asked,
                found.refused_with_free_slot / asked,
            )
            print(load, name, *(f"{figure:.3f}" for figure in figures), sep=" | ")


if __name__ == "__main__":
    main()
