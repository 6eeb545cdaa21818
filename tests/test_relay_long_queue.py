"""A long queue at a backend server that is refused at once.

Guards against a refusal by recursion, which loses the replies of all calls that wait
beyond the interpreter's depth.
"""

import asyncio
from collections import Counter

from damaskramp.core import Reason
from damaskramp.relay.messages import Call
from damaskramp.relay.outcome_sink import OutcomeSink
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, ok, route

WAITING = 1200
"""Calls that wait: several times what the interpreter's depth had room for."""

SLOTS = 40


class _Reply(OutcomeSink):
    def __init__(self, outcomes):
        self._outcomes = outcomes

    def answer_started(self):
        pass

    def answered(self, status, head, body, load):
        self._outcomes.append(status)

    def refused(self, reason, wait, arrived, load):
        self._outcomes.append(reason)

    def failed(self, reason, load):
        self._outcomes.append(("failed", reason))


def call(n):
    """Return an idempotent call for the first host with the request id ``qN``."""
    head = b"GET /a HTTP/1.1\r\nX-Request-Id: q%d\r\nX-Expected-Instance: i-0\r\n" % n
    return Call(
        number=n,
        server="i-0",
        request_id=b"q%d" % n,
        head=head,
        body=b"",
        head_only=False,
        idempotent=True,
        remaining=20.0,
        target=20.0,
        priority=2,
        is_call=True,
        route="r-0",
        key_digest=b"",
        fingerprint=0,
        repeat_share=0.0,
        fail_fast=False,
    )


class TestLongQueue(RelayTestCase):
    def refuse_queue(self, refuse):
        """Fill the queue, let it be refused, and return the counted outcomes."""

        async def held(request):
            await self._released.wait()
            return ok(request)

        async def scenario(fleet):
            self._released = asyncio.Event()
            fleet.list_server(0, slots=SLOTS)
            executor = fleet.nodes[0]._executor
            await fleet.until(lambda: fleet.nodes[0]._fleet_view.own_slots == SLOTS)
            outcomes = []
            for n in range(SLOTS + WAITING):
                executor.submit(call(n), _Reply(outcomes))
            running = executor.load.running
            waiting = executor.load.waiting
            await fleet.until(lambda: len(fleet.servers[0].seen) == running)
            await refuse(fleet)
            self._released.set()
            await fleet.until(lambda: executor.running == 0)
            return running, waiting, Counter(outcomes)

        config = configuration(1, [route("svc", "/", timeout="20s")], CLUBS)
        running, waiting, outcomes = self.run_scenario(
            scenario, config=config, scripts=[held]
        )
        self.assertGreater(waiting, 1000)
        self.assertEqual(SLOTS + WAITING, outcomes.total())
        self.assertEqual(running, outcomes[200])
        self.assertGreaterEqual(outcomes[Reason.BACKEND_SERVER_LEAVING], waiting)

    def test_queue_is_refused_by_a_node_that_stops(self):
        async def stop(fleet):
            fleet.nodes[0]._executor.leaving = True

        self.refuse_queue(stop)

    def test_queue_is_refused_for_a_server_that_is_leaving(self):
        async def leave(fleet):
            fleet.list_server(0, state="draining", slots=SLOTS)
            view = fleet.nodes[0]._fleet_view
            await fleet.until(lambda: view.own_server.leaving)

        self.refuse_queue(leave)
