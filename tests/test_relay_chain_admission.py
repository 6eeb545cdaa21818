"""Refusal by real nodes at the top of a chain whose last service rejects requests."""

import asyncio

from tests.log_records import collected_records
from tests.relay_fleet import RelayTestCase, field, ok
from tests.test_relay_lineage import CHAIN, CONFIG


class TestChainAdmission(RelayTestCase):
    def play(self, chain_control):
        """Ask for a while with a healthy board, then while it rejects, then after."""
        fleets, rejects = [], [False]

        def calling(n, following):
            async def run(request):
                extra = f"X-Timeout-Ms: {int(field(request, 'x-timeout-ms')) - 3}\r\n"
                answer = await fleets[0].ask(following, n, key="", extra=extra)
                status = b"200 OK" if answer[0] == 200 else b"500 Broken"
                return ok(request, status=status)

            return run

        def board(request):
            if rejects[0]:
                extra = b"X-Not-Executed: 1\r\n"
                return ok(request, extra=extra, status=b"503 Busy")
            return ok(request)

        async def ask_for(fleet, seconds):
            loop, statuses = asyncio.get_running_loop(), []
            end = loop.time() + seconds
            while loop.time() < end:
                asked = [fleet.ask("/desk/a", key="key-g") for _ in range(2)]
                statuses += [answer[0] for answer in await asyncio.gather(*asked)]
                await asyncio.sleep(0.02)
            return statuses

        async def scenario(fleet):
            fleets.append(fleet)
            for node in fleet.nodes:
                # The limit on lines would leave out those that are looked for.
                node._forwarder.log._line_bucket._rate = 1e6
            if chain_control:
                for node in fleet.nodes:
                    node._forwarder.use_chain_control()
            healthy = await ask_for(fleet, 5.0)
            rejects[0] = True
            await ask_for(fleet, 1.0)
            begun = len(fleet.servers[0].seen)
            stressed = await ask_for(fleet, 2.0)
            run = len(fleet.servers[0].seen) - begun
            rejects[0] = False
            await asyncio.sleep(2.5)
            after = await ask_for(fleet, 0.5)
            return healthy, stressed, run, after

        scripts = [calling(0, "/registry/a"), calling(1, "/board/a"), board]
        options = {"config": CONFIG, "scripts": scripts}
        with collected_records() as records:
            return *self.run_scenario(scenario, CHAIN, **options), records

    def test_requests_are_refused_before_they_run_and_served_again_after(self):
        healthy, stressed, run, after, records = self.play(True)
        self.assertEqual({200}, set(healthy))
        self.assertGreater(stressed.count(503), 0.5 * len(stressed))
        self.assertEqual(run, len(stressed) - stressed.count(503))
        self.assertEqual({200}, set(after))
        refused = [
            record
            for record in records
            if record.msg in ("request refused", "call refused")
            and record.reason == "chain_stressed"
        ]
        self.assertTrue(refused)
        self.assertEqual({"board"}, {one.stressed_service for one in refused})
        outcomes = {one.outcome for one in refused if one.msg == "request refused"}
        self.assertEqual({"not-run"}, outcomes)

    def test_nothing_is_refused_without_the_setting(self):
        _, stressed, run, _, _ = self.play(False)
        self.assertEqual({500}, set(stressed))
        self.assertEqual(len(stressed), run)
