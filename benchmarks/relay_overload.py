"""Load surge on a two-level call graph on a virtual clock, with four controls.

Run with ``python -m benchmarks.relay_overload``. Service *front* has spare slots; each
of its requests makes five sequential calls to service *deep*, which also receives
direct requests. For ten seconds the demand is a multiple of the capacity of *deep*, and
then falls below it. Callers retry once after a refusal, spread over a second.

Controls, on the same seeded load: *none* (every request starts immediately and shares
the servers' speed), *fixed* (slots and a queue in order of arrival), *slots* (the
relay's queue without outcome limits), *relay* (the relay's queue).
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from damaskramp.dispatch import QueueDecision, SlotQueue, SlotSettings, Work

FRONT_SLOTS, DEEP_SLOTS = 300, 50
OWN_SECONDS, CALL_SECONDS, DIRECT_SECONDS = 0.06, 0.015, 0.24
CALLS = 5
FRONT_TARGET, FRONT_DEADLINE = 1.2, 5.0
DIRECT_TARGET, DIRECT_DEADLINE = 0.6, 2.5
CALL_DEADLINE = 0.7
SURGE_FROM, SURGE_TO, END = 5.0, 15.0, 30.0
CAPACITY_PER_SECOND = DEEP_SLOTS * 0.94
DIRECT_PART = 0.3
"""Fraction of the deep service's capacity that direct requests use."""


@dataclass
class _Request:
    """Request of a caller to the front service or directly to the deep service."""

    kind: str
    began: float
    target: float
    deadline: float
    calls_left: int = 0
    attempts: int = 0
    works: list = field(default_factory=list)


class _Unbounded:
    def admits(self, held):
        return True

    def record_end(self, bad, held, now):
        pass


class _Model:
    """Simulation of both services under one control."""

    def __init__(self, control, seed):
        self.control = control
        self.source = random.Random(seed)
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.served = {"front": [], "direct": []}
        self.asked = {"front": 0, "direct": 0}
        self.wasted = 0.0
        self.queues = {
            "front": SlotQueue(SlotSettings(), FRONT_SLOTS),
            "deep": SlotQueue(SlotSettings(), DEEP_SLOTS),
        }
        self.running = {"front": 0, "deep": 0}
        self.waiting = {"front": [], "deep": []}
        if control == "slots":
            for queue in self.queues.values():
                queue._bounds.of = lambda priority, now: _Unbounded()

    def schedule(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self, factor):
        for kind in ("front", "direct"):
            share = DIRECT_PART if kind == "direct" else 1 - DIRECT_PART
            cost = DIRECT_SECONDS if kind == "direct" else CALLS * CALL_SECONDS
            rate = share * CAPACITY_PER_SECOND / cost
            at = 0.0
            while at < END:
                surge = factor if SURGE_FROM <= at < SURGE_TO else 0.7
                at += self.source.expovariate(rate * surge)
                self.schedule(at, self.arrive, kind, at)
        self.schedule(0.0, self.sweep)
        while self.events and self.events[0][0] < END + 5:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def sweep(self):
        for queue in self.queues.values():
            for work in queue.expire(self.now):
                work.refused()
        self.schedule(self.now + 0.05, self.sweep)

    def arrive(self, kind, began):
        self.asked[kind] += 1
        target = DIRECT_TARGET if kind == "direct" else FRONT_TARGET
        deadline = DIRECT_DEADLINE if kind == "direct" else FRONT_DEADLINE
        request = _Request(kind, began, began + target, began + deadline)
        self.offer(request)

    def offer(self, request):
        request.attempts += 1
        request.calls_left = CALLS if request.kind == "front" else 0
        service = "front" if request.kind == "front" else "deep"
        seconds = OWN_SECONDS if request.kind == "front" else DIRECT_SECONDS
        work = _ServiceRun(self, service, request, False, seconds)
        work.submit()

    def refused(self, request):
        if request.attempts < 2:
            self.schedule(self.now + 0.5 + self.source.random(), self.offer, request)

    def own_part_done(self, work):
        if work.request.calls_left and not work.is_call:
            self.next_call(work)
        else:
            self.end_run(work)

    def next_call(self, parent):
        parent.request.calls_left -= 1
        call = _ServiceRun(self, "deep", parent.request, True, CALL_SECONDS)
        call.parent = parent
        call.submit()

    def end_run(self, work, good=True):
        work.leave(good)
        if work.is_call:
            parent = work.parent
            if not good or self.now > parent.request.deadline:
                self.end_run(parent, good=False)
            elif parent.request.calls_left:
                self.next_call(parent)
            else:
                self.end_run(parent)
            return
        if good and self.now <= work.request.deadline:
            in_time = self.now <= work.request.target
            self.served[work.request.kind].append((self.now, in_time))
        elif not good:
            self.wasted += self.now - work.started


