"""Servers that fall silent in the middle of an answer that has been handed on."""

import asyncio

from damaskramp.testing import StreamServer
from tests.relay_bodies import FAR, MIB, SERVICES, LinkTestCase, memory_in_use, pattern
from tests.relay_fleet import ok, request_bytes

DEADLINE = "X-Timeout-Ms: 800\r\n"
END_SECONDS = 10.0
"""Time, in seconds, in which an answer must have ended. The server is silent for an
hour, and other bounds, as that of a body on a link, are 20 s and longer."""


class TestSilentAnswers(LinkTestCase):
    """The callers read without delay, and the nodes have no memory for a whole body."""

    def fetch(self, path, pauses, size=2 * MIB, n=0):
        """Return the bytes that a caller gets, and the calls that still run then.

        Parameters
        ----------
        pauses : list of float
            Pauses of the server in seconds, each before one of as many parts.
        """
        body = pattern(size)

        async def serve(reader, writer):
            answer = ok(await reader.readuntil(b"\r\n\r\n"), body)
            step = -(-len(answer) // len(pauses))
            for number, pause in enumerate(pauses):
                await asyncio.sleep(pause)
                writer.write(answer[number * step : (number + 1) * step])
            await reader.read()

        async def scenario(fleet):
            for node in fleet.nodes:
                node._executor._connections.memory.budget.resize(MIB)
            server = StreamServer(serve)
            await fleet.servers[n].stop()
            await server.start(fleet.host(n), 8105)
            reader, writer = await fleet.connect()
            writer.write(request_bytes(path, extra=DEADLINE + "Connection: close\r\n"))
            try:
                async with asyncio.timeout(END_SECONDS):
                    got = await self.read_to_end(reader)
                running = [node._executor.running for node in fleet.nodes]
                await fleet.until(lambda: memory_in_use(fleet) == [0, 0])
            finally:
                server.stop()
            return len(got.partition(b"\r\n\r\n")[2]), running

        return self.run_scenario(scenario, SERVICES, FAR)

    async def read_to_end(self, reader):
        got = b""
        try:
            while data := await reader.read(MIB):
                got += data
        except ConnectionError:
            pass
        return got

    def test_answer_of_the_own_server_ends_at_the_deadline(self):
        """Guards against callers, slots and memory that wait for a silent server."""
        received, running = self.fetch("/here/a", [0.0, 3600.0])
        self.assertLess(received, 2 * MIB)
        self.assertEqual([0, 0], running)

    def test_answer_of_another_hosts_server_ends_at_the_deadline(self):
        received, _ = self.fetch("/a", [0.0, 3600.0], n=1)
        self.assertLess(received, 2 * MIB)

    def test_answer_that_goes_on_after_the_deadline_is_delivered(self):
        for path, n in (("/here/a", 0), ("/a", 1)):
            received, _ = self.fetch(path, [0.0] + [0.15] * 10, n=n)
            self.assertEqual(2 * MIB, received, path)
