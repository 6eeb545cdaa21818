"""Exact count of the requests that a server reads within any second."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from damaskramp.dispatch.arrival_window import SPAN_SECONDS, ArrivalWindow
from damaskramp.dispatch.tests.cold_servers import most_in_second


class TestArrivalWindow(TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 6.0), st.floats(0.0, 4.0), st.floats(0.0, 1.0)),
            max_size=80,
        ),
        st.integers(1, 20),
    )
    def test_no_second_has_more_reads_than_the_capacity(self, offers, capacity):
        # Requests that a server reads late, as after a freeze, must count when they
        # are read and not when they were sent.
        window = ArrivalWindow(now=-10.0)
        events, reads = [], []
        for number, (at, took, share) in enumerate(offers):
            events.append((at, 0, number, at + took, at + share * took))
        while events:
            events.sort()
            at, kind, number, end, read_at = events.pop(0)
            if kind == 1:
                window.record_end(at, reached=True)
            elif window.room(capacity, at) > 0:
                window.record_start()
                reads.append(read_at)
                events.append((end, 1, number, end, read_at))
        self.assertLessEqual(most_in_second(reads), capacity)

    def test_new_process_assumes_that_the_span_is_used(self):
        window = ArrivalWindow(now=5.0)
        self.assertEqual(0, window.room(10, 6.0))
        self.assertAlmostEqual(0.05, window.wait(10, 0, 6.0))
        self.assertEqual(10, window.room(10, 5.0 + SPAN_SECONDS))

    def test_request_that_did_not_reach_the_server_does_not_count(self):
        window = ArrivalWindow(now=-10.0)
        for _ in range(4):
            window.record_start()
        window.record_end(0.0, reached=False)
        window.record_end(0.0, reached=True)
        self.assertEqual(1, window.room(4, 0.5))
        self.assertEqual(2, window.room(4, 1.1))

    def test_wait_is_the_time_until_the_place_ahead_is_free(self):
        window = ArrivalWindow(now=-10.0)
        for at in (0.0, 0.2, 0.4):
            window.record_start()
            window.record_end(at, reached=True)
        self.assertAlmostEqual(0.0 + SPAN_SECONDS - 0.5, window.wait(3, 0, 0.5))
        self.assertAlmostEqual(0.2 + SPAN_SECONDS - 0.5, window.wait(3, 1, 0.5))
