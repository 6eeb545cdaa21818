"""Goodput, recovery, fairness and shedding order of admission on a virtual clock.

``python -m benchmarks.admission`` runs the same seeded load without control, with a
fixed limit and with adaptive admission, and prints one row for each.
"""

import sys
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

import numpy as np

from benchmarks.chain_model import ChainModel, Decision, ServiceModel, ServiceNode
from damaskramp.admission import fair_shares
from damaskramp.core import RequestId, TeamId, VirtualTimers

MODES = ("none", "fixed", "adaptive")
SEED = 7
SERVICES = [
    ServiceModel("front", 64, 650, 0.005),
    ServiceModel("middle", 64, 650, 0.005),
    ServiceModel("deep", 16, 200, 0.06),
]
WEIGHTS = {
    TeamId("large"): 4.0,
    TeamId("medium"): 2.0,
    TeamId("small"): 1.0,
    TeamId("greedy"): 1.0,
}
CLASS_SHARES = (0.3, 0.4, 0.3)
BASE_LOAD = 0.8
CALM_SECONDS = 5.0
TRIGGER_SECONDS = 10.0
AFTER_SECONDS = 15.0
TIMEOUT_SECONDS = 1.0
BIN_SECONDS = 0.5
ORDER_WINDOW_SECONDS = 0.1
RECOVERED_RATIO = 0.95
TRIGGER_END = CALM_SECONDS + TRIGGER_SECONDS
END = TRIGGER_END + AFTER_SECONDS


@dataclass(frozen=True)
class Scenario:
    """Disturbance of the load or of the services during the trigger phase.

    Attributes
    ----------
    surge : float
        Factor on the demand of every team.
    greedy : float
        Factor on the demand of the team ``greedy``.
    slow : float
        Factor on the service time of the deep service.
    retries : int
        Maximum number of immediate client retries of a failed request.
    """

    name: str
    surge: float = 1.0
    greedy: float = 1.0
    slow: float = 1.0
    retries: int = 0


SCENARIOS = (
    Scenario("surge x2", surge=2.0),
    Scenario("surge x4", surge=4.0),
    Scenario("surge x10", surge=10.0),
    Scenario("slow to 1/5", slow=5.0),
    Scenario("slow 1/5, x4, 10 retries", surge=4.0, slow=5.0, retries=10),
    Scenario("greedy team x5", greedy=5.0),
)


@dataclass(slots=True)
class Request:
    """Client request with all its attempts; times in seconds."""

    number: int
    team: TeamId
    priority: int
    arrived: float
    attempts: int = 0
    served: float | None = None


@dataclass
class Run:
    """Results of a scenario under one control."""

    scenario: Scenario
    requests: list[Request] = field(default_factory=list)
    service_nodes: list[ServiceNode] = field(default_factory=list)
    entries: list[list[Decision]] = field(default_factory=list)


def simulate(scenario: Scenario, mode: str, seed: int) -> Run:
    """Run a scenario under one control until all requests have ended."""
    timers = VirtualTimers()
    chain = ChainModel(timers, SERVICES, mode, WEIGHTS, seed)
    run = Run(scenario, arrivals(scenario, seed), chain.service_nodes, chain.entries)
    deep = chain.service_nodes[-1].backend
    timers.after(CALM_SECONDS, lambda: setattr(deep, "slow", scenario.slow))
    timers.after(TRIGGER_END, lambda: setattr(deep, "slow", 1.0))
    for request in run.requests:
        timers.after(
            request.arrived,
            lambda r=request: attempt(chain, timers, scenario.retries, r),
        )
    timers.advance(END + 12 * TIMEOUT_SECONDS)
    return run


def arrivals(scenario: Scenario, seed: int) -> list[Request]:
    """Return Poisson arrivals of every team and class, the same for each control."""
    random_state = np.random.default_rng(seed)
    requests = []
    for team in WEIGHTS:
        for priority in range(len(CLASS_SHARES)):
            calm = demand(team, priority)
            factor = scenario.surge
            if team == "greedy":
                factor *= scenario.greedy
            moment = 0.0
            while moment < END:
                during = CALM_SECONDS <= moment < TRIGGER_END
                rate = calm * factor if during else calm
                moment += random_state.exponential(1.0 / rate)
                requests.append(Request(len(requests), team, priority, moment))
    return requests


def demand(team: TeamId, priority: int) -> float:
    """Return a team's requests per second of a class outside the trigger phase."""
    share = WEIGHTS[team] / sum(WEIGHTS.values())
    return SERVICES[-1].capacity * BASE_LOAD * share * CLASS_SHARES[priority]


def attempt(
    chain: ChainModel, timers: VirtualTimers, retries: int, request: Request
) -> None:
    """Send a request; the client retries it after a refusal or a timeout."""
    request.attempts += 1
    settled = False

    def settle(answered: bool) -> None:
        nonlocal settled
        if settled:
            return
        settled = True
        if answered:
            request.served = timers.now
        elif request.attempts <= retries:
            timers.after(0.001, lambda: attempt(chain, timers, retries, request))

    name = RequestId(f"{request.number}-{request.attempts}")
    deadline = timers.now + TIMEOUT_SECONDS
    timers.after(TIMEOUT_SECONDS, lambda: settle(False))
    chain.call(
        0,
        name,
        request.team,
        request.priority,
        deadline,
        lambda answered, level: settle(answered),
    )


