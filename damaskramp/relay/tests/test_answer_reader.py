"""Which answer on a connection belongs to the present request, and its bounds."""

import gc
import weakref

import httptools
from testtools import TestCase

from damaskramp.core import ByteBudget, Counters
from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.answer_reader import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    OTHER_BYTES,
    AnswerReader,
)
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.memory_queue import MemoryQueue

ID = PLATFORM_HEADERS.request_id
NOT_EXECUTED = PLATFORM_HEADERS.not_executed


class Request:
    """Request that stores the heads of its answers."""

    def __init__(self):
        self.heads = []

    def head_received(self, answer):
        self.heads.append(answer.status)


class TestAnswerReader(TestCase):
    """An answer that is taken for another request's gives its caller wrong data."""

    def setUp(self):
        super().setUp()
        self.counters = Counters()
        self.reader = AnswerReader(
            ReservedNames(PLATFORM_HEADERS),
            self.counters,
            MemoryQueue(ByteBudget(1 << 20)),
            lambda value: None,
            lambda: None,
            lambda: None,
        )
        self.request = Request()
        self.reader.begin(self.request.head_received, b"q1", False)

    def feed(self, data):
        self.reader.received += len(data)
        self.reader.parser.feed_data(data)

    def answer(self, request_id, body=b"ok", fields=b""):
        own = b"%b: %b\r\n" % (ID, request_id) if request_id else b""
        self.feed(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
            + own
            + fields
            + b"\r\n"
            + body
        )

    def test_the_answer_with_the_id_of_the_request_is_complete(self):
        self.answer(b"q1")
        self.assertEqual(b"ok", self.reader.complete_answer.body)
        self.assertEqual(([200], True), (self.request.heads, self.reader.reusable))

    def test_the_answer_to_an_earlier_request_is_skipped(self):
        self.answer(b"q0", body=b"old")
        self.assertIsNone(self.reader.complete_answer)
        self.answer(b"q1", body=b"new")
        self.assertEqual(b"new", self.reader.complete_answer.body)
        self.assertEqual(([200], False), (self.request.heads, self.reader.reusable))

    def test_a_second_answer_ends_the_use_of_the_connection(self):
        self.answer(b"q1")
        self.answer(b"q1", body=b"again")
        self.assertTrue(self.reader.has_unsolicited)
        self.assertEqual(b"ok", self.reader.complete_answer.body)

    def test_a_rejection_without_an_id_answers_the_request(self):
        self.answer(b"", fields=NOT_EXECUTED + b": 1\r\n")
        self.assertTrue(self.reader.complete_answer.not_executed)
        self.assertFalse(self.reader.reusable)

    def test_an_answer_without_an_id_is_skipped(self):
        self.answer(b"")
        self.assertIsNone(self.reader.complete_answer)

    def test_an_answer_without_a_length_ends_with_the_connection(self):
        self.feed(b"HTTP/1.1 200 OK\r\n%b: q1\r\n\r\nab" % ID)
        self.feed(b"c")
        self.assertIsNone(self.reader.complete_answer)
        self.assertTrue(self.reader.end_input())
        self.assertEqual(b"abc", self.reader.intake.body)

    def test_an_answer_that_is_cut_off_is_not_complete(self):
        self.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n%b: q1\r\n\r\nab" % ID)
        self.assertFalse(self.reader.end_input())

    def test_what_a_server_sends_is_bounded(self):
        self.answer(b"q0", body=bytes(OTHER_BYTES))
        self.assertFalse(self.reader.is_too_large)
        self.answer(b"q0")
        self.assertTrue(self.reader.is_too_large)
        self.reader.begin(self.request.head_received, b"q2", False)
        self.feed(b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * (MAX_FIELDS + 2))
        self.assertTrue(self.reader.is_too_large)

    def test_informational_answers_are_bounded(self):
        head = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        for _ in range(MAX_HEAD_BYTES // len(head) + 1):
            self.feed(head)
        self.assertTrue(self.reader.is_too_large)

    def test_an_answered_request_is_not_kept(self):
        """An idle connection would keep the bodies of the requests that it has sent."""
        gone = weakref.ref(self.request)
        self.answer(b"q1")
        del self.request
        self.assertIsNone(gone())

    def test_a_closed_connection_is_freed_without_the_garbage_collector(self):
        gone = weakref.ref(self.reader)
        self.answer(b"q1")
        self.reader.close()
        gc.disable()
        self.addCleanup(gc.enable)
        del self.reader
        self.assertIsNone(gone())

    def test_other_bytes_than_an_answer_are_refused(self):
        self.assertRaises(httptools.HttpParserError, self.feed, b"\x00\x01\r\n\r\n")
