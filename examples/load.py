"""Load generator: seeded open-loop arrivals at a list of nodes, and a report.

Arrivals do not wait for earlier responses, which models many independent callers.
Each phase has a rate and a duration, so the whole load is bounded.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
from ddsketch import DDSketch

from damaskramp.http import HttpClient, HttpRequest

__all__ = ["Flow", "LoadReport", "Phase", "run_load"]

ANSWER_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True)
class Flow:
    """Requests of one kind.

    Attributes
    ----------
    share : float
        Weight of the flow among all arrivals.
    retries : int
        Maximum number of immediate retries of a failed request.
    """

    name: str
    team: str
    key: str
    method: str
    target: str
    priority: str
    share: float
    timeout_ms: int = 2000
    retries: int = 0
    body: bytes = b"{}"


@dataclass(frozen=True)
class Phase:
    """A period with a constant arrival rate, in requests per second."""

    name: str
    rate: float
    seconds: float


@dataclass
class LoadReport:
    """Outcomes and latencies of requests, by phase, team and class."""

    outcomes: dict[tuple[str, str, str], Counter] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    seconds: dict[tuple[str, str, str], DDSketch] = field(
        default_factory=lambda: defaultdict(DDSketch)
    )
    attempts: int = 0

    def add(self, phase: str, flow: Flow, outcome: str, seconds: float) -> None:
        """Count one request with its retries; `seconds` is its total time."""
        key = (phase, flow.team, flow.priority)
        self.outcomes[key][outcome] += 1
        if outcome == "served":
            self.seconds[key].add(seconds)

    def total(self, outcome: str, phase: str | None = None) -> int:
        """Return the number of requests with an outcome."""
        return sum(
            counter[outcome]
            for (name, _, _), counter in self.outcomes.items()
            if phase in (None, name)
        )

    def table(self) -> str:
        """Format the report as a table."""
        head = f"{'phase':10} {'team':14} {'class':10} {'sent':>6} {'served':>7}"
        head += f" {'p50 ms':>7} {'p99 ms':>7}  why not"
        lines = [head, "-" * len(head)]
        for key in self.outcomes:
            lines.append(self._row(key))
        return "\n".join(lines)

    def _row(self, key: tuple[str, str, str]) -> str:
        counter = self.outcomes[key]
        sketch = self.seconds[key]
        quantiles = [sketch.get_quantile_value(q) for q in (0.5, 0.99)]
        shown = [f"{q * 1000:7.1f}" if q is not None else "      -" for q in quantiles]
        rest = ", ".join(
            f"{name} {count}"
            for name, count in counter.most_common()
            if name != "served"
        )
        phase, team, priority = key
        return (
            f"{phase:10} {team:14} {priority:10} {counter.total():6d}"
            f" {counter['served']:7d} {shown[0]} {shown[1]}  {rest}"
        )


async def run_load(
    addresses: Sequence[str],
    flows: Sequence[Flow],
    phases: Sequence[Phase],
    seed: int,
) -> LoadReport:
    """Send a load and report the outcomes.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:PORT`` of the nodes that callers reach.
    flows : sequence of Flow
        Kinds of requests; their shares are relative weights.
    phases : sequence of Phase
        Phases, run one after the other.
    seed : int
        Seed of the arrival times and of the choices of flows and nodes.
    """
    generator = np.random.default_rng(seed)
    clients = [_client(address) for address in addresses]
    report = LoadReport()
    weights = np.array([flow.share for flow in flows])
    weights = weights / weights.sum()
    loop = asyncio.get_running_loop()
    tasks = []
    due = loop.time()
    for phase in phases:
        end = due + phase.seconds
        while True:
            due += generator.exponential(1.0 / phase.rate)
            if due >= end:
                due = end
                break
            flow = flows[generator.choice(len(flows), p=weights)]
            client = clients[generator.integers(len(clients))]
            await asyncio.sleep(max(0.0, due - loop.time()))
            request = _send(client, flow, phase.name, report)
            tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    return report


def _client(address: str) -> HttpClient:
    host, _, port = address.rpartition(":")
    return HttpClient(host, int(port), idle_connections=512)


async def _send(client: HttpClient, flow: Flow, phase: str, report: LoadReport) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    outcome = "lost"
    for _ in range(flow.retries + 1):
        report.attempts += 1
        outcome = await _attempt(client, flow)
        if outcome == "served":
            break
    report.add(phase, flow, outcome, loop.time() - started)


async def _attempt(client: HttpClient, flow: Flow) -> str:
    headers = (
        (b"authorization", b"Bearer " + flow.key.encode()),
        (b"damaskramp-timeout-ms", b"%d" % flow.timeout_ms),
        (b"content-type", b"application/json"),
    )
    request = HttpRequest(flow.method, flow.target, headers, flow.body)
    answer = await client.request(request, ANSWER_TIMEOUT_SECONDS)
    if answer.is_error():
        return f"lost ({answer.error.kind.value})"
    response = answer.ok
    outcome = (response.value(b"damaskramp-outcome") or b"none").decode()
    if outcome == "answer":
        return "served" if response.status < 400 else f"failed inside {response.status}"
    reason = (response.value(b"damaskramp-reason") or b"").decode()
    return f"{outcome}: {reason}"
