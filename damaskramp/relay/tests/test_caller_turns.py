"""Turns of callers' connections: no number of requests delays other work."""

import asyncio

from damaskramp.core import Counters, MemoryAccount, Outcome, Reason
from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.caller_listener import CallerListener
from damaskramp.relay.caller_memory import CallerShares
from damaskramp.relay.caller_request import RequestHandler
from damaskramp.relay.caller_turns import REQUESTS_PER_TURN, CallerTurns, TurnTaker
from damaskramp.relay.headers import ReservedNames
from damaskramp.relay.read_size import MIN_READ_BYTES
from damaskramp.relay.shedding import SheddingLog
from damaskramp.relay.tests.fakes import FakeTransport
from damaskramp.testing import LoopTestCase

MEMORY = 100_000_000
CONNECTIONS = 100
REQUESTS = 30


class _Taker(TurnTaker):
    def __init__(self, turns, name, begun, requests):
        self._turns, self._name, self._begun = turns, name, begun
        self._left = requests

    def take_turn(self):
        if not self._left:
            return False
        self._left -= 1
        self._begun.append(self._name)
        if self._left:
            self._turns.wait(self)
        return True


class TurnsTestCase(LoopTestCase):
    """Guards against one connection, or many, that occupy the event loop."""

    def test_requests_of_a_turn_are_bounded(self):
        async def scenario():
            counters = Counters()
            turns = CallerTurns(counters)
            allowed = sum(turns.may_begin() for _ in range(10 * REQUESTS_PER_TURN))
            await asyncio.sleep(0)
            full = counters.values.get(("caller_turns_full", ""))
            return allowed, turns.may_begin(), full

        self.assertEqual((REQUESTS_PER_TURN, True, 1), self.run_loop(scenario()))

    def test_connections_take_turns_with_one_request_each(self):
        async def scenario():
            turns, begun = CallerTurns(Counters()), []
            for name, requests in (("many", 5), ("one", 1), ("gone", 0), ("two", 2)):
                turns.wait(_Taker(turns, name, begun, requests))
            for _ in range(10):
                await asyncio.sleep(0)
            return begun

        expected = ["many", "one", "two", "many", "two", "many", "many", "many"]
        self.assertEqual(expected, self.run_loop(scenario()))

    def test_a_later_request_waits_behind_those_that_wait(self):
        async def scenario():
            turns, begun = CallerTurns(Counters()), []
            turns.wait(_Taker(turns, "first", begun, 1))
            before = turns.may_begin()
            await asyncio.sleep(0)
            return before, begun, turns.may_begin()

        self.assertEqual((False, ["first"], True), self.run_loop(scenario()))


class _Transport(FakeTransport):
    """Transport of a caller that must not be cut off."""

    def abort(self):
        raise AssertionError("connection aborted")


class _Refusing(RequestHandler):
    """Handler that refuses each request at once, as one without a route."""

    def __init__(self):
        self.seen = []

    def handle(self, request):
        self.seen.append(request)
        request.refuse(Reason.NO_ROUTE, Outcome.NOT_RUN)


class PipelinedRefusalsTestCase(LoopTestCase):
    """Guards against pipelined requests that are refused while they are read."""

    def make_listener(self):
        account = MemoryAccount(MEMORY)
        shares = CallerShares(*(account.share(n, 0, MEMORY) for n in "abcdef"))
        self.handler = _Refusing()
        counters = Counters()
        return CallerListener(
            self.handler,
            ReservedNames(PLATFORM_HEADERS),
            lambda: 1.0,
            counters,
            shares,
            SheddingLog(counters),
        )

    def connect(self, listener):
        connection, transport = listener.connect(), _Transport()
        connection.connection_made(transport)
        return connection, transport

    def send(self, connection, data):
        buffer = connection.get_buffer(-1)
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        connection.buffer_updated(size)
        return data[size:]

    def test_chunks_of_one_byte_are_read_in_small_steps(self):
        """16 KiB of them take 4 ms, and the loop has one read of each connection."""

        async def read_sizes(data):
            connection, _ = self.connect(self.make_listener())
            head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.send(connection, head)
            sizes = []
            for _ in range(4):
                sizes.append(len(connection.get_buffer(-1)))
                data = self.send(connection, data)
            return sizes

        sizes = self.run_loop(read_sizes(b"1\r\nx\r\n" * 10_000))
        self.assertLessEqual(sizes[0], 4096)
        self.assertLessEqual(max(sizes[1:]), MIN_READ_BYTES)
        large = self.run_loop(read_sizes(b"10000\r\n" + b"x" * 65_536))
        self.assertEqual([16_384] * 3, large[1:])

    def test_many_connections_leave_each_turn_of_the_loop_short(self):
        async def scenario():
            listener = self.make_listener()
            request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
            clients = [
                [
                    *self.connect(listener),
                    b"".join(request % n for n in range(REQUESTS)),
                ]
                for _ in range(CONNECTIONS)
            ]
            turns = []
            while len(self.handler.seen) < CONNECTIONS * REQUESTS:
                before = len(self.handler.seen)
                await asyncio.sleep(0)
                for client in clients:
                    connection, transport, data = client
                    if data and transport.reading:
                        client[2] = self.send(connection, data)
                turns.append(len(self.handler.seen) - before)
            self.assertLessEqual(max(turns), REQUESTS_PER_TURN)
            for connection, transport, _ in clients:
                answers = bytes(transport.written)
                self.assertEqual(REQUESTS, answers.count(b"HTTP/1.1 404"))
                seen = [r.path for r in self.handler.seen if r.connection is connection]
                self.assertEqual([f"/{n}" for n in range(REQUESTS)], seen)
            return listener

        listener = self.run_loop(scenario())
        self.assertEqual(0, listener.unanswered)

    def test_a_request_that_waits_for_its_turn_counts_as_unanswered(self):
        """A shutdown must wait for it as for one that runs."""

        async def scenario():
            listener = self.make_listener()
            clients = [self.connect(listener) for _ in range(REQUESTS_PER_TURN + 1)]
            for connection, _ in clients:
                self.send(connection, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            waiting = listener.unanswered
            listener.close_idle()
            await asyncio.sleep(0)
            return waiting, listener.unanswered, bytes(clients[-1][1].written)

        waiting, later, answer = self.run_loop(scenario())
        self.assertEqual((1, 0), (waiting, later))
        self.assertIn(b"404", answer)

    def test_a_request_that_waits_never_begins_while_the_connection_closes(self):
        """Guards against requests that run behind an answer that closes the connection.

        The caller reads that answer late, upon which the connection takes a turn.
        """

        async def scenario():
            listener = self.make_listener()
            for _ in range(REQUESTS_PER_TURN):
                self.send(
                    self.connect(listener)[0], b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
                )
            connection, transport = self.connect(listener)
            two_hosts = b"GET /bad HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"
            self.send(connection, two_hosts + b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
            begun_before = bytes(transport.written)
            await asyncio.sleep(0)
            connection.pause_writing()
            connection.resume_writing()
            for _ in range(3):
                await asyncio.sleep(0)
            return begun_before, bytes(transport.written), listener.unanswered

        before, answers, unanswered = self.run_loop(scenario())
        self.assertEqual((b"", 1, 0), (before, answers.count(b"HTTP/1.1"), unanswered))
        self.assertIn(b"HTTP/1.1 400", answers)
        self.assertNotIn("/late", [request.path for request in self.handler.seen])
