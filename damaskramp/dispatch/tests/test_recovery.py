"""Return of a whole fleet after a loss of power, with all callers at once.

The decision classes are played against simple models of servers, links and callers
under a virtual clock. A server that comes back cold and gets more requests than it
tolerates crashes and comes back cold again, so that a fleet may never recover.
"""

import heapq
import itertools
import random
from collections import deque

from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.dispatch import (
    Attempts,
    CallDepths,
    ColdHints,
    ColdServer,
    HealthAnswer,
    PlacementSettings,
    QueueDecision,
    RefusalBudget,
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    SlotQueue,
    SlotSettings,
    WarmupSettings,
    Work,
)
from damaskramp.fleet import BackendServer, Revision, Route, ServerId, ServiceWarmup

WARMUP = ServiceWarmup(5.5, 3.0, "/health")
SETTINGS = WarmupSettings(1.5, 8.0)
BOUND = 16.25
"""Most requests to a cold server within a second: 5.5 x 1.5 + 8."""
TOLERATED = 11
"""Requests within a second above which a cold server crashes: twice its rate."""
RECOVERY_SECONDS = 15.0
"""Time after which at least a quarter of the requests must be served."""
LINK_SECONDS = 0.0014
RESTART_SECONDS = 0.6
SWEEP_SECONDS = 0.05
DEADLINE_SECONDS = 3.0
TARGET_SECONDS = 1.0
RETRY_WITHOUT_HINT_SECONDS = 0.2
MIN_NO_SERVER_RETRY_SECONDS = 0.02
PATIENCE_SECONDS = 10.0
"""Time for which a caller repeats a request that was not run."""
RUN_SECONDS = {"front": 0.1, "back": 0.03}
CALLS = {"front": 2, "back": 0}
SLOTS = 8


