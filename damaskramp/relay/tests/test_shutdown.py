"""Steps of a stop: their order and times, and what the stop waits for."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase

from damaskramp.core.timers import VirtualTimers
from damaskramp.relay.shutdown import Shutdown

STEP_SECONDS = 0.01


class StopRun:
    """Run of a stop on virtual time; the fake parts record when they are told."""

    def __init__(self, open_until=0.0, unsent_until=0.0):
        self.timers = VirtualTimers()
        self.steps = []
        self.open_until = open_until
        self.unsent_until = unsent_until
        executor = _FakeExecutor(self)
        self.shutdown = Shutdown(
            self.timers,
            executor,
            SimpleNamespace(
                announce_leaving=self.record("leaving"),
                announce_end=self.record_until("waiting calls must end"),
            ),
            SimpleNamespace(
                unanswered=0,
                unsent=0,
                announce_close=self.record("closing"),
                announce_end=self.record_until("open requests must end"),
                close_idle=self.record("idle closed"),
            ),
            SimpleNamespace(announce_stop=self.record_until("requests must end")),
            _FakeLinks(self),
            self.record("not listening"),
        )
        self.executor = executor

    def record(self, step):
        return lambda: self.steps.append((step, round(self.timers.now, 1)))

    def record_until(self, step):
        return lambda end_at: self.record(f"{step} by {end_at}")()

    def run(self, grace):
        """Run the stop; return the open requests and the time that it took."""

        async def run():
            task = asyncio.get_running_loop().create_task(self.shutdown.run(grace))
            while not task.done():
                await asyncio.sleep(0)
                self.timers.advance(STEP_SECONDS)
            return task.result(), round(self.timers.now, 1)

        return asyncio.run(run())


class _FakeExecutor:
    def __init__(self, run):
        self._run = run
        self.has_left = False

    def leave(self):
        self.has_left = True

    @property
    def running(self):
        return int(self._run.timers.now < self._run.open_until)


class _FakeLinks:
    def __init__(self, run):
        self._run = run

    @property
    def unsent(self):
        return int(self._run.timers.now < self._run.unsent_until)


class TestShutdown(TestCase):
    """A stop must not cut requests of callers who could not know of it yet."""

    def test_connections_are_closed_after_callers_could_learn_of_the_stop(self):
        run = StopRun()
        self.assertEqual((0, 3.6), run.run(grace=20.0))
        self.assertEqual(
            [
                ("leaving", 2.0),
                ("closing", 2.0),
                ("requests must end by 19.5", 3.0),
                ("open requests must end by 19.5", 3.0),
                ("waiting calls must end by 19.5", 3.0),
                ("not listening", 3.5),
                ("idle closed", 3.6),
            ],
            run.steps,
        )
        self.assertTrue(run.executor.has_left)

    def test_running_requests_have_the_rest_of_the_grace_time(self):
        self.assertEqual((0, 9.0), StopRun(open_until=9.0).run(grace=20.0))

    def test_answers_on_their_way_to_other_nodes_are_waited_for(self):
        self.assertEqual((0, 9.0), StopRun(unsent_until=9.0).run(grace=20.0))

    def test_requests_that_outlast_the_grace_time_are_reported_as_cut(self):
        """They have got their answers at 19.5 s, which may still have to be written."""
        self.assertEqual((1, 19.7), StopRun(open_until=99.0).run(grace=20.0))

    def test_a_short_grace_time_shortens_every_step(self):
        """With fixed times, a grace time of 2 s would end before requests are read."""
        run = StopRun()
        run.run(grace=2.0)
        times = [0.7, 0.7, 1.2, 1.2, 1.2, 1.2, 1.3]
        self.assertEqual(times, [at for _, at in run.steps])
