"""Planned and unplanned stops of nodes under load."""

import asyncio

from damaskramp.http import HttpClient, HttpRequest
from tests.fleets import KEY, LONG_TIMES, FleetTestCase, desk_and_boards

HEADERS = ((b"authorization", b"Bearer " + KEY),)


class _Caller:
    """Caller that sends requests on one connection until it is stopped."""

    PERIOD_SECONDS = 0.01

    def __init__(self, address: str, target: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port))
        self._request = HttpRequest("POST", target, HEADERS, b"{}")
        self.answers: list[str] = []
        self.stopped = False

    async def run(self) -> None:
        while not self.stopped:
            answer = await self._client.request(self._request, 15.0)
            if answer.is_error():
                self.answers.append(str(answer.error))
            else:
                self.answers.append(str(answer.ok.status))
            await asyncio.sleep(self.PERIOD_SECONDS)
        self._client.close()


class TestStops(FleetTestCase):
    HOSTS = desk_and_boards(3, LONG_TIMES)

    async def _restart_in_turn(self, callers: list[_Caller]) -> list[int]:
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        codes = []
        for number in (1, 2, 3):
            host = f"board-{number}"
            codes.append(await asyncio.to_thread(self.fleet.node(host).stop))
            await asyncio.to_thread(self.fleet.start_node, host)
            await asyncio.to_thread(self.fleet.wait_until_serving, [host])
            await asyncio.sleep(1.0)
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*tasks)
        return codes

    def test_rolling_restart_completes_all_requests(self):
        address = self.fleet.http("desk-1")
        callers = [_Caller(address, "/desk/x") for _ in range(4)]
        callers += [_Caller(address, "/board/ballots") for _ in range(4)]
        codes = self.run_loop(self._restart_in_turn(callers))
        self.assertEqual([0, 0, 0], codes)
        statuses = {answer for caller in callers for answer in caller.answers}
        self.assertEqual({"200"}, statuses)

    def test_connection_to_a_stopping_entry_node_ends_with_an_answer(self):
        async def call_during_stop() -> list[str]:
            caller = _Caller(self.fleet.http("board-1"), "/board/x")
            task = asyncio.create_task(caller.run())
            await asyncio.sleep(0.5)
            stop = asyncio.to_thread(self.fleet.node("board-1").stop)
            stopping = asyncio.create_task(stop)
            await asyncio.sleep(1.0)
            caller.stopped = True
            await task
            self.assertEqual(0, await stopping)
            return caller.answers

        answers = self.run_loop(call_during_stop())
        self.fleet.start_node("board-1")
        self.fleet.wait_until_serving(["board-1"])
        self.assertEqual({"200"}, set(answers))

    def test_killed_node_is_avoided(self):
        self.fleet.node("board-2").kill()
        statuses = []
        for _ in range(12):
            answer = self.call("desk-1", "/board/ballots", method="POST", body=b"1")
            statuses.append(answer.status)
        self.fleet.start_node("board-2")
        self.fleet.wait_until_serving(["board-2"])
        self.assertEqual([200] * 12, statuses)
