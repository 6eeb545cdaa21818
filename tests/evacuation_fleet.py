"""Hosts in two zones, one of which is evacuated."""

import asyncio

from tests.relay_fleet import RelayTestCase, field

__all__ = ["EFFECT_SECONDS", "EvacuationTestCase"]

EFFECT_SECONDS = 5.0
"""Stated bound, in seconds, on the time until an evacuation has taken effect."""


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
