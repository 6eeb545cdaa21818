"""The store comes back from a copy: its revisions go back and are given out again."""

import asyncio

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route
from tests.test_relay_restarts import without_second_key

NOTHING_LISTENS = "127.0.0.1:9"
"""Address of a store that can't be reached."""


def prefixes(fleet_view):
    """Return the path prefixes that are in force on a node."""
    return {route.prefix for route in fleet_view.configuration.routes}


class RestoreTestCase(RelayTestCase):
    """Test case whose store has lost many changes that a copy lacks."""

    SERVICES = ("svc", "svc", "svc")

    def run_restore(self, scenario, **options):
        return self.run_scenario(scenario, self.SERVICES, **options)

    def write_versions(self, fleet, versions):
        for version in versions:
            routes = [route("svc", "/"), route("svc", f"/v{version}/")]
            fleet.store.put("op/config", configuration(version, routes, CLUBS))

    async def until_everywhere(self, fleet, condition):
        for node in fleet.nodes:
            fleet_view = node._fleet_view
            await fleet.until(lambda view=fleet_view: condition(view))

    async def until_version(self, fleet, version):
        await self.until_everywhere(fleet, lambda view: view.version == version)

    async def start_without_store(self, fleet, n):
        """Restart a node so that it can only learn from other nodes."""
        await fleet.nodes[n].abort()
        await fleet.start_node(n, platform_address=NOTHING_LISTENS)
        fleet.nodes[n] = fleet.nodes.pop()
        await fleet.until(lambda: fleet.nodes[n].ready)

    async def runs_of(self, fleet, server, count=24):
        """Return how many of some new requests a server runs."""
        before = len(fleet.servers[server].seen)
        for number in range(count):
            entry = number % len(fleet.nodes)
            await fleet.ask("/a", n=entry, request_id=f"r{before}-{number}")
        return len(fleet.servers[server].seen) - before


