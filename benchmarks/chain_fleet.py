"""Model of a fleet whose deepest service rejects requests, for `chain_admission`.

The nodes' own classes (`ForwardedRequest`, `Executor` and what they use) run on an
event loop with a virtual clock. Links between nodes and backend servers are modelled.
The module runs with the current code and with that of earlier commits.

The call graph is the example of docs/design/hard_load.md: a lookup (priority 2) makes 2
calls to *second*, each of these one to *third*, and each of these 4 calls, one after
another, to *deep*. A posting (priority 0) makes one call to *third*. A listing
(priority 2) makes no calls.
"""

import argparse
import asyncio
import json
import random
import re
import resource
import selectors
from collections import Counter
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from damaskramp.core import ByteBudget, Counters, ServiceName, TeamId, ZoneName
from damaskramp.dispatch import (
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    SlotQueue,
    SlotSettings,
    Suspects,
    SuspectSettings,
)
from damaskramp.fleet import BackendServer, FleetConfiguration, ServerId
from damaskramp.fleet.model import Route, StorePosition, Team, WeightedService
from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.execution import Executor
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.forwarding import Forwarder
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.server_answer import ServerAnswer

__all__ = ["Scenario", "run"]

LINK_SECONDS = 0.0007
PAUSE_SECONDS = 0.0003
"""Way between a server and its node, including both processes."""

HOSTS = {"front": 4, "post": 2, "second": 3, "third": 4, "deep": 6}
CALLS = {"front": ("second", 2), "second": ("third", 1), "third": ("deep", 4)}
OWN_SECONDS = {"front": 0.02, "post": 0.02, "second": 0.01, "third": 0.01, "deep": 0.01}
RATES = {"lookup": 437.0, "posting": 173.0, "listing": 200.0}
PRIORITIES = {"lookup": 2, "posting": 0, "listing": 2}
WORTH = {"lookup": 1.0, "posting": 3.0, "listing": 1.0}
ENTRY = {"lookup": "front", "posting": "post", "listing": "front"}
TEAMS = {"large": 0.6, "medium": 0.3, "small": 0.1}
TIMEOUTS = {"lookup": 2.5, "posting": 3.0, "listing": 2.0}
OWN_LIMIT_MS = {"deep": 700}
CLIENT_TRIES = 3


@dataclass(frozen=True)
class Scenario:
    """One play; times in seconds.

    Attributes
    ----------
    scale : float
        Part of the rates and of the retry allowance that is played.
    deep_slots : int
        Slots of each server of the deepest service; fewer make a queue there.
    """

    seed: int = 1
    scale: float = 0.25
    attempts: int = 3
    reject_share: float = 0.55
    stress_from: float = 14.0
    stress_to: float = 22.0
    end: float = 27.0
    deep_slots: int = 64
    surge: float = 1.0
    used_ratio: float = 0.0


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances the loop's virtual clock instead of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock."""

    def __init__(self):
        self.now = 0.0
        selector = _VirtualSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self):
        """Return the virtual time in seconds."""
        return self.now


@dataclass
class Tally:
    """Outcomes of callers' requests and work, in the stress."""

    asked: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    wasted: float = 0.0
    messages: int = 0
    deep_first: int = 0
    deep_arrivals: int = 0
    sent: int = 0


class _Connections:
    """Fake of a backend server behind its node."""

    def __init__(self, host):
        self._host = host

    def start(self, exchange, request_id, head_only, data, body=b""):
        run = _ServerRun(self._host, exchange, request_id, data)
        return run.abandon

    def sweep(self):
        pass

    def oldest_idle(self):
        """Clock time of the oldest idle connection; none is kept."""


