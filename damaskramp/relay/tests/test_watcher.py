"""Reading the platform: proof of freshness, changes, and outages."""

import asyncio
import random
from dataclasses import replace

from damaskramp.core import Counters
from damaskramp.core.timers import VirtualTimers
from damaskramp.dispatch import Suspects, SuspectSettings
from damaskramp.fleet import (
    BackendServer,
    FleetConfiguration,
    FleetSource,
    Freshness,
    Removal,
    SourceChanges,
    SourceError,
    SourceSnapshot,
    StorePosition,
)
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.watcher import Watcher, WatcherSettings
from damaskramp.testing import LoopTestCase

OWN_HOST = "10.0.0.1"
STEP_SECONDS = 0.02
"""Interval of virtual time, in seconds; the platform's own answers take 0.004 s."""


class FakeSource(FleetSource):
    """Fake source with a history, whose watches can go silent."""

    def __init__(self, timers):
        self._timers = timers
        self.servers = {}
        self.removed = {}
        self.revision = 1
        self.calls = 0
        self.published = True
        self.down = False
        self.silent_watches = False

    def put(self, name):
        self.revision += 1
        address = f"10.0.0.{name}:80"
        # The own host is the only one in its zone and therefore the zone's reader.
        zone = "a" if address.startswith(OWN_HOST + ":") else "b"
        self.removed.pop(name, None)
        self.servers[name] = BackendServer(
            name, "draws", address, zone, 8, False, 0.0, 0, self.revision
        )

    def remove(self, name):
        self.revision += 1
        del self.servers[name]
        self.removed[name] = self.revision

    async def snapshot(self):
        self._check()
        configuration = FleetConfiguration(1, (), ()) if self.published else None
        return SourceSnapshot(
            configuration,
            tuple(self.servers.values()),
            StorePosition(0, self.revision),
        )

    async def changes(self, position, seconds):
        self._check()
        after = position.revision
        is_watch = seconds > 0
        end = self._timers.now + seconds
        while True:
            if self.down:
                raise SourceError("reset")
            has_changes = self.revision > after and not (
                is_watch and self.silent_watches
            )
            if has_changes or self._timers.now >= end:
                break
            await self._timers.sleep(STEP_SECONDS)
        servers = tuple(s for s in self.servers.values() if s.revision > after)
        removed = tuple(Removal(n, r) for n, r in self.removed.items() if r > after)
        return SourceChanges(None, servers, removed, StorePosition(0, self.revision))

    def decode(self, document):
        raise SourceError("not used here")

    def close(self):
        pass

    def _check(self):
        self.calls += 1
        if self.down:
            raise SourceError("refused")


