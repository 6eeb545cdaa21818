"""Memory and credits of bodies, without sockets."""

import asyncio

from damaskramp.core import ByteBudget, MemoryAccount
from damaskramp.relay.body_source import (
    READ_BYTES,
    WINDOW_BYTES,
    BytesBody,
    ReceivedBody,
)
from damaskramp.relay.body_transfer import LINK_WINDOW_BYTES, BodyReceiver, BodySender
from damaskramp.relay.growing_body import GrowingBody
from damaskramp.relay.incoming_upload import UploadBody
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.messages import FRAGMENT_BYTES, Kind
from damaskramp.testing import LoopTestCase

MIB = 1024 * 1024


class FakeStream:
    """Fake of a link that records what is sent on it."""

    def __init__(self):
        self.fragments = []
        self.messages = []

    def send_fragment(self, number, data):
        self.fragments.append((number, bytes(data)))

    def send(self, message):
        self.messages.append(message)


class BodySenderTests(LoopTestCase):
    def test_nothing_is_sent_without_a_grant(self):
        stream = FakeStream()
        sender = BodySender(stream)
        sender.start(1, BytesBody(b"x" * MIB), lambda number, complete: None)
        sender.handle_grant(0, [])
        self.assertEqual([], stream.fragments)

    def test_no_more_than_granted_and_the_whole_body_in_order(self):
        stream, ended = FakeStream(), []
        sender = BodySender(stream)
        data = bytes(range(250)) * 1000
        sender.start(1, BytesBody(data), lambda *end: ended.append(end))
        sender.handle_grant(0, [1, 100_000])
        self.assertEqual(data[:100_000], b"".join(d for _, d in stream.fragments))
        self.assertEqual([], ended)
        sender.handle_grant(100_000, [1, 150_000])
        self.assertEqual(data, b"".join(d for _, d in stream.fragments))
        self.assertEqual([(1, True)], ended)
        self.assertFalse(sender.is_idle)
        sender.handle_grant(150_000, [])
        self.assertTrue(sender.is_idle)

    def test_bytes_under_way_on_the_link_are_bounded(self):
        """Any other message would wait behind them."""
        stream = FakeStream()
        sender = BodySender(stream)
        for number in (1, 2, 3):
            sender.start(number, BytesBody(b"x" * MIB), lambda *end: None)
        sender.handle_grant(0, [1, MIB, 2, MIB, 3, MIB])
        sent = [len(data) for _, data in stream.fragments]
        self.assertEqual(LINK_WINDOW_BYTES, sum(sent))
        self.assertEqual(FRAGMENT_BYTES, max(sent))

    def test_bodies_take_turns(self):
        """A small body must not wait behind a large one."""
        stream, ended = FakeStream(), []
        sender = BodySender(stream)
        sender.start(1, BytesBody(b"x" * 64 * MIB), lambda *end: ended.append(end))
        sender.handle_grant(0, [1, 64 * MIB])
        sender.start(
            2, BytesBody(b"y" * 2 * FRAGMENT_BYTES), lambda *e: ended.append(e)
        )
        for _ in range(4):
            sender.handle_grant(FRAGMENT_BYTES, [2, FRAGMENT_BYTES])
        self.assertEqual([(2, True)], ended)

    def test_a_body_without_credit_holds_up_no_other(self):
        stream, ended = FakeStream(), []
        sender = BodySender(stream)
        sender.start(1, BytesBody(b"x" * MIB), lambda *end: ended.append(end))
        sender.start(2, BytesBody(b"y" * 1000), lambda *end: ended.append(end))
        sender.handle_grant(0, [2, 1000])
        self.assertEqual([(2, True)], ended)

    def test_source_that_breaks_is_never_sent_completely(self):
        async def scenario():
            stream, ended = FakeStream(), []
            sender = BodySender(stream)
            body = ReceivedBody(MemoryQueue(ByteBudget(MIB)), 2 * MIB)
            body.open()
            sender.start(1, body, lambda *end: ended.append(end))
            sender.handle_grant(0, [1, 2 * MIB])
            body.feed(b"x" * 1000)
            body.break_off()
            return ended, len(stream.fragments)

        self.assertEqual(([(1, False)], 1), self.run_loop(scenario()))


