"""Buffers of links, without sockets."""

import tracemalloc

import msgpack
from testtools import TestCase

from damaskramp.core import ByteBudget
from damaskramp.relay.message_stream import BUFFER_BYTES, MessageStream

KIB = 1024

MAX_STREAM_BYTES = 100 * KIB
"""Bound on the memory of a link, in bytes. 50 KB of it are a stack of the unpacker that
is hardly used."""


class RecordingStream(MessageStream):
    def __init__(self):
        super().__init__(ByteBudget(16 * KIB * KIB))
        self.lengths = []

    def received(self, message):
        self.lengths.append(len(message[1]))


def feed(stream, data, step):
    for start in range(0, len(data), step):
        stream.data_received(data[start : start + step])


class MessageStreamTests(TestCase):
    def allocated(self, action):
        """Bytes that an action leaves allocated."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        kept = action()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return after - before

    def test_links_take_little_memory(self):
        """A node has two links for each of its peers, hundreds of them in all."""
        links = 50

        def use():
            streams = [RecordingStream() for _ in range(links)]
            for stream in streams:
                stream.send((1, b"x" * 300))
                for _ in range(300):
                    stream.data_received(msgpack.packb([1, b"x" * 300]))
            return streams

        use()
        self.assertLess(self.allocated(use), links * MAX_STREAM_BYTES)

    def test_read_may_end_anywhere_in_a_message_after_a_large_one(self):
        """Guards against links that are dropped, with all their calls.

        The buffer is replaced after a large message, and with it went the first bytes
        of the next one.
        """
        large = msgpack.packb([1, b"x" * 2 * BUFFER_BYTES])
        small = msgpack.packb([14, b"y" * 100_000])
        for size in (*range(1, 12), 1000):
            stream = RecordingStream()
            stream.data_received(large + small[:size])
            stream.data_received(small[size:] + msgpack.packb([1, b"z"]))
            self.assertEqual([2 * BUFFER_BYTES, 100_000, 1], stream.lengths, size)

    def test_buffer_of_a_large_message_is_dropped_after_it(self):
        """Each link that has carried a body or a document would keep a large buffer."""
        data = msgpack.packb([1, b"x" * 2048 * KIB])

        def use():
            stream = RecordingStream()
            feed(stream, data, 64 * KIB)
            self.assertEqual([2048 * KIB], stream.lengths)
            return stream

        use()
        self.assertLess(self.allocated(use), MAX_STREAM_BYTES)

    def test_no_message_is_lost_when_a_buffer_is_dropped(self):
        sizes = [10, 40 * KIB, 0, 100 * KIB, 5, 200 * KIB, 1, 15 * KIB, 16 * KIB] * 3
        data = b"".join(msgpack.packb([1, b"x" * size]) for size in sizes)
        for step in (1000, BUFFER_BYTES, 50 * KIB, 256 * KIB, len(data)):
            stream = RecordingStream()
            feed(stream, data, step)
            self.assertEqual(sizes, stream.lengths)
            self.assertEqual(0, stream._partial_memory.used)
