"""Refusals within the rate, and message cost, of quota by leases.

The benchmark runs on a virtual clock, so figures are reproducible for a seed. It
compares three variants: an even static split over hosts, leases without loans, and
leases with loans. ``refusals`` offers Poisson arrivals below the team's rate, spread
evenly, with half of them at one node, or all in one zone. A refusal counts as wrong if
a bucket of the whole rate and burst, debited by the admitted requests, still held a
permit. ``cost`` enlarges a zone at constant load per node and reports messages and
bytes sent (the encoded messages, plus `FRAMING_BYTES` for HTTP/2 and gRPC framing).
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable

import numpy as np
from absl import app, flags

from damaskramp.node.quota_codec import encode_answer, encode_ask
from damaskramp.quota import QuotaSettings, TokenBucket
from damaskramp.quota.tests.fleet import FakeFleet, FakeNode

FLAGS = flags.FLAGS
TEAM = "clubs"
WARM_SECONDS = 6.0
FRAMING_BYTES = 90
"""HTTP/2 frames, indexed headers and gRPC prefixes in one direction of a call."""

ZONES = {"a": 5, "b": 4, "c": 4}
VARIANTS = {
    "static split": {"static": True},
    "leases, no loans": {"settings": QuotaSettings(lending=False)},
    "leases and loans": {"settings": QuotaSettings()},
}


class MeteredNode(FakeNode):
    """Node that sums the bytes of the asks and answers that it sends."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.bytes = 0

    def send(self, peer: str, ask: object) -> None:
        """Send an ask."""
        size = encode_ask(ask).ByteSize() + FRAMING_BYTES
        self.bytes += size
        super().send(peer, ask)

    def serve(self, ask: object) -> None:
        """Answer an ask."""
        self.received += 1
        answer = self.owner.answer(ask)
        size = encode_answer(answer).ByteSize() + FRAMING_BYTES
        self.bytes += size
        kind = FakeNode.take_loan if ask.between_zones else FakeNode.take_answer
        self.fleet.post(self.host, ask.host, lambda node: kind(node, answer))


def weights(hosts: list[str], skew: str) -> np.ndarray:
    """Return the share of the calls that enters at each host."""
    value = np.ones(len(hosts))
    if skew == "half at one node":
        value[0] = len(hosts) - 1
    if skew == "all in one zone":
        value = np.array([host.startswith(hosts[0][:2]) for host in hosts], float)
    return value / value.sum()


def offer(
    fleet: FakeFleet, team: str, rate: float, seconds: float, skew: str, seed: int
) -> None:
    """Schedule Poisson arrivals."""
    random = np.random.default_rng(seed)
    hosts = list(fleet.nodes)
    chances = weights(hosts, skew)
    count = random.poisson(rate * seconds)
    moments = np.sort(random.uniform(0, seconds, count))
    entry_indices = random.choice(len(hosts), size=count, p=chances)
    for moment, entry_index in zip(moments, entry_indices, strict=True):
        fleet.later(moment, _request(fleet, hosts[entry_index], team))


def _request(fleet: FakeFleet, host: str, team: str) -> Callable[[], None]:
    return lambda: fleet.request(host, team)


def wrongly_refused(fleet: FakeFleet, rate: float, burst: float) -> tuple[int, int]:
    """Count refusals within the rate, and all requests, after the warm-up."""
    tally = fleet.tally[TEAM]
    bucket = TokenBucket(rate, burst, 0.0)
    events = [(moment, 0) for moment in tally.admitted]
    events += [(moment, 1) for moment in tally.refused]
    wrong = total = 0
    for moment, refused in sorted(events):
        counts = moment > WARM_SECONDS
        total += counts
        if not refused:
            bucket.acquire(moment)
        elif counts and bucket.level(moment) >= 1.0:
            wrong += 1
    return wrong, total


def measure_refusals(rate: float, skew: str, variant: str) -> str:
    """Measure refusals and format the table row."""
    found: Counter[str] = Counter()
    for seed in range(FLAGS.runs):
        teams = [{"name": TEAM, "rate": rate, "burst": int(rate)}]
        fleet = FakeFleet(
            ZONES, teams, seed, node_type=MeteredNode, **VARIANTS[variant]
        )
        offer(fleet, TEAM, rate * FLAGS.load, FLAGS.seconds, skew, seed)
        asyncio.run(fleet.run(FLAGS.seconds + 1))
        wrong, total = wrongly_refused(fleet, rate, rate)
        counters = [node.limiter.counters for node in fleet.nodes.values()]
        found["wrong"] += wrong
        found["total"] += total
        found["admitted"] += sum(counter.admitted for counter in counters)
        found["waited"] += sum(counter.waited for counter in counters)
    waited = found["waited"] / max(1, found["admitted"])
    share = found["wrong"] / found["total"]
    return (
        f"{rate:7.0f} {skew:17} {variant:17} {found['total']:8d} {found['wrong']:7d}"
        f" {share:9.5f} {waited:9.3f}"
    )


