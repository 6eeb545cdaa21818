"""Windows of good and bad events, compared with a plain list of events.

A ring that reuses a cell without clearing it, or that is too short for a window, would
count events that are too old or lose recent ones.
"""

import hypothesis.strategies as st
import testtools
from hypothesis import given, settings

from damaskramp.core import VirtualTimers
from damaskramp.slo import EventHistory, SeriesKey
from damaskramp.slo.history import RINGS, WINDOWS_SECONDS

KEY = SeriesKey("registry", "clubs", "ballots")
LONGEST_CELL = {300: 10, 1800: 120, 3600: 120, 21600: 1200, 259200: 14400}

EVENTS = st.lists(
    st.tuples(st.floats(0.0, 40000.0), st.booleans()), min_size=1, max_size=60
)


class TestEventHistory(testtools.TestCase):
    @settings(deadline=None, derandomize=True)
    @given(EVENTS)
    def test_windows_hold_every_event_but_those_of_their_oldest_cell(self, events):
        timers = VirtualTimers()
        history = EventHistory(timers)
        seen = []
        for pause, good in events:
            timers.advance(pause)
            history.add(KEY, good)
            seen.append((timers.now, good))
        for count in history.windows(KEY):
            window, cell = count.window_seconds, LONGEST_CELL[count.window_seconds]
            for kind, told in ((True, count.good), (False, count.bad)):
                ages = [timers.now - at for at, good in seen if good is kind]
                surely = sum(age <= window - cell for age in ages)
                possibly = sum(age <= window for age in ages)
                self.assertTrue(surely <= told <= possibly)

    def test_every_window_fits_a_ring(self):
        spans = [cell * (cells - 1) for cell, cells in RINGS]
        for window in WINDOWS_SECONDS:
            self.assertTrue(any(span >= window for span in spans))

    def test_covered_time_grows_with_the_uptime(self):
        timers = VirtualTimers()
        history = EventHistory(timers)
        history.add(KEY, True)
        timers.advance(1000.0)
        covered = [count.covered_seconds for count in history.windows(KEY)]
        self.assertEqual([300, 1000.0, 1000.0, 1000.0, 1000.0], covered)

    def test_number_of_series_is_bounded(self):
        history = EventHistory(VirtualTimers(), max_series=2)
        for number in range(5):
            history.add(SeriesKey(f"s{number}", "clubs", "ballots"), True)
        self.assertEqual((2, 3), (len(history.keys), history.dropped))