class _ServiceRun(Work):
    """Run of a request or call at a service."""

    def __init__(self, model, service, request, is_call, seconds):
        now = model.now
        if is_call:
            end = min(request.deadline, now + CALL_DEADLINE)
            super().__init__("call", True, 2, now + 0.3, end)
        else:
            super().__init__(request.kind, False, 2, request.target, request.deadline)
        self.model = model
        self.service = service
        self.request = request
        self.seconds = seconds
        self.parent = None

    def submit(self):
        model = self.model
        if model.control in ("slots", "relay"):
            decision = model.queues[self.service].offer(self, model.now)
            if decision is QueueDecision.REFUSE:
                self.refused()
            elif decision is QueueDecision.RUN:
                self.begin()
            return
        model.running[self.service] += 1
        slots = FRONT_SLOTS if self.service == "front" else DEEP_SLOTS
        if model.control == "none":
            self.seconds *= max(1.0, model.running[self.service] / slots)
            self.begin()
        elif model.running[self.service] > slots:
            model.running[self.service] -= 1
            model.waiting[self.service].append(self)
        else:
            self.begin()

    def begin(self):
        if not self.started:
            self.started = self.model.now
        spread = self.model.source.uniform(0.7, 1.3)
        when = self.model.now + self.seconds * spread
        self.model.schedule(when, self.model.own_part_done, self)

    def refused(self):
        if self.is_call:
            self.model.end_run(self.parent, good=False)
        else:
            self.model.refused(self.request)

    def leave(self, good):
        model = self.model
        if model.control in ("slots", "relay"):
            queue = model.queues[self.service]
            queue.finish(self, model.now, good)
            for work in queue.next_runs(model.now):
                work.begin()
            return
        model.running[self.service] -= 1
        waiting = model.waiting[self.service]
        while waiting:
            work = waiting.pop(0)
            if model.now > work.deadline:
                work.refused()
                continue
            model.running[self.service] += 1
            work.begin()
            break


def measure(control, factor, seed):
    """Return goodput in the surge, its split by kind, recovery time and wasted work."""
    model = _Model(control, seed)
    model.run(factor)

    def between(kind, first, last):
        return sum(good and first <= at < last for at, good in model.served[kind])

    cost = {"front": CALLS * CALL_SECONDS, "direct": DIRECT_SECONDS}
    used = {k: between(k, SURGE_FROM, SURGE_TO) * cost[k] for k in cost}
    capacity = CAPACITY_PER_SECOND * (SURGE_TO - SURGE_FROM)
    calm = sum(between(k, 1.0, 4.0) for k in cost) / 3.0
    recovered = next(
        (
            at - SURGE_TO
            for at in range(int(SURGE_TO), int(END))
            if sum(between(k, at, at + 1) for k in cost) > 0.9 * calm
        ),
        None,
    )
    return sum(used.values()) / capacity, used, recovered, model.wasted


def main():
    """Print the table of all controls and surge factors."""
    print("factor control  goodput  front direct  recovered  seconds in vain")
    for factor in (1.5, 2, 4):
        for control in ("none", "fixed", "slots", "relay"):
            runs = [measure(control, factor, seed) for seed in (1, 2, 3)]
            goodput = sum(run[0] for run in runs) / 3
            capacity = CAPACITY_PER_SECOND * (SURGE_TO - SURGE_FROM)
            parts = [sum(run[1][k] for run in runs) / 3 / capacity for k in runs[0][1]]
            times = [run[2] for run in runs]
            recovered = "never" if None in times else f"{max(times)} s"
            wasted = sum(run[3] for run in runs) / 3
            print(
                f"{factor:6} {control:8} {goodput:6.2f} {parts[0]:6.2f} {parts[1]:6.2f}"
                f" {recovered:>10} {wasted:10.0f}"
            )


if __name__ == "__main__":
    main()