class WatcherTestCase(LoopTestCase):
    """Test case that runs a watcher on virtual time."""

    SETTINGS = WatcherSettings(poll_seconds=1.4, stale_seconds=1.75)

    make_source = FakeSource

    async def consult_peers(self, seconds):
        pass

    def play(self, script):
        """Run a watcher and, after each delay of the script, its action."""

        async def run():
            self.timers = VirtualTimers()
            self.source = self.make_source(self.timers)
            self.source.put("1")
            clock = lambda: self.timers.now  # noqa: E731
            self.fleet_view = FleetView(
                OWN_HOST,
                "a",
                "draws",
                f"{OWN_HOST}:80",
                3.5,
                clock,
                Suspects(SuspectSettings()),
            )
            self.fleet_view.freshness = Freshness(clock)
            self.fleet_view.epoch_freshness = Freshness(clock)
            self.broadcasts = []
            watcher = Watcher(
                self.SETTINGS,
                self.source,
                self.fleet_view,
                self.timers,
                Counters(),
                random.Random(1),
                self.broadcasts.append,
                self.consult_peers,
            )
            task = asyncio.get_running_loop().create_task(watcher.run())
            for seconds, action in script:
                await self.advance(seconds)
                action()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.run_loop(run())

    async def advance(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.timers.advance(STEP_SECONDS)
            for _ in range(6):
                await asyncio.sleep(0)

    def names(self):
        return {server.id for server in self.fleet_view.directory.servers}


class TestWatcher(WatcherTestCase):
    """A reader must keep its proof fresh, notice each change and make few calls.

    A watch that goes silent loses changes. Many changes in succession cost many calls
    if each starts a new watch. Live servers are lost if the deletion of descriptions
    that expired during an outage of the platform is applied at once.
    """

    def test_proof_is_no_older_than_a_poll_while_the_watch_waits(self):
        ages = []
        record_age = (0.1, lambda: ages.append(self.fleet_view.freshness.age))
        self.play([(1.0, lambda: None)] + [record_age] * 200)
        self.assertLessEqual(max(ages), 1.2 * 1.4 + 0.2 + STEP_SECONDS)

    def test_idle_reader_makes_few_calls(self):
        self.play([(60.0, lambda: None)])
        # One poll every 1.4 s, one watch every 5 s, and a snapshot.
        self.assertLessEqual(self.source.calls, 60 / (0.9 * 1.4) + 60 / 5 + 3)

    def test_waiting_for_the_first_configuration_makes_few_calls(self):
        def unpublish():
            self.source.published = False

        self.play([(0.0, unpublish), (6.0, lambda: None)])
        self.assertLessEqual(self.source.calls, 6.0 / 0.6 + 6.0 / 5 + 3)

    def test_watch_reports_a_change_at_once(self):
        self.play(
            [
                (2.0, lambda: self.source.put("2")),
                (0.1, lambda: self.assertEqual({"1", "2"}, self.names())),
            ]
        )
        self.assertEqual(1, len(self.broadcasts))

    def test_many_changes_in_succession_make_few_calls(self):
        def put_more():
            self.source.put(str(len(self.source.servers) + 1))

        self.play([(2.0, put_more)] + [(0.04, put_more)] * 100 + [(0.3, lambda: 0)])
        self.assertEqual(set(self.source.servers), self.names())
        # One watch in each pause, the polls, and the calls made before the changes.
        self.assertLessEqual(self.source.calls, 4.3 / 0.15 + 4.3 / (0.9 * 1.4) + 6)

    def test_poll_finds_what_a_silent_watch_misses_and_opens_another(self):
        def silence():
            self.source.silent_watches = True
            self.source.put("2")

        def heal():
            self.assertEqual({"1", "2"}, self.names())
            self.source.silent_watches = False

        self.play(
            [
                (2.0, silence),
                (1.2 * 1.4 + 0.3, heal),
                (0.3, lambda: self.source.put("3")),
                (0.2, lambda: self.assertIn("3", self.names())),
            ]
        )

    def test_deletions_right_after_an_outage_are_deferred(self):
        def go_down():
            self.source.down = True

        def come_back():
            self.source.remove("1")
            self.source.down = False

        self.play(
            [
                (2.0, go_down),
                (5.0, come_back),
                (1.5, lambda: self.assertEqual({"1"}, self.names())),
                (1.5, self.apply_deferred_removals),
                (0.1, lambda: self.assertEqual(set(), self.names())),
            ]
        )

    def apply_deferred_removals(self):
        self.fleet_view.directory.apply_deferred()


class SlowPollSource(FakeSource):
    """Fake source that publishes configurations, and can hold the answer of a poll."""

    def __init__(self, timers):
        super().__init__(timers)
        self.configuration = None
        self.problem = ""
        self.holds_polls = False
        self.held = 0

    def publish(self, version, problem=""):
        self.revision += 1
        self.problem = problem
        self.configuration = None if problem else FleetConfiguration(version, (), ())

    async def changes(self, position, seconds):
        answer = await super().changes(position, seconds)
        if answer.position > position:
            answer = replace(
                answer, configuration=self.configuration, problem=self.problem
            )
        if self.holds_polls and seconds == 0:
            self.held += 1
            while self.holds_polls:
                await self._timers.sleep(STEP_SECONDS)
        return answer


class TestLateAnswers(WatcherTestCase):
    """The answer of a poll may come after a watch has brought something newer.

    The poll was answered between two configurations; the watch brought the later one.
    """

    make_source = SlowPollSource

    def overtake(self, problem=""):
        source = self.source

        def hold():
            source.holds_polls = True
            source.silent_watches = True
            source.publish(2)

        def publish_later():
            self.assertEqual(1, source.held)
            source.silent_watches = False
            source.publish(3, problem)

        def release():
            source.holds_polls = False

        return hold, publish_later, release

    def play_overtaken(self, problem, script):
        steps = lambda n: lambda: self.overtake(problem)[n]()  # noqa: E731
        self.play([(2.0, steps(0)), (1.9, steps(1)), (0.3, steps(2)), *script])

    def test_a_late_answer_does_not_end_the_proofs(self):
        """The platform seemed to lag behind until its next configuration.

        Until then no key was honoured.
        """
        ages = []
        later = (3.0, lambda: ages.append(self.fleet_view.freshness.age))
        self.play_overtaken("", [later] * 3)
        self.assertEqual(3, self.fleet_view.version)
        self.assertLess(max(ages), 2.0)

    def test_a_late_answer_does_not_hide_that_the_newest_is_unreadable(self):
        """The unreadable configuration may have withdrawn a key."""
        ages = []
        later = (3.0, lambda: ages.append(self.fleet_view.freshness.age))
        self.play_overtaken("not a document", [later] * 2)
        self.assertGreater(min(ages), 3.0)
