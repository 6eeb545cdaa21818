"""Readers of readiness, status and metrics: turns, timeouts, and who is closed."""

import asyncio

from damaskramp.core import Counters, MemoryAccount
from damaskramp.relay.shedding import SheddingLog
from damaskramp.relay.status_server import (
    ANSWERS_PER_TURN,
    CONNECTION_BYTES,
    HEAD_SECONDS,
    IDLE_SECONDS,
    MANY_ANSWERS,
    MIN_STALL_SECONDS,
    UNREAD_SECONDS,
    StatusServer,
)
from damaskramp.relay.tests.fakes import FakeTransport
from damaskramp.testing import LoopTestCase

REQUEST = b"GET /page HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200"
TURNS = 200


class StatusServerTestCase(LoopTestCase):
    def make_server(self, connections=100):
        self.now = 100.0
        self.answers = 0
        memory = MemoryAccount(connections * CONNECTION_BYTES)
        descriptors = MemoryAccount(connections)
        self.shares = [
            account.share("status", 0, account.limit)
            for account in (memory, descriptors)
        ]
        return StatusServer(
            {b"/page": self.page},
            lambda: self.now,
            *self.shares,
            SheddingLog(Counters()),
        )

    def page(self):
        self.answers += 1
        return 200, b"ok"

    def connect(self, server):
        connection, transport = server.connect(), FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def send(self, connection, data):
        connection.get_buffer(-1)[: len(data)] = data
        connection.buffer_updated(len(data))

    async def run_turns(self):
        for _ in range(TURNS):
            await asyncio.sleep(0)


class TestTurns(StatusServerTestCase):
    """Guards against pipelined requests that occupy the event loop."""

    def test_answers_of_a_turn_are_bounded_and_connections_take_turns(self):
        async def scenario():
            server = self.make_server()
            clients = [self.connect(server) for _ in range(10)]
            for connection, _ in clients:
                self.send(connection, REQUEST * 20)
            turns, first_round = [], []
            for _ in range(TURNS):
                before = self.answers
                await asyncio.sleep(0)
                turns.append(self.answers - before)
                if before < 10 <= self.answers:
                    first_round = [ANSWER in bytes(t.written) for _, t in clients]
            return max(turns), first_round, self.answers

        most, first_round, answers = self.run_loop(scenario())
        self.assertLessEqual(most, ANSWERS_PER_TURN)
        self.assertEqual(([True] * 10, 200), (first_round, answers))

    def test_no_page_is_made_for_a_reader_that_does_not_read(self):
        async def scenario():
            server = self.make_server()
            connection, _ = self.connect(server)
            connection.pause_writing()
            self.send(connection, REQUEST * 3)
            await self.run_turns()
            before = self.answers
            connection.resume_writing()
            await self.run_turns()
            return before, self.answers

        self.assertEqual((0, 3), self.run_loop(scenario()))


class TestTimeouts(StatusServerTestCase):
    """Guards against readers that hold connections without using them."""

    def closed_after(self, server, transport, seconds):
        """Return whether a connection is closed just before and after a timeout."""
        closed = []
        for at in (self.now + seconds, self.now + seconds + 0.1):
            self.now = at
            server.sweep()
            closed.append(transport.closed)
        return closed

    def run_timeout(self, act, seconds):
        async def scenario():
            server = self.make_server()
            connection, transport = self.connect(server)
            act(connection)
            await self.run_turns()
            closed = self.closed_after(server, transport, seconds)
            return closed, [share.used for share in self.shares]

        self.assertEqual(([False, True], [0, 0]), self.run_loop(scenario()))

    def test_idle(self):
        self.run_timeout(lambda connection: None, IDLE_SECONDS)

    def test_idle_after_an_answer(self):
        self.run_timeout(lambda one: self.send(one, REQUEST), IDLE_SECONDS)

    def test_incomplete_head(self):
        self.run_timeout(lambda one: self.send(one, REQUEST[:-2]), HEAD_SECONDS)

    def test_unread_page(self):
        self.run_timeout(lambda one: one.pause_writing(), UNREAD_SECONDS)


class TestShedding(StatusServerTestCase):
    """Guards against readers that keep others from asking for readiness."""

    def test_one_without_progress_is_closed_for_a_new_one(self):
        server = self.make_server(connections=1)
        _, old = self.connect(server)
        self.now += 2 * MIN_STALL_SECONDS
        _, new = self.connect(server)
        self.assertEqual((True, False), (old.closed, new.closed))
        self.assertEqual([CONNECTION_BYTES, 1], [share.used for share in self.shares])

    def test_the_busiest_is_closed_if_all_progress(self):
        async def scenario():
            server = self.make_server(connections=2)
            clients = [self.connect(server) for _ in range(2)]
            for (connection, _), count in zip(clients, (1, MANY_ANSWERS), strict=True):
                self.send(connection, REQUEST * count)
            await self.run_turns()
            _, new = self.connect(server)
            return [transport.closed for _, transport in clients], new.closed

        self.assertEqual(([False, True], False), self.run_loop(scenario()))

    def test_a_new_one_is_refused_if_all_progress_and_ask_little(self):
        async def scenario():
            server = self.make_server(connections=1)
            connection, old = self.connect(server)
            self.send(connection, REQUEST)
            await self.run_turns()
            _, new = self.connect(server)
            return old.closed, new.closed

        self.assertEqual((False, True), self.run_loop(scenario()))