class _ServerRun:
    """Run of one request at a backend server, with its calls."""

    def __init__(self, host, exchange, request_id, data):
        self.host, self.exchange = host, exchange
        self.fleet, loop = host.fleet, host.fleet.loop
        head = data.split(b"\r\n", 1)[0].split()[1]
        ms = int(re.search(rb"X-Timeout-Ms: (\d+)", data).group(1))
        self.began = loop.time() + PAUSE_SECONDS
        self.ends = self.began + ms / 1000
        self.open = True
        following, count = CALLS.get(host.service, ("", 0))
        if head.startswith(b"/posting"):
            following, count = "third", 1
        elif head.startswith(b"/listing"):
            count = 0
        self.following, self.left = following, count
        self.repeats = self.fleet.record_arrival(host.service, request_id)
        scenario = self.fleet.scenario
        if host.service == "deep":
            self.fleet.record_deep_arrival()
            stress = scenario.stress_from <= loop.time() < scenario.stress_to
            if stress and self.fleet.source.random() < scenario.reject_share:
                loop.call_later(0.001, self.end, 503, True)
                return
        spread = self.fleet.source.uniform(0.7, 1.3)
        loop.call_later(OWN_SECONDS[host.service] * spread, self.next_call)
        loop.call_later(ms / 1000, self.end, 500)

    def next_call(self):
        if not self.open:
            return
        if not self.left:
            self.end(200)
            return
        self.left -= 1
        left_ms = int(1000 * (self.ends - self.fleet.loop.time()))
        if left_ms <= 0:
            self.end(500)
            return
        stated = min(left_ms, OWN_LIMIT_MS.get(self.following, left_ms))
        ask = (f"/{self.following}/x", "", stated, self.call_answered, self.repeats)
        # A few calls are read late by a busy node.
        late = PAUSE_SECONDS + min(0.006, self.fleet.source.expovariate(3000.0))
        self.fleet.loop.call_later(late, self.host.ask, *ask)

    def call_answered(self, status, retry_after):
        if status == 200:
            self.next_call()
        else:
            self.end(500)

    def end(self, status, not_executed=False):
        if not self.open:
            return
        self.open = False
        if status != 200 and not not_executed:
            self.fleet.record_waste(self.fleet.loop.time() - self.began)
        answer = ServerAnswer(status)
        answer.not_executed = not_executed
        self.exchange.head_received(answer)
        self.exchange.answered(answer)

    def abandon(self):
        self.open = False


class _Caller:
    """Connection that receives the answer to one request."""

    names = ReservedNames(PLATFORM_HEADERS)

    def __init__(self, callback):
        self._callback = callback

    def respond(self, request, head, body):
        status = int(head.split(b" ", 2)[1])
        found = re.search(rb"Retry-After: ([\d.]+)", head)
        self._callback(status, float(found.group(1)) if found else 0.0)


class _Peers:
    """Links between the nodes of the model, with a delay."""

    def __init__(self, fleet):
        self._fleet = fleet

    def usable(self, servers):
        return servers

    def call(self, host, call, reply):
        fleet, loop = self._fleet, self._fleet.loop
        fleet.record_message()
        state = {"cancelled": False, "cancel": None}

        def deliver():
            if not state["cancelled"]:
                state["cancel"] = fleet.by_address[host].executor.submit(call, link)

        def cancel():
            state["cancelled"] = True
            if state["cancel"] is not None:
                loop.call_later(LINK_SECONDS, state["cancel"])
            return False

        link = _DelayedReply(fleet, reply)
        loop.call_later(LINK_SECONDS, deliver)
        return cancel


class _DelayedReply:
    """Outcome of a call on its way back."""

    def __init__(self, fleet, reply):
        self._fleet, self._reply = fleet, reply

    def __getattr__(self, name):
        def send(*outcome):
            self._fleet.record_message()
            loop = self._fleet.loop
            loop.call_later(LINK_SECONDS, getattr(self._reply, name), *outcome)

        return send


class _NoWarmup:
    """Warm-up of a server that is never cold."""

    seconds_left = 0.0

    def __getattr__(self, name):
        return lambda *arguments: None


def _later_parts(view, clock, source):
    """Warm-up, eligibility and load exchange, which the baseline does not have."""
    try:
        from damaskramp.dispatch import (
            Eligibility,
            ExchangeSettings,
            LoadExchange,
            RegionSettings,
        )
    except ImportError:
        return (), (), ()
    eligibility = Eligibility(RegionSettings("", {}), view.zone, None, clock)
    loads = LoadExchange(ExchangeSettings(), view.directory.of_service, source)
    return (_NoWarmup(),), (eligibility,), (loads,)


