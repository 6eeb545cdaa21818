"""Nodes of `recovery_fleet`, with the decisions of entry and executing nodes."""

import random
from functools import partial

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
    Work,
)
from damaskramp.dispatch.tests.recovery_server import WARMUP
from damaskramp.fleet import Route, ServerId

LINK_SECONDS = 0.0014
SWEEP_SECONDS = 0.05
DEADLINE_SECONDS = 3.0
TARGET_SECONDS = 1.0
MIN_NO_SERVER_RETRY_SECONDS = 0.02
CALLS = {"front": 2, "back": 0}
SLOTS = 8

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
        entry.clock.after(LINK_SECONDS, partial(run.host.submit, run))

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

    def __init__(self, fleet, number, server, settings):
        self.fleet = fleet
        self.clock = fleet.clock
        self.server = server
        self.service = server.service
        self.random = random.Random(number)
        self.counters = Counters()
        self.depths = CallDepths()
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
            reply = partial(run.reply, "unreachable", 0.0, None)
            self.clock.after(LINK_SECONDS, reply)
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
        self.clock.after(LINK_SECONDS, partial(reply, outcome, wait, load))

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