class ReceivedBodyTests(LoopTestCase):
    def test_whole_while_half_of_the_budget_has_room(self):
        budget = ByteBudget(4 * MIB)
        memory = MemoryQueue(budget)
        bodies = [ReceivedBody(memory, MIB) for _ in range(4)]
        for body in bodies:
            body.open()
        self.assertEqual([True, True, False, False], [b.is_whole for b in bodies])
        self.assertEqual(2 * MIB + 2 * WINDOW_BYTES, budget.used)

    def test_credits_never_exceed_reserved_memory_and_return_as_bytes_are_taken(self):
        budget, granted = ByteBudget(MIB), []
        body = ReceivedBody(MemoryQueue(budget), 3 * MIB)
        body.on_credit = granted.append
        body.open()
        received = taken = 0
        while taken < 3 * MIB:
            step = min(sum(granted) - received, 100_000)
            body.feed(b"x" * step)
            received += step
            taken += len(body.take(30_000))
            self.assertLessEqual(sum(granted) - taken, budget.used)
            self.assertLessEqual(budget.used, WINDOW_BYTES)
        self.assertEqual((3 * MIB, 0), (sum(granted), budget.used))

    def test_body_longer_than_stated_is_an_error(self):
        body = ReceivedBody(MemoryQueue(ByteBudget(MIB)), 100_000)
        body.open()
        body.feed(b"x" * 100_000)
        self.assertRaises(ValueError, body.feed, b"x")

    def end_body(self, end, size):
        """Return the bytes held, and how often the sender was told, after an end."""
        budget, closed = ByteBudget(4 * MIB), []
        body = ReceivedBody(MemoryQueue(budget), size)
        body.on_close = lambda: closed.append(1)
        body.open()
        body.feed(b"x" * 1000)
        body.take(500)
        end(body)
        body.close()
        return budget.used, len(closed)

    def test_every_end_releases_the_memory_once(self):
        for size in (MIB, 16 * MIB):
            self.assertEqual((0, 1), self.end_body(ReceivedBody.close, size))
            self.assertEqual((0, 0), self.end_body(ReceivedBody.break_off, size))

    def test_waits_for_memory_and_leaves_the_queue_when_closed(self):
        async def scenario():
            budget = ByteBudget(MIB)
            memory = MemoryQueue(budget)
            budget.reserve(MIB)
            first, second = ReceivedBody(memory, MIB), ReceivedBody(memory, MIB)
            first.open()
            second.open()
            states = [memory.waiting, first.is_ready]
            first.close()
            budget.release(MIB)
            await asyncio.sleep(0.05)
            return [*states, memory.waiting, second.is_ready, budget.used]

        self.assertEqual([2, False, 0, True, WINDOW_BYTES], self.run_loop(scenario()))


class GrowingBodyTests(LoopTestCase):
    def test_bodies_that_wait_never_wait_for_each_other(self):
        """Each has filled its first reservation, and none can be finished."""

        async def scenario():
            budget = ByteBudget(2 * MIB)
            memory = MemoryQueue(budget)
            bodies = [GrowingBody(memory, 32 * MIB) for _ in range(2)]
            for body in bodies:
                body.open()
            for body in bodies:
                while body.may_read and body.received <= MIB:
                    body.feed(b"x" * READ_BYTES)
            order = []
            for _ in bodies:
                await asyncio.sleep(0.05)
                running = next(b for b in bodies if b.may_read and not b.is_complete)
                running.feed(b"x" * READ_BYTES)
                running.finish()
                order.append(bodies.index(running))
                while running.take(MIB):
                    pass
            return sorted(order), budget.used

        self.assertEqual(([0, 1], 0), self.run_loop(scenario()))

    def test_memory_beyond_the_length_is_released_at_the_end(self):
        budget = ByteBudget(64 * MIB)
        body = GrowingBody(MemoryQueue(budget), 32 * MIB)
        body.open()
        for _ in range(8):
            body.feed(b"x" * READ_BYTES)
        body.finish()
        self.assertEqual((True, 2 * MIB), (body.is_ready, budget.used))

    def test_bytes_that_are_held_stay_reserved_when_the_account_is_exceeded(self):
        """Unread answers may exceed it; the body would be held beyond any limit."""
        account = MemoryAccount(4 * MIB)
        budget = account.share("bodies", 0, 4 * MIB)
        body = GrowingBody(MemoryQueue(budget), 32 * MIB)
        body.open()
        body.feed(b"x" * 100_000)
        account.share("answers", 0, 4 * MIB).reserve_unchecked(8 * MIB)
        body.finish()
        self.assertEqual(100_000, budget.used)
        body.take(MIB)
        self.assertEqual(0, budget.used)


class UploadBodyTests(LoopTestCase):
    def test_large_and_small_uploads_do_not_hold_each_other_up(self):
        async def scenario():
            budget = ByteBudget(MIB)
            memory = MemoryQueue(budget)
            grants = []

            def start(name, size):
                body = UploadBody(memory, size)
                body.on_credit = lambda credit: grants.append((name, credit))
                body.open()
                return body

            first = start("first", 64 * MIB)
            start("second", 64 * MIB)
            start("small", 100_000)
            await asyncio.sleep(0.05)
            before = list(grants)
            first.close()
            await asyncio.sleep(0.05)
            return before, grants[len(before) :]

        before, after = self.run_loop(scenario())
        self.assertEqual([("first", 64 * MIB), ("small", 100_000)], before)
        self.assertEqual([("second", 64 * MIB)], after)


class BodyReceiverTests(LoopTestCase):
    def test_fragments_of_a_cancelled_body_are_confirmed_and_skipped(self):
        """Else they would count as under way for ever."""

        async def scenario():
            stream = FakeStream()
            receiver = BodyReceiver(stream)
            budget = ByteBudget(4 * MIB)
            body = ReceivedBody(MemoryQueue(budget), MIB)
            receiver.open(1, body)
            body.open()
            await asyncio.sleep(0)
            receiver.receive(1, b"x" * 1000)
            body.close()
            receiver.close(1)
            receiver.receive(1, b"x" * 2000)
            await asyncio.sleep(0)
            return stream.messages, budget.used

        messages, used = self.run_loop(scenario())
        self.assertEqual([(Kind.GRANT, 0, [1, MIB]), (Kind.GRANT, 3000, [])], messages)
        self.assertEqual(0, used)
