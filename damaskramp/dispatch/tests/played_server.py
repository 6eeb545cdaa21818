"""Play of the requests that the queue of a backend server is offered."""

import random

from damaskramp.dispatch import QueueDecision, SlotQueue, SlotSettings, Work

SLOTS = 100
STEP_SECONDS = 0.01
EXPIRY_MARGIN_SECONDS = 0.06
"""Time by which requests are refused before it is too late to run them."""


class PlayedServer:
    """Queue of a server that is offered requests, and reads each after a delay.

    Parameters
    ----------
    call_run_seconds : float or None
        Run time of calls in seconds; None if they take as long as new requests.

    Attributes
    ----------
    reads : list of float
        Clock times at which the server read requests.
    started, waited : list
        The same requests, and the seconds that they waited.
    refused : list of Work
        Requests that were refused on arrival or later.
    """

    def __init__(
        self,
        cold=None,
        run_seconds=0.15,
        call_run_seconds=None,
        read_delay=lambda now: 0.0,
    ):
        self.queue = SlotQueue(SlotSettings(), SLOTS, cold)
        self.fail_fast = False
        self.reads = []
        self.started = []
        self.waited = []
        self.refused = []
        self._run_seconds = {False: run_seconds, True: call_run_seconds or run_seconds}
        self._read_delay = read_delay
        self._running = []

    def play(self, demand, begin, end):
        """Offer requests; `demand` is {(is_call, priority): requests a second}."""
        source = random.Random(1)
        for tick in range(int((end - begin) / STEP_SECONDS)):
            now = begin + tick * STEP_SECONDS
            self._finish(now)
            self.refused += self.queue.expire(now + EXPIRY_MARGIN_SECONDS)
            for work in self.queue.next_runs(now):
                self._start(work, now)
            for (is_call, priority), rate in demand.items():
                mean = rate * STEP_SECONDS
                count = int(mean) + (source.random() < mean % 1)
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
        work.fail_fast = self.fail_fast
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
        self._running.append((read_at + self._run_seconds[work.is_call], work))

    def _finish(self, now):
        for _, work in [entry for entry in self._running if entry[0] <= now]:
            self.queue.finish(work, now, True)
        self._running = [entry for entry in self._running if entry[0] > now]
