"""Evacuations of zones through the store: who learns of them, and what is left."""

import asyncio

import orjson

from tests.evacuation_fleet import EvacuationTestCase
from tests.relay_fleet import CLUBS, configuration, field, route

NOTHING_LISTENS = "127.0.0.1:9"
"""Address of a store that can't be reached."""


class TestPropagation(EvacuationTestCase):
    def test_evacuated_zone_gets_nothing_until_the_key_is_deleted(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            without = await self.runs_by_zone(fleet)
            fleet.store.delete("op/evacuate/z1")
            await self.until_known(fleet)
            # An idle fleet has no reason to use more than one server.
            for n in (0, 2):
                fleet.list_server(n, state="draining", sequence=2)
            await asyncio.sleep(1.0)
            return without, await self.runs_by_zone(fleet)

        without, again = self.run_evacuation(scenario)
        self.assertEqual(({"z0": 24, "z1": 0}, {200}), without)
        self.assertEqual(({"z0": 0, "z1": 24}, {200}), again)

    def test_any_value_of_the_key_counts(self):
        async def scenario(fleet):
            fleet.store.put("op/evacuate/z1", b"\xff no JSON")
            await self.until_known(fleet, "z1")

        self.run_evacuation(scenario)

    def test_key_changes_nothing_without_the_setting(self):
        async def scenario(fleet):
            fleet.store.put("op/evacuate/z1", {})
            await asyncio.sleep(0.5)
            return await self.runs_by_zone(fleet)

        runs, statuses = self.run_evacuation(scenario, evacuation_seconds=None)
        self.assertGreater(runs["z1"], 0)
        self.assertEqual({200}, statuses)

    def test_snapshot_with_evacuations_makes_no_more_calls(self):
        """Calls to the store have a price."""

        async def scenario(fleet):
            source = fleet.nodes[0]._source
            before = fleet.counters[0].values[("store_calls", "")]
            await source.snapshot()
            return fleet.counters[0].values[("store_calls", "")] - before

        with_setting = self.run_evacuation(scenario)
        without = self.run_evacuation(scenario, evacuation_seconds=None)
        self.assertEqual(without, with_setting)

    def test_host_that_the_store_refuses_learns_from_its_peers(self):
        async def scenario(fleet):
            await self.restart(fleet, 3, platform_address=NOTHING_LISTENS)
            await fleet.until(lambda: fleet.nodes[3].ready)
            await self.evacuate(fleet, "z1")
            (change,) = fleet.nodes[3]._fleet_view.evacuations.in_force
            self.assertEqual("peer", change.source.value)
            fleet.store.delete("op/evacuate/z1")
            await self.until_known(fleet)

        self.run_evacuation(scenario)

    def test_node_is_not_ready_before_it_knows_the_evacuations(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            for address in (fleet.settings(3).platform_address, NOTHING_LISTENS):
                await fleet.nodes[3].abort()
                await fleet.start_node(3, platform_address=address)
                fleet.nodes[3] = fleet.nodes.pop()
                node = fleet.nodes[3]
                async with asyncio.timeout(20.0):
                    while not node.ready:
                        await asyncio.sleep(0)
                self.assertEqual({"z1"}, self.zones(node))

        self.run_evacuation(scenario)

    def test_node_whose_evacuations_are_unknown_is_not_ready_and_runs_nothing(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            unknown = type(node._fleet_view.evacuations)
            node._fleet_view.evacuations = unknown(node._fleet_view.evacuations._terms)
            self.assertFalse(node.ready)
            status, _, body = await fleet.ask("/a")
            return status, orjson.loads(body)["code"], len(fleet.servers[0].seen)

        found = self.run_evacuation(scenario, services=("svc",))
        self.assertEqual((503, "belief_too_old", 0), found)


class TestStore(EvacuationTestCase):
    def test_evacuation_and_its_end_survive_a_compaction(self):
        async def scenario(fleet):
            fleet.store.put("op/evacuate/z1", {})
            fleet.store.expire_history()
            await self.until_known(fleet, "z1")
            fleet.store.delete("op/evacuate/z1")
            fleet.store.expire_history()
            await self.until_known(fleet)

        self.run_evacuation(scenario)

    def test_evacuation_that_a_restored_store_lacks_stays_in_force(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await self.evacuate(fleet, "z1")
            fleet.store.restore(copy)
            await fleet.until(
                lambda: all(
                    node._fleet_view.evacuations.position.epoch == 2
                    for node in fleet.nodes
                )
            )
            await self.restart(fleet, 2)
            await fleet.until(lambda: fleet.nodes[2].ready)
            await self.until_known(fleet, "z1")
            runs, _ = await self.runs_by_zone(fleet)
            fleet.store.put("op/evacuate/z1", {})
            await asyncio.sleep(0.2)
            fleet.store.delete("op/evacuate/z1")
            await self.until_known(fleet)
            return runs

        self.assertEqual({"z0": 24, "z1": 0}, self.run_evacuation(scenario))

    def test_evacuation_written_after_a_restore_is_in_force(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            fleet.store.delete("op/evacuate/z1")
            await self.until_known(fleet)
            fleet.store.restore(({}, 1))
            fleet.store.put("op/config", configuration(1, [route("svc", "/")], CLUBS))
            for n, _ in enumerate(fleet.services):
                fleet.list_server(n, sequence=2)
            await self.evacuate(fleet, "z1")

        self.run_evacuation(scenario)


class TestNoServerLeft(EvacuationTestCase):
    def ask_refused(self, zones, services, **options):
        async def scenario(fleet):
            for zone in zones:
                fleet.store.put(f"op/evacuate/{zone}", {})
            await self.until_known(fleet, *zones)
            status, head, body = await fleet.ask("/a")
            seen = sum(len(server.seen) for server in fleet.servers)
            wait = float(field(head, "retry-after"))
            return status, orjson.loads(body)["code"], seen, wait

        *found, wait = self.run_evacuation(scenario, services=services, **options)
        self.assertGreater(wait, 0.0)
        return tuple(found)

    def test_only_zone_of_a_service(self):
        found = self.ask_refused(["z1"], ("other", "svc"))
        self.assertEqual((503, "zone_evacuated", 0), found)

    def test_all_zones(self):
        found = self.ask_refused(["z0", "z1"], ("svc", "svc"))
        self.assertEqual((503, "zone_evacuated", 0), found)

    def test_unknown_zone_changes_nothing(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "nowhere")
            return (await fleet.ask("/a"))[0]

        self.assertEqual(200, self.run_evacuation(scenario, services=("svc",)))
