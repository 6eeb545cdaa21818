"""Hosts of an evacuated zone: their requests, servers and pages."""

import asyncio
import contextlib
import time

import orjson

from damaskramp.http import HttpClient, HttpRequest
from tests.evacuation_fleet import EFFECT_SECONDS, EvacuationTestCase
from tests.relay_fleet import field, ok
from tests.test_relay_cold_servers import SETTINGS, ColdStandIn, cold_configuration


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
