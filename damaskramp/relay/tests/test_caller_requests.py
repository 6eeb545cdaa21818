"""Memory, time limits and start of callers' requests."""

import logging
from types import SimpleNamespace

from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.fleet.model import CallerLimits
from damaskramp.relay.caller_context import CallerContext
from damaskramp.relay.caller_request import AnswerSink, CallerRequest
from damaskramp.relay.caller_timeouts import arrival_timeout
from damaskramp.relay.request_charges import RequestCharges
from damaskramp.relay.request_starter import RequestStarter


class FakeShare:
    def __init__(self):
        self.used = 0

    def release(self, size):
        self.used -= size


class FakeMemory:
    """Memory of all callers, of which `room` bytes are left."""

    def __init__(self, room=100_000):
        self.room = room
        self.connections = 0
        self.has_room_for_answers = True
        self.small_bodies, self.bodies = FakeShare(), FakeShare()
        self.on_charge = lambda: None

    def open_connection(self, client):
        self.connections += 1
        return True

    def close_connection(self):
        self.connections -= 1

    def charge(self, size):
        self.on_charge()
        if size > self.room:
            return False
        self.room -= size
        return True

    def release(self, size):
        self.room += size

    def may_begin(self, connection):
        return self.has_room_for_answers


class FakeConnection(AnswerSink):
    """Connection that stores the status lines of answers."""

    names = SimpleNamespace(request_id=b"x-request-id")

    def __init__(self):
        self.answers = []

    def respond(self, request, head, body):
        self.answers.append((head.partition(b"\r\n")[0], request.closes_connection))


class TestRequestCharges(TestCase):
    """Memory that is reserved twice or not released closes connections without need."""

    def setUp(self):
        super().setUp()
        self.memory = FakeMemory()
        self.charges = RequestCharges(self.memory)
        self.charges.open("10.0.0.1")
        self.request = CallerRequest(FakeConnection())

    def test_a_request_is_reserved_once_and_released_whole(self):
        self.request.head_bytes = 5000
        self.request.small_bytes = self.memory.small_bodies.used = 30
        self.request.reserved_bytes = self.memory.bodies.used = 70_000
        self.assertTrue(self.charges.reserve_head(self.request, 5000))
        waiting = self.charges.head_bytes
        self.assertTrue(self.charges.reserve_head(self.request, 5000))
        self.assertEqual(waiting, self.charges.head_bytes)
        self.assertTrue(self.charges.reserve_run(self.request))
        self.assertEqual(15_000, self.charges.head_bytes)
        for _ in range(2):
            self.charges.release(self.request)
        used = (self.memory.small_bodies.used, self.memory.bodies.used)
        self.assertEqual((100_000, (0, 0)), (self.memory.room, used))
        self.assertEqual(0, self.charges.head_bytes)

    def test_a_small_head_is_not_reserved_while_its_request_runs(self):
        self.request.head_bytes = 500
        self.assertTrue(self.charges.reserve_run(self.request))
        self.assertEqual(0, self.charges.head_bytes)

    def test_nothing_stays_reserved_where_there_is_no_room(self):
        self.memory.room = 100
        self.assertFalse(self.charges.reserve_head(self.request, 5000))
        self.assertEqual((100, 0), (self.memory.room, self.charges.head_bytes))

    def test_a_connection_that_is_closed_to_make_room_reserves_nothing(self):
        self.memory.on_charge = self.charges.close
        self.assertFalse(self.charges.reserve_head(self.request, 5000))
        self.charges.close()
        self.assertEqual((100_000, 0), (self.memory.room, self.memory.connections))


class TestArrivalTimeout(TestCase):
    """A caller that stops midway must not hold its memory for longer than it waits."""

    def test_bodies_have_the_time_that_their_caller_waits(self):
        request, limits = CallerRequest(FakeConnection()), CallerLimits()
        got = arrival_timeout(request, False, limits)
        self.assertEqual((limits.header_timeout, "slow_head"), got)
        self.assertEqual((30.0, "slow_body"), arrival_timeout(request, True, limits))
        request.deadline_ms = 2500
        self.assertEqual((2.5, "slow_body"), arrival_timeout(request, True, limits))


class TestRequestStarter(TestCase):
    """Each request gets one answer, also where the handler fails."""

    def setUp(self):
        super().setUp()
        self.connection = FakeConnection()
        self.memory = FakeMemory()
        self.handled = []
        self.counters = Counters()
        handler = SimpleNamespace(handle=self.handled.append)
        self.context = CallerContext(
            handler, self.connection.names, lambda: 0.0, self.counters, self.memory
        )
        charges = RequestCharges(self.memory)
        charges.open("10.0.0.1")
        self.starter = RequestStarter(self.context, charges)
        self.request = CallerRequest(self.connection)

    def start(self):
        self.starter.start(self.request, self.connection)
        return len(self.handled), self.connection.answers

    def test_a_request_is_handed_on(self):
        self.assertEqual((1, []), self.start())

    def test_an_invalid_request_is_not_handed_on(self):
        self.request.error_status = 431
        status = b"HTTP/1.1 431 Request Header Fields Too Large"
        self.assertEqual((0, [(status, True)]), self.start())

    def test_a_request_without_room_for_its_answer_is_refused_unrun(self):
        self.memory.has_room_for_answers = False
        status = b"HTTP/1.1 503 Service Unavailable"
        self.assertEqual((0, [(status, False)]), self.start())

    def test_a_failure_of_the_handler_is_answered(self):
        def fail(request):
            raise KeyError("fault")

        logger = logging.getLogger("damaskramp.relay.request_starter")
        logger.disabled = True
        self.addCleanup(setattr, logger, "disabled", False)
        self.context.handler = SimpleNamespace(handle=fail)
        self.assertEqual((0, [(b"HTTP/1.1 502 Bad Gateway", True)]), self.start())
        self.assertEqual(1, self.counters.values[("unexpected_errors", "")])
