"""Model of a fleet whose deepest service rejects requests, for `chain_admission`.

The nodes' own classes (`ForwardedRequest`, `Executor` and what they use) run on an
event loop with a virtual clock. Links between nodes and backend servers are modelled.
The module and those that it imports run with the current code and with that of earlier
commits.
"""

import argparse
import asyncio
import json
import random
import resource
import selectors
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.chain_host import Host
from benchmarks.chain_scenario import (
    CLIENT_TRIES,
    ENTRY,
    HOSTS,
    RATES,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
    TEAMS,
    TIMEOUTS,
    WORTH,
    Scenario,
    configuration,
)
from damaskramp.core import ServiceName, ZoneName
from damaskramp.fleet import BackendServer, ServerId
from damaskramp.fleet.model import StorePosition

__all__ = ["run"]

PARTS_PER_SECOND = 2
"""Parts of a second by which arrivals are counted for the retry budget."""

DRAIN_SECONDS = 4.0
"""Time in seconds for which the play goes on after the callers have stopped."""


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


class Fleet:
    """All hosts, the callers and the tally."""

    def __init__(self, loop, scenario, chain_control):
        self.loop, self.scenario = loop, scenario
        self.chain_control = chain_control
        self.source = random.Random(scenario.seed)
        self.ids, self.arrived, self.arrivals = 0, [], Counter()
        self.tally = Tally()
        config = configuration(scenario)
        self.hosts = [
            Host(self, service, n, config)
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
        part = int(PARTS_PER_SECOND * self.loop.time())
        self.arrivals[service, "repeats" if repeats else "requests", part] += 1
        return repeats

    def budget_use(self, service):
        """Largest part of the published retry budget that any window used."""
        window = int(PARTS_PER_SECOND * RETRY_WINDOW_SECONDS)
        end = self.scenario.end + DRAIN_SECONDS

        def count(name, last):
            return sum(self.arrivals[service, name, last - n] for n in range(window))

        def allowed(last):
            backs = (0, window // 2, window)
            requests = max(count("requests", last - back) for back in backs)
            return RETRY_RATIO * requests + self.scenario.retry_allowance

        return max(
            count("repeats", last) / allowed(last)
            for last in range(window, int(PARTS_PER_SECOND * end))
        )

    @property
    def in_stress(self):
        """Whether the deepest service rejects requests now."""
        return self.scenario.phase(self.loop.time()) == "stress"

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
            if status == 503 and retry_after and tries < CLIENT_TRIES:
                again = (kind, team, asked_at, tries + 1, path)
                self.loop.call_later(retry_after, self.send, *again)
                return
            key = (kind, team)
            phase = self.scenario.phase(asked_at)
            if not phase:
                return
            self.tally.asked[phase, *key] += 1
            self.tally.served[phase, *key] += status == 200
            self.tally.statuses[phase, kind, status] += 1

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


def run(scenario, chain_control):
    """Play a scenario and return its figures."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = Fleet(loop, scenario, chain_control)
    fleet.start_callers()
    before = resource.getrusage(resource.RUSAGE_SELF)
    loop.run_until_complete(asyncio.sleep(scenario.end + DRAIN_SECONDS))
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
