"""Servers that state how long work takes on their hosts, through real nodes."""

from tests.relay_fleet import RelayTestCase, ok


def stating(figures):
    """Return a script of a server that states a load."""
    return lambda request: ok(request, extra=b"X-Server-Load: %b\r\n" % figures)


class TestPace(RelayTestCase):
    SERVICES = ("front", "svc", "front", "svc")

    def pace(self, fleet, n, server):
        """Pace of a server as a host knows it; 0 if it knows none."""
        finish = fleet.nodes[n]._forwarder.selector._finish
        record = finish._records.get(server)
        return record.pace if record is not None else 0.0

    def test_stated_pace_reaches_the_entry_node_and_others_by_gossip(self):
        async def scenario(fleet):
            async def ask_until(n, condition):
                number = 0
                while not condition():
                    number += 1
                    answer = await fleet.ask("/a", n=n, request_id=f"q{n}-{number}")
                    self.assertEqual(200, answer[0])

            def knows(n, server):
                return abs(self.pace(fleet, n, server) - 2.0) < 0.2

            # Host 1 sends its requests to its own server; its node states that load.
            await ask_until(1, lambda: knows(1, "i-1"))
            # Host 0 asks about the service as soon as one of its servers has answered.
            await ask_until(0, lambda: self.pace(fleet, 0, "i-1"))
            await ask_until(0, lambda: knows(0, "i-3") or knows(0, "i-1"))
            load = fleet.nodes[1]._executor.own_load()
            return load.pace, knows(0, "i-1")

        scripts = [stating(b"1,0,8,200")] * 4
        pace, known = self.run_scenario(scenario, self.SERVICES, scripts=scripts)
        self.assertAlmostEqual(2.0, pace, delta=0.1)
        self.assertTrue(known)

    def test_load_without_the_fourth_figure_or_unreadable_changes_nothing(self):
        async def scenario(fleet):
            for number in range(12):
                answer = await fleet.ask("/a", n=number % 4, request_id=f"q{number}")
                self.assertEqual(200, answer[0])
            known = [
                self.pace(fleet, n, f"i-{server}")
                for n in range(4)
                for server in (1, 3)
            ]
            loads = [node._executor.own_load().pace for node in fleet.nodes]
            sharing = [
                node._peers.exchange.load_sharing.ping_fields() for node in fleet.nodes
            ]
            return known, loads, sharing

        for figures in (b"1,0,8", b"1,0,8,much", b"", b"\xff\xff,,,"):
            found = self.run_scenario(
                scenario, self.SERVICES, scripts=[stating(figures)] * 4
            )
            self.assertEqual(([0.0] * 8, [0.0] * 4, [[[], []]] * 4), found)
