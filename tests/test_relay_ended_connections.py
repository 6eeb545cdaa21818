"""Memory of connections and links that have ended."""

import asyncio
import gc
import weakref
from collections import Counter
from unittest import mock

from damaskramp.relay.caller_connection import CallerConnection
from damaskramp.relay.caller_reader import RequestReader
from damaskramp.relay.incoming_link import IncomingLink
from damaskramp.relay.peer_link import PeerLink
from damaskramp.relay.server_connection import ServerConnection
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route

FAR = configuration(1, [route("far", "/")], CLUBS)
ENDS = 5


class TestEndedConnections(RelayTestCase):
    """The collector runs rarely, and never for objects that it has met a few times.

    Connections and links that ended would stay until then, some kilobytes each.
    """

    def count_after(self, scenario):
        """Count the objects of ended connections, without the open ones."""

        async def run(fleet):
            await fleet.ask("/a")
            await scenario(fleet)
            await asyncio.sleep(0.2)
            found = Counter(type(one) for one in gc.get_objects())
            for node in fleet.nodes:
                found[PeerLink] -= len(node._peers.links.by_host)
                found[IncomingLink] -= len(node._links.links)
            kinds = (CallerConnection, RequestReader, PeerLink, IncomingLink)
            return {kind.__name__: found[kind] for kind in kinds if found[kind]}

        gc.collect()
        gc.disable()
        try:
            return self.run_scenario(run, ("svc", "far"), FAR)
        finally:
            gc.enable()

    def test_callers_connections(self):
        async def scenario(fleet):
            for _ in range(ENDS):
                await fleet.ask("/a")
                _, writer = await fleet.connect(0)
                writer.write(b"GET /a HTTP/1.1\r\n")
                await asyncio.sleep(0.01)
                writer.transport.abort()

        self.assertEqual({}, self.count_after(scenario))

    def test_connections_that_the_server_refuses(self):
        """uvloop makes the protocol of a connection before it is refused."""
        gc.disable()
        try:
            connection = weakref.ref(ServerConnection(mock.Mock()))
            self.assertIsNone(connection())
        finally:
            gc.enable()

    def test_links(self):
        async def scenario(fleet):
            for _ in range(ENDS):
                for node in fleet.nodes:
                    node._links.abort()
                await asyncio.sleep(0.1)
                await fleet.ask("/a")

        self.assertEqual({}, self.count_after(scenario))
