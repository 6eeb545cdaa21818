"""Unsent answers of a caller: progress, and the memory that they hold."""

from testtools import TestCase

from damaskramp.relay.caller_buffers import WRITE_STALL_SECONDS, UnsentAnswers

ANSWER_BYTES = 4 * 1024 * 1024
STEP_BYTES = ANSWER_BYTES // 64


class FakeMemory:
    def __init__(self):
        self.held = 0

    def hold_answer(self, size):
        self.held += size

    def release_answer(self, size):
        self.held -= size


class FakeTransport:
    """Transport whose buffer holds what its test says."""

    def __init__(self):
        self.unsent = 0

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return self.unsent


class TestUnsentAnswers(TestCase):
    """Guards against closing callers that read steadily, and keeping those that don't.

    A buffer that is never empty reports no progress by itself.
    """

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.memory, self.transport = FakeMemory(), FakeTransport()
        self.answers = UnsentAnswers(self.memory, lambda: self.now)
        self.answers.open(self.transport)
        self.transport.unsent = ANSWER_BYTES
        self.answers.pause()

    def read(self, size):
        """Let the caller read after most of the time that it has; check the timeout."""
        self.now += 0.75 * WRITE_STALL_SECONDS
        self.transport.unsent -= size
        return self.answers.has_timed_out(self.now)

    def test_steady_reading_is_progress(self):
        self.assertEqual([False] * 8, [self.read(STEP_BYTES) for _ in range(8)])
        self.assertEqual(ANSWER_BYTES - 8 * STEP_BYTES, self.memory.held)

    def test_the_time_counts_from_the_last_progress(self):
        got = [self.read(size) for size in (STEP_BYTES, 0, 0)]
        self.assertEqual([False, False, True], got)

    def test_a_few_bytes_are_no_progress(self):
        self.assertEqual([False, True], [self.read(1000) for _ in range(2)])

    def test_nothing_is_held_once_all_is_read(self):
        self.assertEqual(ANSWER_BYTES, self.memory.held)
        self.transport.unsent = 0
        self.answers.resume()
        self.assertEqual(0, self.memory.held)
