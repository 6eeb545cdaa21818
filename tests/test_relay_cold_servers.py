"""Backend servers that tolerate few requests while they are cold.

In no second may a cold server get more requests than 1.5 times its tolerated rate and
8: from all hosts, over a restart of the server or of its node, and before its entry in
the store says that it has restarted.
"""

import asyncio
import time

from damaskramp.dispatch import Warmth
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, field, ok, route

RATE = 5.5
BOUND = 16.25
SETTINGS = {"warmup_overshoot": 1.5, "warmup_slack": 8.0}


class ColdStandIn:
    """Script of a server that counts arrivals and answers health checks."""

    def __init__(self, warmup=0.0, answers_health=True):
        self.arrivals = []
        self.checks = 0
        self._answers_health = answers_health
        self.start(warmup)

    def start(self, warmup):
        self._warm_at = time.monotonic() + warmup

    def __call__(self, request):
        if request.startswith(b"GET /health "):
            self.checks += 1
            if not self._answers_health:
                return None
            left = max(0.0, self._warm_at - time.monotonic())
            return (
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\n"
                b"X-Warmup-Ms: %d\r\nContent-Length: 0\r\n\r\n" % (left * 1000)
            )
        self.arrivals.append(time.monotonic())
        return ok(request)


def most_in_second(times):
    return max((sum(0 <= t - s <= 1.0 for t in times) for s in times), default=0)


def cold_configuration(warmup="3s", **fields):
    config = configuration(1, [route("svc", "/")], CLUBS)
    config["services"] = {
        "svc": {
            "warmup": warmup,
            "warmup-per-s": RATE,
            "health-path": "/health",
            **fields,
        }
    }
    return config