class Clock:
    """Virtual clock with timed events."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def after(self, seconds, function, *args):
        event = (self.now + seconds, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)


class ModelServer:
    """Server that runs requests slowly and crashes easily while it is cold."""

    def __init__(self, clock, service):
        self._clock = clock
        self._service = service
        self.is_up = False
        self.crashes = 0
        self.most_while_cold = 0
        self._lives = 0
        self._warm_at = 0.0
        self._recent = deque()
        self._running = []
        self.on_crash = None

    @property
    def warmup_left(self):
        return max(0.0, self._warm_at - self._clock.now)

    def start(self):
        self.is_up = True
        self._lives += 1
        self._warm_at = self._clock.now + WARMUP.seconds
        self._recent.clear()

    def accept(self, run):
        now = self._clock.now
        while self._recent and now - self._recent[0] > 1.0:
            self._recent.popleft()
        self._recent.append(now)
        self._running.append(run)
        if self.warmup_left:
            self.most_while_cold = max(self.most_while_cold, len(self._recent))
            if len(self._recent) > TOLERATED:
                self._crash()
                return
        factor = 2.0 if self.warmup_left else 1.0
        self._clock.after(
            factor * RUN_SECONDS[self._service], self._work_done, run, self._lives
        )

    def finish(self, run):
        if run in self._running:
            self._running.remove(run)

    def _work_done(self, run, lives):
        if lives == self._lives and run in self._running:
            run.worked()

    def _crash(self):
        self.crashes += 1
        self.is_up = False
        self._lives += 1
        broken, self._running = self._running, []
        self._clock.after(RESTART_SECONDS, self.start)
        for run in broken:
            run.broke()


class Run(Work):
    """Request at the node beside its server, with the reply to its sender."""

    __slots__ = ("calls_left", "host", "reply")

    def __init__(self, host, is_call, deadline, target, reply):
        super().__init__(host.service, is_call, 1, target, deadline)
        self.host = host
        self.reply = reply
        self.calls_left = CALLS[host.service]

    def begin(self):
        host = self.host
        if not host.server.is_up:
            self.reached = False
            host.queue.finish(self, host.clock.now)
            host.cold.record_break(host.clock.now)
            host.send_reply(self.reply, "unreachable", 0.0)
            return
        host.server.accept(self)

    def worked(self):
        if not self.calls_left:
            self.end("served", True)
            return
        self.calls_left -= 1
        Request(self.host, "back", True, self.deadline, self._call_ended).send()

    def _call_ended(self, outcome, retry_after):
        if self.state != "running":
            return
        if outcome == "served":
            self.worked()
        else:
            self.end("failed", False)

    def end(self, outcome, good):
        host = self.host
        host.server.finish(self)
        host.cold.record_alive(self.started, host.clock.now)
        host.queue.finish(self, host.clock.now, good)
        host.send_reply(self.reply, outcome, 0.0)
        host.start_next()

    def broke(self):
        host = self.host
        host.cold.record_break(host.clock.now)
        host.queue.finish(self, host.clock.now, False)
        host.send_reply(self.reply, "failed", 0.0)


class Request:
    """Request at its entry node, which looks for a server that runs it."""

    def __init__(self, entry, service, is_call, deadline, done):
        self._entry = entry
        self._service = service
        self._is_call = is_call
        self._deadline = deadline
        self._done = done
        self._target = entry.clock.now + TARGET_SECONDS
        self._attempts = Attempts(entry.budget, entry.depths, entry.counters)
        servers = len(entry.fleet.listed[service])
        refusal_budget = RefusalBudget(PlacementSettings(), servers, is_call)
        self._attempts.begin(
            service, ROUTE, deadline, 0.0, refusal_budget, entry.clock.now
        )

    @property
    def _rank(self):
        return 0 if self._is_call else 2

    def send(self):
        entry = self._entry
        listed = entry.fleet.listed[self._service]
        server = entry.selector.choose(
            listed, self._attempts.tried, self._rank, entry.clock.now
        )
        if server is None:
            left = entry.selector.warmup_left(listed, entry.clock.now)
            self._attempts.record_cold_service(left)
            self._refuse(MIN_NO_SERVER_RETRY_SECONDS)
            return
        others = len(listed) - len(self._attempts.tried) - 1
        fail_fast = self._attempts.should_fail_fast(others, 0)
        entry.selector.record_sent(server, self._rank)
        entry.fleet.sent += 1

        def reply(outcome, wait, load):
            self._on_reply(server, fail_fast, outcome, wait, load)

        run = Run(
            entry.fleet.hosts[server.id],
            self._is_call,
            self._deadline,
            self._target,
            reply,
        )
        run.fail_fast = fail_fast
        entry.clock.after(LINK_SECONDS, run.host.submit, run)

    def _on_reply(self, server, fail_fast, outcome, wait, load):
        entry, now = self._entry, self._entry.clock.now
        failed = {"served": False, "failed": True}.get(outcome)
        entry.selector.record_end(server, failed)
        if load is not None:
            entry.selector.record_load(server, load, now, self._rank)
        self._attempts.tried.add(server.id)
        if outcome in ("served", "failed"):
            self._attempts.record_run()
            self._done(outcome, 0.0)
            return
        entry.fleet.refused += 1
        if outcome == "unreachable":
            entry.selector.eject(server, 0.3, now)
        elif not fail_fast:
            entry.selector.record_refusal(server, self._rank, now)
        left = load.warmup_left if load is not None else 0.0
        by_limit = left > 0 or (load is not None and load.rate_wait > 0)
        self._attempts.record_refusal(wait, False, by_limit, left)
        if self._attempts.may_try_elsewhere(False, now):
            self.send()
        else:
            self._refuse()

    def _refuse(self, min_wait=0.0):
        wait = max(self._attempts.wait, min_wait)
        self._done("refused", self._attempts.retry_after(wait, self._entry.random))


class Host:
    """Node beside a server; it also is the entry node of the callers that chose it."""

    def __init__(self, fleet, number, service, settings):
        self.fleet = fleet
        self.clock = fleet.clock
        self.service = service
        self.random = random.Random(number)
        self.counters = Counters()
        self.depths = CallDepths()
        self.server = ModelServer(fleet.clock, service)
        self._settings = settings
        self.is_up = False

    def start(self):
        now = self.clock.now
        self.is_up = True
        self.cold = ColdServer(self._settings, now)
        self.cold.configure(WARMUP)
        self.queue = SlotQueue(SlotSettings(), SLOTS, self.cold)
        hints = ColdHints(lambda server: server.warmup, self.random)
        if self._settings.is_stated:
            hints.configure({"front": WARMUP, "back": WARMUP})
        hints.resize(len(self.fleet.hosts))
        self.selector = ServerSelector(SelectionSettings(), "z", self.random, hints)
        self.budget = RetryBudget(RetryBudgetSettings(), 0.5)
        self.clock.after(SWEEP_SECONDS, self._sweep)

    def submit(self, run):
        if not self.is_up:
            self.clock.after(LINK_SECONDS, run.reply, "unreachable", 0.0, None)
            return
        decision = self.queue.offer(run, self.clock.now)
        if decision is QueueDecision.REFUSE:
            self._refuse(run)
        elif decision is QueueDecision.RUN:
            run.begin()
        else:
            self.start_next()

    def start_next(self):
        for run in list(self.queue.next_runs(self.clock.now)):
            run.begin()

    def send_reply(self, reply, outcome, wait):
        load = self.queue.load
        left = self.cold.seconds_left(self.clock.now)
        if self.cold.is_unsettled(self.clock.now):
            left = 0.0
        if load.rate_limit:
            load = load._replace(
                rate_wait=self.queue.rate_wait(False, 1), warmup_left=left
            )
        self.clock.after(LINK_SECONDS, reply, outcome, wait, load)

    def _refuse(self, run):
        wait = self.queue.estimated_retry_wait(run.is_call, run.priority)
        self.send_reply(run.reply, "refused", wait)

    def _sweep(self):
        now = self.clock.now
        self.start_next()
        for run in self.queue.expire(now + 0.06):
            self._refuse(run)
        if self.cold.check_due(now):
            self.cold.record_check(now)
            if self.server.is_up:
                answer = HealthAnswer(ServerId(""), self.server.warmup_left)
                self.cold.record_health(answer, now, now)
            else:
                self.cold.record_break(now)
        self.clock.after(SWEEP_SECONDS, self._sweep)


ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    targets=(),
    idempotent=False,
    timeout=DEADLINE_SECONDS,
    latency_target=TARGET_SECONDS,
    attempts=2,
    priority=1,
    public=False,
)


class Fleet:
    """Hosts that come back within 0.5 to 0.7 s, and callers that all return then."""

    def __init__(self, settings, callers, interval, servers=6, seed=1):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.sent = 0
        self.refused = 0
        self.outcomes = []
        self._interval = interval
        self.hosts = {}
        self.listed = {"front": [], "back": []}
        for service, listed in self.listed.items():
            for number in range(servers):
                name = ServerId(f"{service}-{number}")
                host = Host(self, len(self.hosts), service, settings)
                self.hosts[name] = host
                listed.append(self._entry(name, service))
                up_at = self.random.uniform(0.5, 0.7)
                self.clock.after(up_at, host.start)
                self.clock.after(up_at + 0.05, host.server.start)
        for _ in range(callers):
            self.clock.after(self.random.uniform(0.7, 0.8), self._ask)

    def _entry(self, name, service):
        return BackendServer(
            id=name,
            service=service,
            address="10.0.0.1:80",
            zone="z",
            slots=SLOTS,
            leaving=False,
            warmup=WARMUP.seconds,
            started=1,
            revision=Revision(1),
        )

    @property
    def servers(self):
        return [host.server for host in self.hosts.values()]

    def _ask(self, first_sent_at=None):
        sent_at = self.clock.now
        first_sent_at = sent_at if first_sent_at is None else first_sent_at
        entry = self.random.choice(list(self.hosts.values()))

        def done(outcome, retry_after):
            self.outcomes.append((sent_at, self.clock.now, outcome))
            waits = retry_after or RETRY_WITHOUT_HINT_SECONDS
            later = self.clock.now + waits - first_sent_at
            if outcome == "refused" and later < PATIENCE_SECONDS:
                self.clock.after(waits, self._ask, first_sent_at)
            else:
                pause = self.random.expovariate(1 / self._interval)
                self.clock.after(pause, self._ask)

        Request(entry, "front", False, sent_at + DEADLINE_SECONDS, done).send()

    def share_served(self, begin, end):
        """Share of the requests sent within a time that were served."""
        found = [out for at, _, out in self.outcomes if begin <= at < end]
        return found.count("served") / max(1, len(found))


def play(settings, callers=1000, interval=4.0, seed=1, until=25.0):
    fleet = Fleet(settings, callers, interval, seed=seed)
    fleet.clock.run(until)
    return fleet


class TestRecovery(TestCase):
    def test_fleet_recovers_without_a_crash(self):
        for seed in (1, 2, 3):
            fleet = play(SETTINGS, seed=seed)
            self.assertEqual(0, sum(server.crashes for server in fleet.servers))
            most = max(server.most_while_cold for server in fleet.servers)
            self.assertLessEqual(most, BOUND)
            after = 0.7 + RECOVERY_SECONDS
            self.assertGreaterEqual(fleet.share_served(after, 25.0), 0.25)

    def test_cold_servers_are_used_while_they_warm_up(self):
        # Two calls follow each request, so the deeper service bounds what is served.
        fleet = play(SETTINGS, until=3.6)
        served = sum(outcome == "served" for _, _, outcome in fleet.outcomes)
        self.assertGreater(served, 0)
        for host in fleet.hosts.values():
            self.assertGreaterEqual(host.server.most_while_cold, 5)

    def test_no_server_crashes_under_a_demand_far_above_the_capacity(self):
        fleet = play(SETTINGS, callers=3000, until=8.0)
        self.assertEqual(0, sum(server.crashes for server in fleet.servers))

    def test_refused_callers_do_not_return_at_once(self):
        # Callers who are told the same time would repeat the surge of the return.
        fleet = play(SETTINGS, until=6.0)
        sent = sorted(at for at, _, _ in fleet.outcomes if at > 1.0)
        busiest = max(sum(0.0 <= at - start < 0.1 for at in sent) for start in sent)
        self.assertLess(busiest, 0.25 * 1000)

    def test_fleet_without_the_limit_does_not_recover(self):
        # Shows that the play has the fault that the limit is there for.
        fleet = play(WarmupSettings(), until=20.0)
        self.assertGreater(sum(server.crashes for server in fleet.servers), 50)
        after = 0.7 + RECOVERY_SECONDS
        self.assertLess(fleet.share_served(after, 20.0), 0.25)
