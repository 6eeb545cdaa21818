"""Restarts of a node, which must not use withdrawn keys or removed servers again."""

import asyncio

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route


def without_second_key(version):
    tenants = {"clubs": {**CLUBS["clubs"], "api-keys": ["key-1"]}}
    return configuration(version, [route("svc", "/")], tenants)


class TestRestart(RelayTestCase):
    SERVICES = ("svc", "svc", "svc")

    async def withdraw_key_and_server(self, fleet):
        """Withdraw a key, remove a server and wait until all nodes know both."""
        fleet.store.put("op/config", without_second_key(5))
        fleet.list_server(2, state="draining")
        fleet.store.delete("servers/i-2")
        for node in fleet.nodes:
            fleet_view = node._fleet_view
            await fleet.until(lambda b=fleet_view: b.version == 5)
            await fleet.until(lambda b=fleet_view: len(b.directory.servers) == 2)

    async def ask_repeatedly(self, fleet, n):
        """Return the statuses of the withdrawn and valid key and the server's runs."""
        seen = len(fleet.servers[2].seen)
        withdrawn, kept = set(), set()
        for round_number in range(40):
            for key, statuses in (("key-2", withdrawn), ("key-1", kept)):
                request_id = f"{key}-{round_number}"
                got = await fleet.ask("/a", n=n, key=key, request_id=request_id)
                statuses.add(got[0])
            await asyncio.sleep(0.02)
        return withdrawn, kept, len(fleet.servers[2].seen) - seen

    def check_restart(self, refusal_status):
        """Restart a node while the store refuses with a status, or answers for 0."""

        async def scenario(fleet):
            await self.withdraw_key_and_server(fleet)
            fleet.store.refusal_status = refusal_status
            await fleet.nodes[0].abort()
            await fleet.start_node(0)
            return await self.ask_repeatedly(fleet, 0)

        withdrawn, kept, runs = self.run_scenario(scenario, self.SERVICES)
        self.assertNotIn(200, withdrawn)
        self.assertIn(200, kept)
        self.assertEqual(0, runs)

    def test_restart_with_the_store(self):
        self.check_restart(refusal_status=0)

    def test_restart_while_the_store_refuses_all_requests(self):
        """The node learns from its peers, which pass on removals as well."""
        self.check_restart(refusal_status=503)

    def test_stale_peer_does_not_restore_what_was_removed(self):
        """A peer that was cut off meanwhile may still send its stale fleet view."""

        async def scenario(fleet):
            stale_view = fleet.nodes[1]._fleet_view
            old = stale_view.configuration, stale_view.directory.servers
            await self.withdraw_key_and_server(fleet)
            configuration_before, servers_before = old
            await fleet.nodes[0].abort()
            await fleet.start_node(0)
            fleet_view = fleet.nodes[-1]._fleet_view
            await fleet.until(lambda: fleet_view.version == 5)
            fleet_view.adopt_configuration(configuration_before)
            fleet_view.directory.merge(servers_before)
            listed = {server.id for server in fleet_view.directory.servers}
            return fleet_view.version, listed, await self.ask_repeatedly(fleet, 0)

        version, listed, (withdrawn, _, runs) = self.run_scenario(
            scenario, self.SERVICES
        )
        self.assertEqual((5, 0), (version, runs))
        self.assertNotIn("i-2", listed)
        self.assertNotIn(200, withdrawn)
