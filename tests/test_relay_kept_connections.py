"""Connections of callers that are kept: order of answers, and reading after a pause."""

import asyncio

from damaskramp.testing import StreamServer
from tests.relay_fleet import RelayTestCase, field, ok, read_answer, request_bytes


def request(n, body=b""):
    return request_bytes("/a", "POST", body=body, request_id=f"q{n}")


class TestKeptConnections(RelayTestCase):
    def test_answers_keep_their_order_if_a_request_and_an_answer_come_together(self):
        """After a freeze of the process, both are read in one turn of its loop.

        Guards against a request that overtakes the one that waits behind the answer.
        """

        async def scenario(fleet):
            reader, writer = await fleet.connect()
            arrived, released = asyncio.Event(), asyncio.Event()

            async def serve(server_reader, server_writer):
                while True:
                    try:
                        head = await server_reader.readuntil(b"\r\n\r\n")
                    except (asyncio.IncompleteReadError, ConnectionError):
                        return
                    first = field(head, "x-request-id") == "q1"
                    if first:
                        arrived.set()
                        await released.wait()
                    server_writer.write(ok(head))
                    if first:
                        # The node finds the answer and this request at the same time.
                        writer.write(request(3))

            await fleet.servers[0].stop()
            host, _, port = fleet.address(0).rpartition(":")
            server = StreamServer(serve)
            await server.start(host, int(port))
            writer.write(request(1))
            await arrived.wait()
            writer.write(request(2))
            connection = next(iter(fleet.nodes[0]._listener.connections))
            await fleet.until(lambda: connection._pipelined)
            released.set()
            answers = [(await read_answer(reader))[1] for _ in range(3)]
            server.stop()
            return [field(head, "x-request-id") for head in answers]

        self.assertEqual(["q1", "q2", "q3"], self.run_scenario(scenario))

    def test_connection_is_read_after_a_request_that_came_without_memory(self):
        """The whole request is in one read, so nothing waits for memory afterwards."""

        async def scenario(fleet):
            listener = fleet.nodes[0]._listener
            shares = body_shares(listener)
            for share in shares:
                share.reserve_unchecked(share.limit)
            reader, writer = await fleet.connect()
            statuses = []
            for n in (1, 2):
                writer.write(request(n, b"seat=12"))
                statuses.append((await read_answer(reader))[0])
            for share in shares:
                share.release(share.limit)
            return statuses, [share.used for share in shares]

        statuses, used = self.run_scenario(scenario)
        self.assertEqual([200, 200], statuses)
        self.assertEqual({0}, set(used))


def body_shares(listener):
    account = listener._memory
    return account.bodies.share, account.small_bodies.share