class TestServers(RestoreTestCase):
    async def lose_a_join(self, fleet):
        """Lose the start of server 1, which every node knows, and many versions."""
        copy = fleet.store.copy()
        self.write_versions(fleet, range(2, 40))
        fleet.list_server(1, born=5000, sequence=1)
        await self.until_version(fleet, 39)
        await self.until_everywhere(
            fleet, lambda view: view.directory.find("i-1").started == 5000
        )
        fleet.store.restore(copy)
        self.write_versions(fleet, [39])

    def test_server_that_joined_before_the_restore_gets_nothing_once_it_leaves(self):
        async def scenario(fleet):
            await self.lose_a_join(fleet)
            fleet.list_server(1, born=5000, sequence=7)
            await asyncio.sleep(1.0)
            fleet.list_server(1, born=5000, sequence=8, state="draining")
            await asyncio.sleep(1.5)
            return await self.runs_of(fleet, 1)

        self.assertEqual(0, self.run_restore(scenario))

    def test_node_without_the_store_learns_of_the_leaving_server(self):
        async def scenario(fleet):
            await self.start_without_store(fleet, 1)
            await self.lose_a_join(fleet)
            fleet.list_server(1, born=5000, sequence=7, state="draining")
            await asyncio.sleep(2.0)
            return await self.runs_of(fleet, 1)

        self.assertEqual(0, self.run_restore(scenario))

    def test_removed_server_of_the_copy_gets_nothing(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_versions(fleet, range(2, 40))
            fleet.store.delete("servers/i-1")
            await self.until_everywhere(
                fleet, lambda view: not view.directory.is_listed("i-1")
            )
            fleet.store.restore(copy)
            self.write_versions(fleet, [39])
            await asyncio.sleep(1.0)
            return await self.runs_of(fleet, 1)

        self.assertEqual(0, self.run_restore(scenario))

    def test_leaving_server_of_the_lost_history_gets_nothing(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.list_server(1, sequence=4, state="draining")
            await self.until_everywhere(
                fleet, lambda view: view.directory.find("i-1").leaving
            )
            fleet.store.restore(copy)
            self.write_versions(fleet, range(2, 10))
            await asyncio.sleep(1.0)
            await fleet.nodes[2].abort()
            await fleet.start_node(2)
            fleet.nodes[2] = fleet.nodes.pop()
            await fleet.until(lambda: fleet.nodes[2].ready)
            await asyncio.sleep(1.0)
            return await self.runs_of(fleet, 1)

        self.assertEqual(0, self.run_restore(scenario))

    def test_server_that_the_copy_lacks_is_used_again_once_it_is_listed(self):
        async def scenario(fleet):
            fleet.store.delete("servers/i-1")
            await self.until_everywhere(
                fleet, lambda view: not view.directory.is_listed("i-1")
            )
            copy = fleet.store.copy()
            self.write_versions(fleet, range(2, 40))
            fleet.list_server(1, born=5000)
            await self.until_everywhere(
                fleet, lambda view: view.directory.is_listed("i-1")
            )
            fleet.store.restore(copy)
            self.write_versions(fleet, [39])
            await asyncio.sleep(3.0)
            left_out = await self.runs_of(fleet, 1)
            fleet.list_server(1, born=5000, sequence=9)
            # An idle fleet has no reason to use more than one server.
            for other in (0, 2):
                fleet.list_server(other, sequence=2, state="draining")
            await asyncio.sleep(1.0)
            return left_out, await self.runs_of(fleet, 1)

        self.assertEqual((0, 24), self.run_restore(scenario))


class TestMissedChanges(RestoreTestCase):
    def test_changes_below_the_known_revision_are_read(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_versions(fleet, range(2, 6))
            await self.until_version(fleet, 5)
            fleet.store.refusal_status = 503
            await asyncio.sleep(0.3)
            fleet.store.restore(copy)
            fleet.store.delete("servers/i-2")
            self.write_versions(fleet, [*range(2, 6), 6])
            self.assertGreater(fleet.store.revision, 8)
            fleet.store.refusal_status = 0
            await self.until_version(fleet, 6)
            await asyncio.sleep(4.0)
            listed = [
                {s.id for s in node._fleet_view.directory.servers}
                for node in fleet.nodes
            ]
            return listed, await self.runs_of(fleet, 2)

        self.assertEqual(([{"i-0", "i-1"}] * 3, 0), self.run_restore(scenario))

    def test_two_restores_in_a_row(self):
        async def scenario(fleet):
            first = fleet.store.copy()
            self.write_versions(fleet, range(2, 20))
            second = fleet.store.copy()
            self.write_versions(fleet, range(20, 40))
            fleet.list_server(1, born=5000)
            await self.until_version(fleet, 39)
            fleet.store.restore(second)
            self.write_versions(fleet, [39])
            fleet.store.restore(first)
            self.write_versions(fleet, [39])
            fleet.list_server(1, born=5000, sequence=2, state="draining")
            fleet.list_server(0, sequence=2, state="draining")
            self.write_versions(fleet, [41])
            await self.until_version(fleet, 41)
            await asyncio.sleep(1.0)
            return await self.runs_of(fleet, 0), await self.runs_of(fleet, 1)

        self.assertEqual((0, 0), self.run_restore(scenario))


class TestConfiguration(RestoreTestCase):
    async def withdraw_key_and_lose_it(self, fleet):
        copy = fleet.store.copy()
        fleet.store.put("op/config", without_second_key(5))
        await self.until_version(fleet, 5)
        fleet.store.restore(copy)

    async def statuses(self, fleet, n, key, seconds=2.0):
        """Return the statuses of requests with a key during some seconds."""
        statuses = set()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            try:
                answer = await fleet.ask("/a", n=n, key=key)
                statuses.add(answer[0])
            except (ConnectionError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.005)
        return statuses

    def test_key_withdrawn_in_the_lost_history_stays_withdrawn(self):
        async def scenario(fleet):
            await self.withdraw_key_and_lose_it(fleet)
            return await self.statuses(fleet, 0, "key-2")

        self.assertNotIn(200, self.run_restore(scenario))

    def test_node_that_starts_on_the_copy_honours_no_withdrawn_key(self):
        async def scenario(fleet):
            await self.withdraw_key_and_lose_it(fleet)
            await fleet.nodes[2].abort()
            await fleet.start_node(2)
            return await self.statuses(fleet, 2, "key-2")

        self.assertNotIn(200, self.run_restore(scenario))

    def test_store_that_lags_behind_proves_nothing(self):
        async def scenario(fleet):
            await self.withdraw_key_and_lose_it(fleet)
            await asyncio.sleep(0.3)
            asked_at = fleet.nodes[0]._fleet_view.freshness.now
            await asyncio.sleep(2.5)
            ages = [node._fleet_view.freshness.age for node in fleet.nodes]
            now = fleet.nodes[0]._fleet_view.freshness.now
            lagging = [age > now - asked_at for age in ages]
            fleet.store.put("op/config", without_second_key(5))
            await fleet.until(lambda: all(node.ready for node in fleet.nodes))
            return lagging, await self.statuses(fleet, 0, "key-1", 0.2)

        self.assertEqual(([True] * 3, {200}), self.run_restore(scenario))


class TestEpochValues(RestoreTestCase):
    VALUES = (
        [],
        [b""],
        [b"-1"],
        [b"nan"],
        [b"1e9"],
        [b"\xff\xfe"],
        [b"9" * 400],
        [b"999999999999999999"],
        [b"2", b"3"],
        [b"0"],
        [b"7"],
    )

    def test_no_value_ends_a_process_or_the_reading_of_changes(self):
        async def scenario(fleet):
            await self.start_without_store(fleet, 2)
            version = 1
            for values in self.VALUES:
                fleet.store.eras = values
                version += 1
                self.write_versions(fleet, [version])
                await self.until_version(fleet, version)
                fleet.list_server(0, sequence=version, slots=version)
                await self.until_everywhere(
                    fleet,
                    lambda view, slots=version: (
                        view.directory.find("i-0").slots == slots
                    ),
                )
                self.assertEqual(200, (await fleet.ask("/a"))[0])
            return [prefixes(node._fleet_view) for node in fleet.nodes]

        expected = {"/", f"/v{1 + len(self.VALUES)}/"}
        self.assertEqual([expected] * 3, self.run_restore(scenario))