class TestColdServers(RelayTestCase):
    async def load(self, fleet, hosts, count, seconds):
        """Spread requests evenly over some seconds and hosts; return their statuses."""

        async def ask(number):
            await asyncio.sleep(seconds * number / count)
            host = hosts[number % len(hosts)]
            status, head, _ = await fleet.ask("/a", n=host, request_id=f"q{number}")
            return status, float(field(head, "retry-after") or 0)

        return await asyncio.gather(*(ask(number) for number in range(count)))

    def run_cold(
        self,
        scenario,
        server,
        entry=None,
        config=None,
        settings=SETTINGS,
        services=("svc", "other"),
        others=(None,),
    ):
        """Run a scenario with several nodes, of which the first has the cold server."""

        async def prepared(fleet):
            fleet.list_server(0, **(entry or {}))
            for node in fleet.nodes[:]:
                await node.abort()
            fleet.nodes.clear()
            fleet.counters.clear()
            for n in range(len(services)):
                await fleet.start_node(n, **settings)
            await fleet.until(lambda: all(node.ready for node in fleet.nodes))
            return await scenario(fleet)

        return self.run_scenario(
            prepared,
            services,
            config or cold_configuration(),
            scripts=[server, *others],
        )

    def test_burst_goes_to_the_warm_servers(self):
        # Each host learns from one refusal, and doesn't send a whole burst in vain.
        server, warm = ColdStandIn(30.0), ColdStandIn(0.0)

        async def scenario(fleet):
            await fleet.until(lambda: server.checks and warm.checks)
            await asyncio.sleep(1.2)
            answers = await self.load(fleet, [2], 100, 1.0)
            refused = [
                amount
                for (name, _), amount in fleet.counters[0].values.items()
                if name == "calls_refused"
            ]
            return answers, sum(refused)

        answers, refused = self.run_cold(
            scenario,
            server,
            {"warmup-left": "30s"},
            services=("svc", "svc", "other"),
            others=(warm, None),
        )
        self.assertEqual({200}, {status for status, _ in answers})
        # One refusal for each place that comes free in the second.
        self.assertLessEqual(refused, 6)
        self.assertLessEqual(most_in_second(server.arrivals), BOUND)

    def test_requests_wait_at_the_warm_server_while_the_cold_one_has_no_room(self):
        # Requests that came together, as after a halt of the process, were refused by
        # the warm server, which could have run them within milliseconds, and then by
        # the cold one.
        server, warm = ColdStandIn(30.0), ColdStandIn(0.0)

        def script(request):
            async def run():
                await asyncio.sleep(0.1)
                return ok(request)

            answer = warm(request)
            return run() if b"/slow " in request else answer

        async def scenario(fleet):
            warmup = fleet.nodes[1]._executor.warmup
            await fleet.until(lambda: server.checks and warmup.warmth is Warmth.WARM)
            await self.load(fleet, [2], 20, 0.2)
            return await asyncio.gather(
                *(fleet.ask("/slow", n=2, request_id=f"s{n}") for n in range(24))
            )

        answers = self.run_cold(
            scenario,
            server,
            {"warmup-left": "30s"},
            services=("svc", "svc", "other"),
            others=(script, None),
        )
        self.assertEqual({200}, {status for status, *_ in answers})

    def test_joining_server_stays_below_the_bound_and_is_used(self):
        server = ColdStandIn(60.0)

        async def scenario(fleet):
            return await self.load(fleet, [0, 1], 200, 2.5)

        answers = self.run_cold(scenario, server, {"warmup-left": "60s"})
        self.assertLessEqual(most_in_second(server.arrivals), BOUND)
        self.assertGreaterEqual(len(server.arrivals), 5)
        self.assertEqual({200, 503}, {status for status, _ in answers})

    def test_warm_server_is_not_limited(self):
        server = ColdStandIn(0.0)

        async def scenario(fleet):
            warmup = fleet.nodes[0]._executor.warmup
            await fleet.until(lambda: warmup.warmth is Warmth.WARM)
            return await self.load(fleet, [0, 1], 100, 1.0)

        answers = self.run_cold(scenario, server)
        self.assertEqual({200}, {status for status, _ in answers})

    def test_nothing_changes_without_settings(self):
        server = ColdStandIn(3.0)

        async def scenario(fleet):
            return await self.load(fleet, [0, 1], 60, 0.6)

        answers = self.run_cold(scenario, server, {"warmup-left": "3s"}, settings={})
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual(0, server.checks)

    def test_nothing_changes_without_a_tolerated_rate(self):
        server = ColdStandIn(3.0)

        async def scenario(fleet):
            return await self.load(fleet, [0, 1], 60, 0.6)

        answers = self.run_cold(
            scenario,
            server,
            {"warmup-left": "3s"},
            cold_configuration(**{"warmup-per-s": 0}),
        )
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual(0, server.checks)

    def test_server_that_restarts_before_its_entry_says_so(self):
        server = ColdStandIn(0.0)

        async def scenario(fleet):
            warmup = fleet.nodes[0]._executor.warmup
            await fleet.until(lambda: warmup.warmth is Warmth.WARM)
            await self.load(fleet, [0, 1], 10, 0.2)
            stand_in = fleet.servers[0]
            stand_in.abort()
            await asyncio.sleep(0.1)
            server.arrivals.clear()
            server.start(60.0)
            await stand_in.start(fleet.address(0))
            return await self.load(fleet, [0, 1], 150, 1.8)

        self.run_cold(scenario, server)
        self.assertGreater(len(server.arrivals), 0)
        self.assertLessEqual(most_in_second(server.arrivals), BOUND)

    def test_restarted_node_beside_a_cold_server(self):
        server = ColdStandIn(60.0)

        async def scenario(fleet):
            await self.load(fleet, [0, 1], 100, 2.0)
            before = len(server.arrivals)
            await fleet.nodes[0].abort()
            await fleet.start_node(0, **SETTINGS)
            await self.load(fleet, [1], 150, 2.5)
            return before, len(server.arrivals)

        before, after = self.run_cold(scenario, server, {"warmup-left": "60s"})
        self.assertGreater(before, 0)
        self.assertGreater(after, before)
        self.assertLessEqual(most_in_second(server.arrivals), BOUND)

    def test_server_without_health_answers_is_used_again(self):
        server = ColdStandIn(0.0, answers_health=False)

        async def scenario(fleet):
            warmup = fleet.nodes[0]._executor.warmup
            await fleet.until(lambda: server.checks)
            self.assertIs(Warmth.ASSUMED_COLD, warmup.warmth)
            await fleet.until(lambda: warmup.warmth is Warmth.WARM)
            # The rate grows for a second.
            await asyncio.sleep(1.2)
            return await self.load(fleet, [0], 40, 0.5)

        answers = self.run_cold(scenario, server, config=cold_configuration("4s"))
        self.assertEqual({200}, {status for status, _ in answers})

    def test_single_broken_connection_costs_a_warm_server_little(self):
        # Connections of a live server break at times; each break made the server cold
        # until a health check, and other hosts avoided it for a second.
        server = ColdStandIn(0.0)
        broken = []

        def script(request):
            if b"/break " in request:
                broken.append(request)
                return None
            return server(request)

        async def scenario(fleet):
            warmup = fleet.nodes[0]._executor.warmup
            await fleet.until(lambda: warmup.warmth is Warmth.WARM)
            await self.load(fleet, [0], 8, 0.0)
            checks = server.checks
            fleet.counters[0].values.clear()
            await fleet.ask("/once/break", n=0, method="POST", request_id="b1")
            await fleet.until(lambda: warmup.warmth is Warmth.WARM)
            assumed = fleet.counters[0].values[("cold_assumptions", "connection")]
            return assumed, server.checks - checks

        config = cold_configuration("60s")
        config["routes"]["r-1"] = route("svc", "/once/", kind="non_idempotent")
        assumed, checks = self.run_cold(scenario, script, config=config)
        self.assertEqual(1, len(broken))
        self.assertGreaterEqual(assumed, 1)
        self.assertEqual(0, checks)