def goodput(run: Run) -> float:
    """Return requests served in the trigger phase as a share of the possible number."""
    capacity = SERVICES[-1].capacity / run.scenario.slow
    during = [r for r in run.requests if CALM_SECONDS <= r.arrived < TRIGGER_END]
    possible = min(capacity * TRIGGER_SECONDS, len(during))
    served = sum(
        r.served is not None and CALM_SECONDS <= r.served < TRIGGER_END
        for r in run.requests
    )
    return served / possible


def recovery(run: Run) -> float:
    """Return seconds after the trigger until 95 % of new requests are served again."""
    bins = int(AFTER_SECONDS / BIN_SECONDS)
    sent = np.zeros(bins)
    served = np.zeros(bins)
    for request in run.requests:
        position = int((request.arrived - TRIGGER_END) // BIN_SECONDS)
        if 0 <= position < bins:
            sent[position] += 1
            served[position] += request.served is not None
    good = served >= RECOVERED_RATIO * sent
    bad = np.flatnonzero(~good)
    if not bad.size:
        return 0.0
    last = bad[-1] + 1
    return INFINITE if last >= bins else last * BIN_SECONDS


INFINITE = float("inf")


def worst_team(run: Run) -> float:
    """Return the lowest served share of its entitlement of any team in the trigger."""
    offered: dict[int, dict[TeamId, float]] = {}
    served = dict.fromkeys(WEIGHTS, 0)
    for request in run.requests:
        if not CALM_SECONDS <= request.arrived < TRIGGER_END:
            continue
        teams = offered.setdefault(request.priority, dict.fromkeys(WEIGHTS, 0.0))
        teams[request.team] += 1
        served[request.team] += request.served is not None
    capacity = SERVICES[-1].capacity / run.scenario.slow * TRIGGER_SECONDS
    entitled = dict.fromkeys(WEIGHTS, 0.0)
    for priority in sorted(offered):
        shares = fair_shares(offered[priority], WEIGHTS, capacity)
        for team, share in shares.items():
            entitled[team] += share
        capacity = max(0.0, capacity - sum(shares.values()))
    return min(served[team] / entitled[team] for team in WEIGHTS)


def unserved_within_demand(run: Run) -> float:
    """Return the unserved share of requests of teams that kept to their calm demand.

    In a surge of every team no team keeps to it, and the share is 0.
    """
    inside = [
        r
        for r in run.requests
        if CALM_SECONDS <= r.arrived < TRIGGER_END
        and run.scenario.surge == 1.0
        and (r.team != "greedy" or run.scenario.greedy == 1.0)
    ]
    return sum(r.served is None for r in inside) / len(inside) if inside else 0.0


def inversions(logs: list[list[Decision]]) -> tuple[int, int]:
    """Count calls shed while a less important one was admitted at the same node.

    Returns
    -------
    tuple of int
        Number of calls for which this happened while the shed call waited, and for
        which it happened at any moment in the same tenth of a second.
    """
    waiting = 0
    window = 0
    for decisions in logs:
        admitted = [[], [], []]
        for decision in decisions:
            if decision.admitted:
                admitted[decision.priority].append(decision.moment)
        for decision in decisions:
            if not decision.shed:
                continue
            lesser = admitted[decision.priority + 1 :]
            span = decision.since, decision.moment
            waiting += any(_within(moments, *span) for moments in lesser)
            start = decision.moment // ORDER_WINDOW_SECONDS * ORDER_WINDOW_SECONDS
            end = start + ORDER_WINDOW_SECONDS
            window += any(_within(moments, start, end) for moments in lesser)
    return waiting, window


def _within(moments: list[float], start: float, end: float) -> bool:
    return bisect_left(moments, start) < bisect_right(moments, end)


def main() -> int:
    """Print the table."""
    print(f"capacity {SERVICES[-1].capacity:.0f}/s, seed {SEED}")
    head = f"{'scenario':26} {'control':9} {'goodput':>8} {'recovery':>9}"
    head += f" {'worst':>6} {'inside':>7} {'inverted':>9} {'(0.1 s)':>8} {'entry':>6}"
    head += f" {'class0':>7}  swan   arru"
    print(head)
    for scenario in SCENARIOS:
        for mode in MODES:
            print(row(scenario, mode))
    return 0


def row(scenario: Scenario, mode: str) -> str:
    """Format the table row of a scenario under one control."""
    run = simulate(scenario, mode, SEED)
    good = goodput(run)
    seconds = recovery(run)
    worst = worst_team(run)
    inside = unserved_within_demand(run)
    waiting, window = inversions(
        [service_node.decisions for service_node in run.service_nodes]
    )
    _, entry = inversions(run.entries)
    first = [
        r.served is not None
        for r in run.requests
        if r.priority == 0 and CALM_SECONDS <= r.arrived < TRIGGER_END
    ]
    return (
        f"{scenario.name:26} {mode:9} {good:8.1%} {seconds:7.1f} s {worst:6.0%}"
        f" {inside:7.1%} {waiting:9d} {window:8d} {entry:6d} {np.mean(first):7.1%}"
        f" {recovery_score(good, seconds):6.2f} {fairness_score(worst, inside):6.2f}"
    )


def recovery_score(good: float, seconds: float) -> float:
    """Return the mean of goodput and of the recovery time's score; 1 is best."""
    return (min(1.0, good) + max(0.0, 1.0 - seconds / AFTER_SECONDS)) / 2


def fairness_score(worst: float, inside: float) -> float:
    """Return the mean of the worst team's ratio and of wrongful refusals; 1 is best."""
    return (min(1.0, worst) + 1.0 - inside) / 2


if __name__ == "__main__":
    sys.exit(main())
