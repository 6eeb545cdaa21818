"""Home regions of routes and teams, which bind where their requests run."""

import asyncio

import orjson

from tests.evacuation_fleet import EvacuationTestCase
from tests.relay_fleet import CLUBS, configuration, field, route

REGIONS = {"z0": "north", "z1": "south"}


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
