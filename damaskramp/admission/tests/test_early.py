import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.admission import EarlyRefusal, Load, TrafficClass
from damaskramp.config import AdmissionSettings
from damaskramp.core import (
    HostId,
    Outcome,
    Reason,
    ServiceName,
    TeamId,
    VirtualTimers,
)
from damaskramp.testing import LoopTestCase

TRAFFIC_CLASS = TrafficClass(ServiceName("board"), "/board", TeamId("clubs"))
OTHER_TEAM_CLASS = TrafficClass(ServiceName("board"), "/board", TeamId("press"))


REPORT_WINDOW_SECONDS = 0.2
CLASSES = 3
STEPS = st.tuples(
    st.sampled_from((0.0, 0.05, 0.1, 0.2, 0.25, 1.0, 1.3, 4.0)),
    st.sampled_from(("h1", "h2", "h3")),
    st.sampled_from((None, 0.0, 0.5, 1.5, 2.5, 2.9, float("inf"))),
)


class ReferenceLevels:
    """Reference model: all reports since the traffic class was last dropped."""

    def __init__(self, age):
        self.reports = {}
        self.age = age

    def record_load(self, host, level, now):
        if self.reports or level != float("inf"):
            self.reports.setdefault(host, []).append((now, level))

    def level(self, now):
        levels = {}
        for host, reports in list(self.reports.items()):
            last = reports[-1][0]
            highest = max(
                level for time, level in reports if last - time <= REPORT_WINDOW_SECONDS
            )
            levels[host] = highest + max(0.0, now - last - self.age) / self.age
            if now - last > self.age and levels[host] > CLASSES:
                del self.reports[host], levels[host]
        if all(level == float("inf") for level in levels.values()):
            self.reports.clear()
            return float("inf")
        return max(levels.values())


class TestEarlyRefusal(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.early = EarlyRefusal(
            AdmissionSettings(), self.timers, np.random.default_rng(1)
        )
        self.early.configure(3)

    def record_load(self, level, host="h1", traffic_class=TRAFFIC_CLASS):
        self.early.record_load(traffic_class, HostId(host), Load(shed_level=level))

    def is_admitted(self, rank, traffic_class=TRAFFIC_CLASS):
        return self.early.check(traffic_class, rank).is_ok()

    def test_refuses_above_the_level_only(self):
        self.record_load(1.5)
        self.assertTrue(self.is_admitted(1.4))
        refusal = self.early.check(TRAFFIC_CLASS, 1.6).error
        self.assertIs(Reason.OVERLOADED, refusal.reason)
        self.assertIs(Outcome.NOT_RUN, refusal.outcome)

    def test_hints_are_spread(self):
        """Guards against callers refused together that return together."""
        self.record_load(0.5)
        hints = [
            self.early.check(TRAFFIC_CLASS, 2.0).error.retry_after for _ in range(200)
        ]
        self.assertGreater(max(hints) / min(hints), 2.0)

    def test_one_unloaded_host_keeps_calls_admitted(self):
        """Guards against refusals while one host of the service has free capacity."""
        self.record_load(0.5, "h1")
        self.record_load(float("inf"), "h2")
        self.assertTrue(self.is_admitted(2.9))

    def test_level_of_a_silent_host_rises_and_is_dropped(self):
        """Guards against endless refusal: refused calls bring no new report."""
        self.record_load(0.0)
        self.assertFalse(self.is_admitted(2.9))
        self.timers.advance(1.6)
        self.assertTrue(self.is_admitted(0.3))
        self.assertFalse(self.is_admitted(1.5))
        self.timers.advance(3.0)
        self.assertTrue(self.is_admitted(2.9))

    def test_silent_unloaded_host_is_dropped(self):
        """Guards against a silent host whose last report keeps all calls admitted."""
        self.record_load(0.5, "h1")
        self.record_load(float("inf"), "h2")
        self.timers.advance(1.5)
        self.record_load(0.5, "h1")
        self.assertFalse(self.is_admitted(2.9))

    def test_less_important_class_of_a_team_without_level_is_refused(self):
        """Guards against priorities inverted between teams."""
        self.record_load(0.5)
        self.assertTrue(self.is_admitted(0.9, OTHER_TEAM_CLASS))
        self.assertFalse(self.is_admitted(1.1, OTHER_TEAM_CLASS))

    def test_no_important_call_refused_near_less_important_one_admitted(self):
        """Guards against inverted priorities while the level changes."""
        self.record_load(1.5)
        self.assertTrue(self.is_admitted(1.2))
        self.record_load(0.5)
        self.timers.advance(0.25)
        self.record_load(0.5)
        self.assertFalse(self.is_admitted(0.8))
        self.record_load(1.9)
        self.assertFalse(self.is_admitted(1.2))
        self.timers.advance(0.15)
        self.assertTrue(self.is_admitted(1.2))
        self.timers.advance(0.25)
        self.record_load(0.5)
        self.assertFalse(self.is_admitted(0.8))

    def test_important_call_is_admitted_just_after_less_important_one(self):
        self.record_load(1.5)
        self.timers.advance(0.3)
        self.assertTrue(self.is_admitted(1.2))
        self.record_load(0.5)
        self.assertTrue(self.is_admitted(0.8))
        self.timers.advance(0.15)
        self.assertFalse(self.is_admitted(0.8))

    def test_order_is_kept_after_the_level_is_lifted(self):
        """Guards against inverted priorities just after a level is lifted."""
        self.assertTrue(self.is_admitted(2.9))
        self.record_load(1.5)
        self.assertTrue(self.is_admitted(1.8))
        self.timers.advance(0.3)
        self.assertFalse(self.is_admitted(1.8))
        self.record_load(float("inf"))
        self.timers.advance(0.05)
        self.assertFalse(self.is_admitted(2.9))

    def test_number_of_traffic_classes_is_bounded(self):
        """Guards against unbounded memory when calls name many routes."""
        for number in range(12_000):
            traffic_class = TrafficClass(ServiceName("s"), f"/{number}", TeamId("t"))
            self.record_load(0.5, traffic_class=traffic_class)
            self.is_admitted(0.1, traffic_class)
        self.assertLessEqual(len(self.early._reports), 10_000)
        self.assertLessEqual(len(self.early._orders), 10_000)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.lists(STEPS, max_size=40))
    def test_level_matches_the_reference_model(self, steps):
        """Guards against dropping reports that still determine the level."""
        timers = VirtualTimers()
        admission = AdmissionSettings()
        early = EarlyRefusal(admission, timers, np.random.default_rng(1))
        early.configure(CLASSES)
        team_levels = ReferenceLevels(admission.level_age_seconds)
        all_teams_levels = ReferenceLevels(admission.level_age_seconds)
        for seconds, host, level in steps:
            timers.advance(seconds)
            if level is not None:
                early.record_load(TRAFFIC_CLASS, HostId(host), Load(shed_level=level))
                team_levels.record_load(host, level, timers.now)
                all_teams_levels.record_load(host, float(np.ceil(level)), timers.now)
            expected = min(
                team_levels.level(timers.now), all_teams_levels.level(timers.now)
            )
            self.assertEqual(expected, early.level(TRAFFIC_CLASS))
