"""Periodic timers on a loop that is late."""

from testtools import TestCase

from damaskramp.core.timers import TimerHandle, TimerService


class LateTimers(TimerService):
    """Timers that run each callback some time after it is due."""

    def __init__(self, lateness):
        self._now = 0.0
        self._lateness = lateness
        self._pending = []

    @property
    def now(self):
        return self._now

    @property
    def wall_now(self):
        return self._now

    def after(self, delay, callback):
        self._pending.append((self._now + delay, callback))
        return TimerHandle()

    def run_next(self):
        self._pending.sort(key=lambda one: one[0])
        due, callback = self._pending.pop(0)
        self._now = max(self._now, due + self._lateness())
        callback()


class TestPeriodicTimers(TestCase):
    def test_late_runs_do_not_add_up(self):
        """Each timer of a node drifted by itself and woke it at moments of its own."""
        timers = LateTimers(lambda: 0.001)
        ran = {0.05: [], 0.1: []}
        for period, times in ran.items():
            timers.every(period, lambda times=times: times.append(timers.now))
        while timers.now < 10.5:
            timers.run_next()
        self.assertAlmostEqual(10.0, ran[0.05][199], delta=0.0011)
        for at in ran[0.1][:100]:
            nearest = min(abs(at - other) for other in ran[0.05])
            self.assertLess(nearest, 1e-6)

    def test_missed_runs_are_not_made_up_for(self):
        """A process that was held up would otherwise run them all at once."""
        delays = iter([0.0, 5.0])
        timers = LateTimers(lambda: next(delays, 0.0))
        ran = []
        timers.every(1.0, lambda: ran.append(timers.now))
        for _ in range(4):
            timers.run_next()
        self.assertEqual([1.0, 7.0, 8.0, 9.0], ran)
