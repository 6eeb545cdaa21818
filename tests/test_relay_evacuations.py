"""Evacuations of zones through the store, and home regions of routes and teams."""

import asyncio
import contextlib
import time

import orjson

from damaskramp.http import HttpClient, HttpRequest
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, field, ok, route
from tests.test_relay_cold_servers import SETTINGS, ColdStandIn, cold_configuration

NOTHING_LISTENS = "127.0.0.1:9"
"""Address of a store that can't be reached."""

EFFECT_SECONDS = 5.0
"""Stated bound, in seconds, on the time until an evacuation has taken effect."""

REGIONS = {"z0": "north", "z1": "south"}


class EvacuationTestCase(RelayTestCase):
    """Four hosts, of which the odd ones stand in zone z1."""

    SERVICES = ("svc", "svc", "svc", "svc")

    def run_evacuation(self, scenario, services=SERVICES, **options):
        options = {"evacuation_seconds": EFFECT_SECONDS, **options}
        return self.run_scenario(scenario, services, **options)

    def zones(self, node):
        return node._fleet_view.evacuations.zones

    async def until_known(self, fleet, *zones):
        async with asyncio.timeout(EFFECT_SECONDS):
            for node in fleet.nodes:
                while self.zones(node) != frozenset(zones):
                    await asyncio.sleep(0.01)

    async def evacuate(self, fleet, zone):
        fleet.store.put(f"op/evacuate/{zone}", {})
        await self.until_known(fleet, zone)

    async def restart(self, fleet, n, **changed):
        await fleet.nodes[n].abort()
        await fleet.start_node(n, **changed)
        fleet.nodes[n] = fleet.nodes.pop()
        fleet.counters[n] = fleet.counters.pop()

    async def runs_by_zone(self, fleet, count=24, **request):
        """Send requests from all hosts; return those run by zone, and the statuses.

        A request that a slow machine lets run twice in its zone counts once.
        """
        before = [len(server.seen) for server in fleet.servers]
        statuses = set()
        for number in range(count):
            entry = number % len(fleet.nodes)
            answer = await fleet.ask(
                "/a", n=entry, request_id=f"r{sum(before)}-{number}", **request
            )
            statuses.add(answer[0])
        found = {"z0": set(), "z1": set()}
        for n, _ in enumerate(fleet.services):
            seen = fleet.servers[n].seen[before[n] :]
            found[f"z{n % 2}"] |= {field(one, "x-request-id") for one in seen}
        return {zone: len(ids) for zone, ids in found.items()}, statuses


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


class TestExecutingNode(EvacuationTestCase):
    def forget_evacuations(self, node):
        """Let a node choose servers as if it had not learned of any evacuation."""
        node._fleet_view.evacuations = None
        node._forwarder.eligibility._evacuations = None

    def test_node_of_an_evacuated_zone_refuses_and_one_refusal_is_enough(self):
        """An entry node that knows nothing must not be refused by server after server.

        Host 1 stands in the evacuated zone and prefers the servers there.
        """

        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            self.forget_evacuations(fleet.nodes[1])
            answers = [
                await fleet.ask("/a", n=1, request_id=f"q{n}") for n in range(10)
            ]
            refused = sum(
                fleet.counters[n].values.get(("calls_refused", "zone_evacuated"), 0)
                for n in (1, 3)
            )
            runs = [len(fleet.servers[n].seen) for n in (1, 3)]
            return {answer[0] for answer in answers}, runs, refused

        # The own node has forgotten the evacuation as well, so host 3 has to refuse.
        statuses, runs, refused = self.run_evacuation(
            scenario, services=("svc", "other", "svc", "svc")
        )
        self.assertEqual(({200}, [0, 0]), (statuses, runs))
        self.assertGreater(refused, 0)
        self.assertLess(refused, 10)

    def test_running_request_ends_and_waiting_one_runs_elsewhere(self):
        async def scenario(fleet):
            for n in (0, 2):
                fleet.list_server(n, state="draining", sequence=2)
            fleet.list_server(1, slots=1, sequence=2)
            fleet.list_server(3, state="draining", sequence=2)
            await asyncio.sleep(0.5)
            running = asyncio.ensure_future(fleet.ask("/a", n=1, request_id="runs"))
            await fleet.until(lambda: fleet.servers[1].seen)
            waiting = asyncio.ensure_future(fleet.ask("/a", n=1, request_id="waits"))
            await asyncio.sleep(0.1)
            fleet.list_server(0, sequence=3)
            await self.evacuate(fleet, "z1")
            self.release.set()
            answers = await asyncio.gather(running, waiting)
            ids = [field(head, "x-request-id") for head in fleet.servers[1].seen]
            return [answer[0] for answer in answers], ids

        self.release = asyncio.Event()

        def hold(request):
            async def run():
                await self.release.wait()
                return ok(request)

            return run() if field(request, "x-request-id") == "runs" else ok(request)

        statuses, ids = self.run_evacuation(scenario, scripts=[hold] * 4)
        self.assertEqual(([200, 200], ["runs"]), (statuses, ids))

    def test_end_of_the_own_evacuation_is_reported_once(self):
        async def scenario(fleet):
            returned = []
            for n, node in enumerate(fleet.nodes):
                observer = node._parts.evacuation_observer
                observer.on_own_zone_returned = lambda n=n: returned.append(n)
            await self.evacuate(fleet, "z1")
            self.assertEqual([], returned)
            fleet.store.delete("op/evacuate/z1")
            await self.until_known(fleet)
            await asyncio.sleep(1.0)
            return sorted(returned)

        self.assertEqual([1, 3], self.run_evacuation(scenario))