class _Host:
    """One host: its node's parts and its backend server."""

    def __init__(self, fleet, service, number, config):
        self.fleet, self.service = fleet, service
        loop, scenario = fleet.loop, fleet.scenario
        self.address = f"10.0.{list(HOSTS).index(service)}.{number}"
        self.counters = Counters()
        clock = loop.time
        self.view = FleetView(
            self.address,
            ZoneName("z"),
            ServiceName(service),
            f"{self.address}:5",
            5.0,
            clock,
            Suspects(SuspectSettings()),
        )
        self.view.freshness = SimpleNamespace(age=0.0, now=0.0)
        self.view.adopt_configuration(config)
        log = DecisionLog(0.0, clock, self.counters)
        slots = scenario.deep_slots if service == "deep" else 256
        queue = SlotQueue(SlotSettings(), slots)
        budget_settings = RetryBudgetSettings(0.2, 10.0, 91 * scenario.scale)
        if fleet.chain_control:
            used = scenario.used_ratio or budget_settings.used_ratio
            budget_settings = replace(budget_settings, used_ratio=used)
        self.budget = RetryBudget(budget_settings, fleet.source.random())
        self.budget.resize(sum(HOSTS.values()))
        warmup, eligibility, loads = _later_parts(self.view, clock, fleet.source)
        self.executor = Executor(
            self.view,
            queue,
            *warmup,
            _Connections(self),
            PLATFORM_HEADERS,
            clock,
            self.counters,
            log,
            ByteBudget(1 << 30),
            *eligibility,
        )
        permits = SimpleNamespace(
            admit=lambda team, done: done(True),
            refund=lambda team, at: None,
            level=lambda team: None,
        )
        self.forwarder = Forwarder(
            self.view,
            ServerSelector(SelectionSettings(), ZoneName("z"), fleet.source),
            self.budget,
            permits,
            self.executor,
            _Peers(fleet),
            PLATFORM_HEADERS,
            clock,
            self.counters,
            log,
            fleet.source,
            *eligibility,
            *loads,
        )
        if fleet.chain_control:
            self.forwarder.use_chain_control()
        self.sweep()
        self.update()

    def sweep(self):
        self.executor.sweep()
        self.fleet.loop.call_later(0.05, self.sweep)

    def update(self):
        self.executor.update_depth()
        self.fleet.loop.call_later(0.4, self.update)

    def ask(self, path, key, timeout_ms, callback, repeats=False):
        """Receive a request from a caller or from the backend server."""
        request = CallerRequest(_Caller(callback))
        request.host, request.path = "a.example", path
        request.target, request.method = path.encode(), b"GET"
        request.key, request.has_key = b"Token " + key.encode(), bool(key)
        request.deadline_ms = timeout_ms
        request.request_id = self.fleet.new_request_id(repeats)
        request.started = self.fleet.loop.time()
        self.fleet.count_request(self.service, path, key)
        self.forwarder.handle(request)


class Fleet:
    """All hosts, the callers and the tally."""

    def __init__(self, loop, scenario, chain_control):
        self.loop, self.scenario = loop, scenario
        self.chain_control = chain_control
        self.source = random.Random(scenario.seed)
        self.ids, self.arrived, self.arrivals = 0, [], Counter()
        self.tally = Tally()
        config = _configuration(scenario)
        self.hosts = [
            _Host(self, service, n, config)
            for service, count in HOSTS.items()
            for n in range(count)
        ]
        self.by_address = {host.address: host for host in self.hosts}
        servers = [
            BackendServer(
                ServerId(f"i-{host.address}"),
                ServiceName(host.service),
                f"{host.address}:5",
                ZoneName("z"),
                scenario.deep_slots if host.service == "deep" else 256,
                False,
                0.0,
                1,
                1,
            )
            for host in self.hosts
        ]
        for host in self.hosts:
            host.view.directory.replace(servers, StorePosition(0, 1))
        self.entries = [h for h in self.hosts if h.service in ENTRY.values()]

    def new_request_id(self, repeats):
        """Return a new id; `repeats` is whether the run that asks is a repeat."""
        self.ids += 1
        self.arrived.append(repeats)
        return b"%d" % (self.ids - 1)

    def record_arrival(self, service, request_id):
        """Count an arrival at a server; return whether it repeats another."""
        number = int(request_id)
        repeats = self.arrived[number]
        self.arrived[number] = True
        part = int(2 * self.loop.time())
        self.arrivals[service, "repeats" if repeats else "requests", part] += 1
        return repeats

    def budget_use(self, service):
        """Largest part of the published retry budget that any window of 10 s used."""

        def count(name, last):
            return sum(self.arrivals[service, name, last - n] for n in range(20))

        allowance = 91 * self.scenario.scale
        return max(
            count("repeats", last)
            / (
                0.2 * max(count("requests", last - back) for back in (0, 10, 20))
                + allowance
            )
            for last in range(20, int(2 * self.scenario.end) + 8)
        )

    @property
    def in_stress(self):
        scenario = self.scenario
        return scenario.stress_from <= self.loop.time() < scenario.stress_to

    def record_waste(self, seconds):
        if self.in_stress:
            self.tally.wasted += seconds

    def record_message(self):
        if self.in_stress:
            self.tally.messages += 1

    def record_deep_arrival(self):
        if self.in_stress:
            self.tally.deep_arrivals += 1

    def count_request(self, service, path, key):
        if self.in_stress:
            self.tally.deep_first += path.startswith("/deep")
            self.tally.sent += bool(key)

    def send(self, kind, team, asked_at, tries, path):
        """Send one request of a caller, who comes back if refused."""

        def answered(status, retry_after):
            stress = self.scenario.stress_from <= asked_at < self.scenario.stress_to
            if status == 503 and retry_after and tries < CLIENT_TRIES:
                again = (kind, team, asked_at, tries + 1, path)
                self.loop.call_later(retry_after, self.send, *again)
                return
            key = (kind, team)
            when = "stress" if stress else "calm"
            if not stress and asked_at >= self.scenario.stress_to:
                when = "after"
            if when == "calm" and asked_at < 4.0:
                return
            self.tally.asked[when, *key] += 1
            self.tally.served[when, *key] += status == 200
            self.tally.statuses[when, kind, status] += 1

        entry = self.source.choice(self.entries)
        timeout_ms = int(1000 * TIMEOUTS[kind])
        entry.ask(path, team, timeout_ms, answered)

    def start_callers(self):
        for kind, rate in RATES.items():
            for team, share in TEAMS.items():
                mean = rate * share * self.scenario.scale
                self.loop.call_later(0.0, self._caller, kind, team, mean)

    def _caller(self, kind, team, mean):
        now = self.loop.time()
        if now >= self.scenario.end:
            return
        if now > 0.0:
            self.send(kind, team, now, 1, f"/{kind}/{self.ids}")
        rate = mean * (self.scenario.surge if self.in_stress else 1.0)
        pause = self.source.expovariate(rate)
        self.loop.call_later(pause, self._caller, kind, team, mean)


