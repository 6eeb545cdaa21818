"""Repeats of calls that failed further below, by the rank of their chains.

Where all servers fail alike, a repeat is spent only on the most important chains.
"""

import itertools

from tests.relay_fleet import RelayTestCase, field, ok
from tests.test_relay_lineage import CONFIG

SERVICES = ("desk", "registry", "registry")


class TestRepeatsOfChains(RelayTestCase):
    def play(self, key, chain_control=True):
        """Ask the desk, whose call fails at the first server that it is sent to."""
        fleets, numbers = [], itertools.count()

        async def desk(request):
            stated = int(field(request, "x-timeout-ms")) - 1
            extra = f"X-Timeout-Ms: {stated}\r\n"
            answer = await fleets[0].ask("/registry/a", 0, key="", extra=extra)
            return ok(request, status=b"%d Answer" % answer[0])

        def registry(request):
            status = b"500 Broken" if next(numbers) == 0 else b"200 OK"
            return ok(request, status=status)

        async def scenario(fleet):
            fleets.append(fleet)
            node = fleet.nodes[0]
            if chain_control:
                node._forwarder.use_chain_control()
            now = node._forwarder.clock()
            servers = node._fleet_view.directory.of_service("registry")
            await fleet.until(lambda: len(node._peers.usable(servers)) == 2)
            # Both servers fail alike, so that neither is an outlier.
            for server in servers:
                for _ in range(20):
                    node._parts.selector.record_end(server, True)
            # A chain of rank 1 lately wanted a repeat at the same service.
            node._parts.retry_budget.decide("registry", now, 0, 1)
            answer = await fleet.ask("/desk/a", key=key, extra="X-Timeout-Ms: 2000\r\n")
            return answer[0], next(numbers)

        scripts = [desk, registry, registry]
        return self.run_scenario(scenario, SERVICES, config=CONFIG, scripts=scripts)

    def test_an_important_chain_is_repeated(self):
        self.assertEqual((200, 2), self.play("key-1"))

    def test_a_less_important_chain_is_not_repeated(self):
        """Repeats for all would use up the budget in vain."""
        self.assertEqual((500, 1), self.play("key-g"))

    def test_nothing_is_repeated_without_the_setting(self):
        self.assertEqual((500, 1), self.play("key-1", chain_control=False))