def measure_cost(nodes: int, zones: int, teams: int) -> str:
    """Measure the message cost and format the row: messages and bytes per second."""
    names = [f"z{number}" for number in range(zones)]
    rate = FLAGS.node_rate * nodes * zones / teams / FLAGS.load
    entries = [
        {"name": f"team{number}", "rate": rate, "burst": max(1, int(rate))}
        for number in range(teams)
    ]
    lease = max(2.0, nodes / FLAGS.nodes_per_lease_second)
    settings = QuotaSettings(lease_seconds=lease)
    fleet = FakeFleet(
        dict.fromkeys(names, nodes),
        entries,
        1,
        settings=settings,
        node_type=MeteredNode,
    )
    warm = 2 * lease + 3.0
    seconds = max(FLAGS.seconds / 2, 2 * lease)
    for number, entry in enumerate(entries):
        offered = rate * FLAGS.load
        offer(fleet, entry["name"], offered, warm + seconds, "even", number)
    asyncio.run(fleet.run(warm))
    before = _spent(fleet)
    asyncio.run(fleet.run(seconds))
    after = _spent(fleet)
    spent = {name: (after[name] - before[name]) / seconds for name in after}
    asks = np.array([value[0] for value in spent.values()])
    received = np.array([value[1] for value in spent.values()])
    size = np.array([value[2] for value in spent.values()])
    waited = np.array([value[3] for value in spent.values()]).sum()
    admitted = np.array([value[4] for value in spent.values()]).sum()
    refused = np.array([value[5] for value in spent.values()]).sum()
    return (
        f"{nodes:5d} {zones:5d} {teams:5d} {lease:6.1f} {asks.mean():9.2f}"
        f" {received.max():9.2f} {size.mean():9.0f} {size.max():9.0f}"
        f" {waited / max(admitted, 1e-9):9.4f}"
        f" {refused / max(admitted + refused, 1e-9):9.5f}"
    )


def _spent(fleet: FakeFleet) -> dict[str, np.ndarray]:
    values: dict[str, np.ndarray] = defaultdict(lambda: np.zeros(6))
    for name, node in fleet.nodes.items():
        counters = node.limiter.counters
        values[name] = np.array(
            [
                node.sent,
                node.received,
                node.bytes,
                counters.waited,
                counters.admitted,
                counters.refused,
            ]
        )
    return values


def main(argv: list[str]) -> None:
    """Print the requested tables."""
    del argv
    if FLAGS.table in ("refusals", "all"):
        print(f"load {FLAGS.load} of the rate, burst one second, 13 nodes, 3 zones")
        print(
            "   rate entry             way                  calls   wrong     share",
            end="",
        )
        print("    waited")
        for rate in FLAGS.rate:
            for skew in ("even", "half at one node", "all in one zone"):
                for variant in VARIANTS:
                    print(measure_refusals(float(rate), skew, variant), flush=True)
    if FLAGS.table in ("cost", "all"):
        head = "nodes zones teams  lease  asks/s/n owner/s mx   B/s mean    B/s max"
        print(head + "    waited   refused")
        for nodes in FLAGS.nodes:
            print(measure_cost(int(nodes), FLAGS.zones, FLAGS.teams), flush=True)


if __name__ == "__main__":
    flags.DEFINE_enum("table", "all", ["refusals", "cost", "all"], "tables to print")
    flags.DEFINE_float("load", 0.8, "offered load over the team's rate")
    flags.DEFINE_float("seconds", 40.0, "virtual seconds of each run")
    flags.DEFINE_integer("runs", 3, "runs with different seeds")
    flags.DEFINE_multi_integer("rate", [20, 200, 1000], "rates of the team to compare")
    flags.DEFINE_multi_integer("nodes", [5, 11, 22, 44, 88], "nodes per zone")
    flags.DEFINE_integer("zones", 2, "zones")
    flags.DEFINE_integer("teams", 4, "number of teams of equal rate")
    flags.DEFINE_float("node_rate", 20.0, "requests per second that enter at a node")
    flags.DEFINE_float(
        "nodes_per_lease_second", 7.0, "nodes per zone for each second of lease"
    )
    app.run(main)
