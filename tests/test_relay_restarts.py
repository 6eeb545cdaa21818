"""Restarts of a node: what had been withdrawn or had left is not used again."""

import asyncio

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route


def without_second_key(version):
    tenants = {"clubs": {**CLUBS["clubs"], "api-keys": ["key-1"]}}
    return configuration(version, [route("svc", "/")], tenants)


class TestRestart(RelayTestCase):
    SERVICES = ("svc", "svc", "svc")

    async def withdraw(self, fleet):
        """Take a key away and a server off the list, seen by all nodes."""
        fleet.store.put("op/config", without_second_key(5))
        fleet.list_server(2, state="draining")
        fleet.store.delete("servers/i-2")
        for node in fleet.nodes:
            fleet_view = node._fleet_view
            await fleet.until(lambda b=fleet_view: b.version == 5)
            await fleet.until(lambda b=fleet_view: len(b.directory.servers) == 2)

    async def ask_for_a_while(self, fleet, n):
        """Statuses with the withdrawn and with the kept key; runs of the server."""
        seen = len(fleet.servers[2].seen)
        withdrawn, kept = set(), set()
        for round_number in range(40):
            for key, statuses in (("key-2", withdrawn), ("key-1", kept)):
                request_id = f"{key}-{round_number}"
                got = await fleet.ask("/a", n=n, key=key, request_id=request_id)
                statuses.add(got[0])
            await asyncio.sleep(0.02)
        return withdrawn, kept, len(fleet.servers[2].seen) - seen

    def check_restart(self, refusal):
        """Restart a node while the store answers with a status; 0 for its answers."""

        async def scenario(fleet):
            await self.withdraw(fleet)
            fleet.store.refusal = refusal
            await fleet.nodes[0].abort()
            await fleet.start_node(0)
            return await self.ask_for_a_while(fleet, 0)

        withdrawn, kept, runs = self.play(scenario, self.SERVICES)
        self.assertNotIn(200, withdrawn)
        self.assertIn(200, kept)
        self.assertEqual(0, runs)

    def test_with_the_store(self):
        self.check_restart(refusal=0)

    def test_while_the_store_refuses_all(self):
        """The node learns from its peers, which hand on what has left as well."""
        self.check_restart(refusal=503)

    def test_peer_that_missed_the_news_does_not_bring_it_back(self):
        """What a node still believes that was cut off meanwhile."""

        async def scenario(fleet):
            behind = fleet.nodes[1]._fleet_view
            old = behind.configuration, behind.directory.servers
            await self.withdraw(fleet)
            configuration_before, servers_before = old
            await fleet.nodes[0].abort()
            await fleet.start_node(0)
            fleet_view = fleet.nodes[-1]._fleet_view
            await fleet.until(lambda: fleet_view.version == 5)
            fleet_view.adopt_configuration(configuration_before)
            fleet_view.directory.merge(servers_before)
            listed = {server.id for server in fleet_view.directory.servers}
            return fleet_view.version, listed, await self.ask_for_a_while(fleet, 0)

        version, listed, (withdrawn, _, runs) = self.play(scenario, self.SERVICES)
        self.assertEqual((5, 0), (version, runs))
        self.assertNotIn("i-2", listed)
        self.assertNotIn(200, withdrawn)
