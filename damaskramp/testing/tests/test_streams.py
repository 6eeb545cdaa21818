"""Tests of the stream server for tests."""

import asyncio

from damaskramp.testing import LoopTestCase, StreamServer

HOST = "127.0.0.1"


class TestStreamServer(LoopTestCase):
    def test_stop_ends_connections_that_the_handler_keeps(self):
        async def run():
            async def keep(reader, writer):
                await asyncio.sleep(3600)

            server = StreamServer(keep)
            await server.start(HOST)
            reader, writer = await asyncio.open_connection(HOST, server.port)
            while not server.writers:
                await asyncio.sleep(0)
            kept = list(server.writers)
            server.stop()
            try:
                async with asyncio.timeout(5.0):
                    ended = await reader.read() == b""
            except ConnectionError:
                ended = True
            writer.close()
            return ended, [one.is_closing() for one in kept]

        self.assertEqual((True, [True]), self.run_loop(run()))

    def test_stop_ends_connections_whose_handler_has_not_begun(self):
        """A handler that is cancelled before its first step runs no clean-up."""

        async def run():
            begun = []

            async def serve(reader, writer):
                begun.append(writer)

            server = StreamServer(serve)
            await server.start(HOST)
            _, writer = await asyncio.open_connection(HOST, server.port)
            accepted = []
            accept = server._accept

            def stop_at_once(reader, server_writer):
                accept(reader, server_writer)
                accepted.append(server_writer)
                server.stop()

            server._accept = stop_at_once
            await server.start(HOST)
            _, second = await asyncio.open_connection(HOST, server.port)
            while not accepted:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            for one in (writer, second):
                one.close()
            return accepted[0] in begun, accepted[0].is_closing()

        self.assertEqual((False, True), self.run_loop(run()))