def _configuration(scenario):
    def route(name, service, timeout, priority, public):
        targets = (WeightedService(ServiceName(service), 1.0),)
        return Route(
            name,
            "a.example",
            f"/{name}/",
            targets,
            True,
            timeout,
            timeout / 2,
            scenario.attempts,
            priority,
            public,
        )

    routes = [
        route(kind, ENTRY[kind], TIMEOUTS[kind], PRIORITIES[kind], False)
        for kind in RATES
    ]
    routes += [
        route(service, service, 5.0, 1, True) for service in ("second", "third", "deep")
    ]
    teams = tuple(
        Team(TeamId(name), frozenset({name}), None, 0.0, 0.0) for name in TEAMS
    )
    return FleetConfiguration(1, tuple(routes), teams)


def run(scenario, chain_control):
    """Play a scenario and return its figures."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = Fleet(loop, scenario, chain_control)
    fleet.start_callers()
    before = resource.getrusage(resource.RUSAGE_SELF)
    loop.run_until_complete(asyncio.sleep(scenario.end + 4.0))
    after = resource.getrusage(resource.RUSAGE_SELF)
    tally = fleet.tally
    decisions = sum(
        count
        for host in fleet.hosts
        for (name, _), count in host.counters.values.items()
        if name == "requests"
    )
    figures = {"processor_us": 1e6 * (after.ru_utime - before.ru_utime) / decisions}
    for kind in RATES:
        for when in ("calm", "stress", "after"):
            shares = [
                tally.served[when, kind, team] / max(1, tally.asked[when, kind, team])
                for team in TEAMS
            ]
            asked = sum(tally.asked[when, kind, team] for team in TEAMS)
            served = sum(tally.served[when, kind, team] for team in TEAMS)
            figures[f"{kind} {when}"] = served / max(1, asked)
            figures[f"{kind} {when} worst team"] = min(shares)
    stress = [key for key in tally.served if key[0] == "stress"]
    figures["worth"] = sum(tally.served[key] * WORTH[key[1]] for key in stress)
    figures["asked worth"] = sum(tally.asked[key] * WORTH[key[1]] for key in stress)
    figures["500 after work"] = sum(
        count
        for (when, _, status), count in tally.statuses.items()
        if status == 500 and when == "stress"
    )
    figures["wasted seconds"] = tally.wasted
    figures["messages a request"] = tally.messages / max(1, tally.sent)
    figures["deep repeats"] = tally.deep_arrivals / max(1, tally.deep_first) - 1
    for service in HOSTS:
        figures[f"budget used, {service}"] = fleet.budget_use(service)
    counters = Counter()
    for host in fleet.hosts:
        for (name, reason), count in host.counters.values.items():
            counters[f"{name}/{reason}"] += count
    return {"figures": figures, "counters": counters}


def main():
    """Run one play and print its figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario")
    parser.add_argument("--chain-control", action="store_true")
    arguments = parser.parse_args()
    scenario = Scenario(**json.loads(arguments.scenario))
    print(json.dumps(run(scenario, arguments.chain_control)))


if __name__ == "__main__":
    main()