class TestColdServers(EvacuationTestCase):
    """A server may be cold after its zone was evacuated."""

    def test_evacuated_server_gets_no_health_checks_and_is_checked_afterwards(self):
        server = ColdStandIn()

        async def scenario(fleet):
            await fleet.until(lambda: server.checks)
            await self.evacuate(fleet, "z0")
            await asyncio.sleep(0.2)
            before = server.checks
            warmup = fleet.nodes[0]._executor.warmup
            warmup.assume_cold(time.monotonic())
            await asyncio.sleep(1.5)
            during = server.checks - before
            fleet.store.delete("op/evacuate/z0")
            await self.until_known(fleet)
            await fleet.until(lambda: server.checks > before)
            reason = ("cold_assumptions", "requested")
            return during, fleet.counters[0].values.get(reason, 0)

        during, assumed = self.run_evacuation(
            scenario,
            services=("svc",),
            config=cold_configuration(),
            scripts=[server],
            **SETTINGS,
        )
        self.assertEqual(0, during)
        # Once by this test, and once because the evacuation has ended.
        self.assertEqual(2, assumed)


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


class TestHomeRegions(EvacuationTestCase):
    def config(self, route_homes=None, team_homes=None):
        fields = {} if route_homes is None else {"allowed-regions": route_homes}
        clubs = dict(CLUBS["clubs"])
        if team_homes is not None:
            clubs["allowed-regions"] = team_homes
        return configuration(1, [route("svc", "/", **fields)], {"clubs": clubs})

    def runs(self, route_homes=None, team_homes=None, **options):
        async def scenario(fleet):
            return await self.runs_by_zone(fleet, body=b"secret")

        config = self.config(route_homes, team_homes)
        options = {"zone_regions": REGIONS, **options}
        return self.run_evacuation(scenario, config=config, **options)

    def test_requests_stay_in_the_home_regions_of_the_route(self):
        self.assertEqual(({"z0": 24, "z1": 0}, {200}), self.runs(["north"]))

    def test_requests_stay_in_the_home_regions_of_the_team(self):
        runs = self.runs(team_homes=["south"], evacuation_seconds=None)
        self.assertEqual(({"z0": 0, "z1": 24}, {200}), runs)

    def test_both_bind_and_a_request_without_a_home_is_refused(self):
        self.assertEqual(
            ({"z0": 24, "z1": 0}, {200}), self.runs(["north", "south"], ["north"])
        )
        self.assertEqual(({"z0": 0, "z1": 0}, {503}), self.runs(["north"], ["south"]))

    def test_empty_list_allows_all_regions(self):
        runs, statuses = self.runs([], [])
        self.assertEqual({200}, statuses)
        self.assertGreater(min(runs.values()), 0)

    def test_unknown_regions_run_nothing(self):
        self.assertEqual(
            ({"z0": 0, "z1": 0}, {503}), self.runs(["north"], zone_regions={})
        )

    def test_executing_node_refuses_what_an_older_configuration_sent(self):
        async def scenario(fleet):
            fleet.nodes[0]._forwarder.eligibility._regions["z1"] = "north"
            fleet.list_server(0, state="draining", sequence=2)
            fleet.list_server(2, state="draining", sequence=2)
            await asyncio.sleep(0.5)
            status, _, body = await fleet.ask("/a")
            seen = [len(server.seen) for server in fleet.servers]
            return status, orjson.loads(body)["outcome"], sum(seen)

        found = self.run_evacuation(
            scenario, config=self.config(["north"]), zone_regions=REGIONS
        )
        self.assertEqual((503, "not-run", 0), found)

    def test_evacuated_home_is_refused_with_a_retry_after(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            status, head, body = await fleet.ask("/a")
            return status, orjson.loads(body)["code"], field(head, "retry-after")

        status, code, wait = self.run_evacuation(
            scenario, config=self.config(["south"]), zone_regions=REGIONS
        )
        self.assertEqual((503, "zone_evacuated"), (status, code))
        self.assertGreater(float(wait), 0.0)


class TestStatus(EvacuationTestCase):
    async def read(self, fleet, path):
        host, _, port = fleet.settings(0).metrics.rpartition(":")
        client = HttpClient(host, int(port))
        with contextlib.closing(client):
            answer = await client.request(HttpRequest("GET", path), 5.0)
        return answer.ok.body

    def test_age_and_source_are_shown(self):
        async def scenario(fleet):
            await self.evacuate(fleet, "z1")
            page = orjson.loads(await self.read(fleet, "/status"))
            metrics = (await self.read(fleet, "/metrics")).decode()
            return page["evacuations"], metrics

        (shown,), metrics = self.run_evacuation(scenario)
        self.assertEqual("z1", shown["zone"])
        self.assertIn(shown["source"], ("store", "peer"))
        self.assertLess(shown["age_seconds"], EFFECT_SECONDS)
        self.assertIn("damaskramp_evacuated_zones 1.0", metrics)
        self.assertIn("damaskramp_evacuations_total", metrics)

    def test_deployments_without_evacuations_show_none(self):
        async def scenario(fleet):
            page = orjson.loads(await self.read(fleet, "/status"))
            metrics = (await self.read(fleet, "/metrics")).decode()
            return page, metrics

        page, metrics = self.run_evacuation(scenario, evacuation_seconds=None)
        self.assertNotIn("evacuations", page)
        self.assertNotIn("evacuat", metrics)
