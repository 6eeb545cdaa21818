"""Cold servers, and a play of the requests that they are offered."""

import random

from damaskramp.dispatch import (
    ColdServer,
    HealthAnswer,
    QueueDecision,
    SlotQueue,
    SlotSettings,
    WarmupSettings,
    Work,
)
from damaskramp.fleet import BackendServer, Revision, ServerId, ServiceWarmup

RATE = 5.5
WARMUP = ServiceWarmup(RATE, 3.0, "/health")
SETTINGS = WarmupSettings(1.5, 8.0)


def entry(started=1, name="i-1", warmup=3.0):
    return BackendServer(
        ServerId(name),
        "svc",
        "10.0.0.1:80",
        "z",
        8,
        False,
        warmup,
        started,
        Revision(1),
    )


def most_in_second(times):
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def cold_server(now=0.0, warmup=WARMUP, settings=SETTINGS):
    server = ColdServer(settings, now)
    server.configure(warmup)
    return server


def warm_server(now=10.0):
    """Server that a health check has found warm, long after the node's start."""
    server = cold_server(now=now - 10.0)
    server.record_health(HealthAnswer(ServerId("i-1"), 0.0), now - 5.0, now - 5.0)
    return server


class PlayedServer:
    """Queue of a server that is offered requests, and reads each after a delay."""

    def __init__(self, cold, slots=100, run_seconds=0.15, read_delay=lambda now: 0.0):
        self.queue = SlotQueue(SlotSettings(), slots, cold)
        self.reads = []
        self.started = []
        self.waited = []
        self.refused = []
        self._run_seconds = run_seconds
        self._read_delay = read_delay
        self._running = []

    def play(self, demand, begin, end, step=0.01, seed=1):
        """Offer requests; `demand` is {(is_call, priority): requests a second}."""
        source = random.Random(seed)
        for tick in range(int((end - begin) / step)):
            now = begin + tick * step
            self._finish(now)
            for work in self.queue.expire(now + 0.06):
                self.refused.append(work)
            for work in self.queue.next_runs(now):
                self._start(work, now)
            for (is_call, priority), rate in demand.items():
                count = int(rate * step) + (source.random() < rate * step % 1)
                for _ in range(count):
                    self._offer(is_call, priority, now)

    def break_connections(self, now):
        """End all running requests, as their connections are reset."""
        for _, work in self._running:
            self.queue.finish(work, now, False)
        self._running = []

    def count(self, is_call, priority):
        return sum((w.is_call, w.priority) == (is_call, priority) for w in self.started)

    def _offer(self, is_call, priority, now):
        kind = "call" if is_call else "new"
        work = Work(kind, is_call, priority, now + 1.0, now + 3.0)
        decision = self.queue.offer(work, now)
        if decision is QueueDecision.RUN:
            self._start(work, now)
        elif decision is QueueDecision.REFUSE:
            self.refused.append(work)

    def _start(self, work, now):
        read_at = now + self._read_delay(now)
        self.reads.append(read_at)
        self.started.append(work)
        self.waited.append(now - work.enqueued)
        self._running.append((read_at + self._run_seconds, work))

    def _finish(self, now):
        for _, work in [entry for entry in self._running if entry[0] <= now]:
            self.queue.finish(work, now, True)
        self._running = [entry for entry in self._running if entry[0] > now]
