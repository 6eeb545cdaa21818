"""Backend server that crashes easily while it is cold, for `recovery_fleet`."""

from collections import deque
from functools import partial

from damaskramp.fleet import ServiceWarmup

WARMUP = ServiceWarmup(5.5, 3.0, "/health")
TOLERATED = 11
"""Requests within a second above which a cold server crashes: twice its rate."""

RESTART_SECONDS = 0.6
RUN_SECONDS = {"front": 0.1, "back": 0.03}


class ModelServer:
    """Server that runs requests slowly and crashes easily while it is cold.

    Parameters
    ----------
    tolerated : float
        Requests within a second above which the server crashes while it is cold.

    Attributes
    ----------
    most_while_cold : int
        Most requests that the server got within a second while it was cold.
    """

    def __init__(self, clock, service, tolerated):
        self._clock = clock
        self.service = service
        self._tolerated = tolerated
        self.is_up = False
        self.crashes = 0
        self.most_while_cold = 0
        self._lives = 0
        self._warm_at = 0.0
        self._recent = deque()
        self._running = []

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
            if len(self._recent) > self._tolerated:
                self._crash()
                return
        factor = 2.0 if self.warmup_left else 1.0
        self._clock.after(
            factor * RUN_SECONDS[self.service],
            partial(self._work_done, run, self._lives),
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
