"""Requests that kill the backend server that runs them, with real processes."""

import asyncio

from tests.fleets import LONG_TIMES, FleetTestCase, bundle, desk_and_boards, send

BOARDS = 4
HOSTS = [f"board-{number}" for number in range(1, BOARDS + 1)]
MAX_DEATHS = 2
"""Backend servers that one poison request may kill; see docs/design/quarantine.md."""

REASON = b"damaskramp-reason"
OUTCOME = b"damaskramp-outcome"


class PoisonTestCase(FleetTestCase):
    HOSTS = desk_and_boards(BOARDS, LONG_TIMES, service_ms=300)
    BUNDLE = bundle(head="retries = 2\nretry_ratio = 1.0")

    def dead(self):
        return [h for h in HOSTS if not self.fleet.backend_process(h).running]

    def restart_dead(self):
        """Restart the backend servers that died and return the number of deaths."""
        dead = self.dead()
        for host in dead:
            self.fleet.start_backend(host)
        for host in dead:
            self.eventually(lambda host=host: self.answers(host))
        return len(dead)

    def answers(self, host):
        try:
            self.fleet.records(host)
        except OSError:
            return False
        return True

    def send_poison(self, target, body):
        answer = self.call("desk-1", target, method="POST", body=body)
        return answer, self.restart_dead()


class TestPoison(PoisonTestCase):
    def test_repeats_under_new_ids(self):
        deaths = 0
        for _ in range(8):
            answer, died = self.send_poison("/board/ballots", b"poison one")
            deaths += died
        self.assertGreaterEqual(deaths, 1)
        self.assertLessEqual(deaths, MAX_DEATHS)
        self.assertEqual(422, answer.status)
        self.assertEqual(b"quarantined", answer.value(REASON))
        # The id was issued for this request, which was refused at once.
        self.assertEqual(b"not-run", answer.value(OUTCOME))

    def test_repeats_through_all_nodes_of_a_zone(self):
        # Only the three nodes of zone z1; the nodes of z2 count deaths separately.
        nodes = [spec.host for spec in self.HOSTS if spec.zone == "z1"]
        deaths = 0
        for number in range(8):
            host = nodes[number % len(nodes)]
            self.call(host, "/board/ballots", method="POST", body=b"poison six")
            deaths += self.restart_dead()
            if deaths == 1:
                self.eventually(lambda: all(map(self.suspects, nodes)))
        self.assertLessEqual(deaths, 2 * MAX_DEATHS)

    def suspects(self, host):
        counts = self.fleet.status(host)["quarantine"]
        return counts["suspects"] + counts["quarantined"] > 0

    def test_retries_by_the_node(self):
        answer, deaths = self.send_poison("/board/notes", b"poison two")
        self.assertLessEqual(deaths, MAX_DEATHS)
        self.assertEqual(b"unknown", answer.value(OUTCOME))
        answer, deaths = self.send_poison("/board/notes", b"poison two")
        self.assertEqual(b"unknown" if deaths else b"not-run", answer.value(OUTCOME))

    def test_repeat_under_the_same_id_is_never_reported_as_not_run(self):
        header = ((b"idempotency-key", b"ballot-7"),)
        outcomes = set()
        for _ in range(4):
            answer = self.call(
                "desk-1",
                "/board/ballots",
                method="POST",
                body=b"poison three",
                headers=header,
            )
            self.restart_dead()
            outcomes.add(answer.value(OUTCOME))
        self.assertEqual({b"unknown"}, outcomes)

    def test_other_requests_of_the_team_are_served(self):
        for _ in range(3):
            self.send_poison("/board/ballots", b"poison four")
        answer, _ = self.send_poison("/board/ballots", b"sound")
        self.assertEqual(200, answer.status)

    def test_concurrent_requests_succeed(self):
        address = self.fleet.http("desk-1")

        async def load():
            concurrent = [
                asyncio.ensure_future(
                    send(address, "/board/n", method="POST", body=b"%d" % number)
                )
                for number in range(12)
            ]
            await asyncio.sleep(0.15)
            await send(address, "/board/ballots", method="POST", body=b"poison five")
            return await asyncio.gather(*concurrent)

        # First attempts add to the retry budget that the concurrent requests need.
        for number in range(12):
            self.call("desk-1", f"/board/earn/{number}")
        answers = self.run_loop(load())
        self.assertLessEqual(1, self.restart_dead())
        self.assertEqual([200] * 12, [answer.status for answer in answers])
