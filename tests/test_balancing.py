"""Choice of backend servers by real nodes while the platform's list is out of date."""

import signal

from tests.fleets import FleetTestCase, desk_and_boards

NEAR = "board-2"
"""The only host of ``board`` in the zone of ``desk-1``."""


class TestBalancing(FleetTestCase):
    HOSTS = desk_and_boards(3)

    def started(self, host):
        return len(self.fleet.records(host)["started"])

    def statuses(self, count):
        return [self.call("desk-1", f"/board/{n}").status for n in range(count)]

    def ejected(self):
        return self.fleet.status("desk-1")["ejected"]

    def test_own_zone_is_preferred(self):
        before = self.started(NEAR)
        self.assertEqual([200] * 20, self.statuses(20))
        self.assertGreater(self.started(NEAR) - before, 10)

    def test_dead_backend_server_fails_no_request_and_is_readmitted(self):
        self.fleet.backend_process(NEAR).kill()
        self.assertEqual([200] * 20, self.statuses(20))
        self.assertEqual([NEAR], self.ejected())
        self.fleet.start_backend(NEAR)

        def is_readmitted():
            self.assertEqual([200], self.statuses(1))
            return not self.ejected() and self.started(NEAR) > 0

        self.eventually(is_readmitted)


class TestLeaving(FleetTestCase):
    HOSTS = desk_and_boards(3)

    def test_leaving_host_gets_no_new_requests_while_listed(self):
        # The fleet's platform continues to list every host as live.
        call = self.call
        self.assertEqual(200, call("desk-1", "/board/a").status)
        node = self.fleet.node(NEAR)
        node.send(signal.SIGTERM)
        statuses = {call("desk-1", f"/board/{n}").status for n in range(20)}
        self.eventually(lambda: not node.running)
        before = len(self.fleet.records(NEAR)["started"])
        statuses |= {call("desk-1", f"/board/{n}").status for n in range(20)}
        self.assertEqual({200}, statuses)
        self.assertEqual(before, len(self.fleet.records(NEAR)["started"]))
