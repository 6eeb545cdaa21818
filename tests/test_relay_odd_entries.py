"""Entries of other writers among those of the backend servers.

An entry that can't be read names no server. The others hold, and the list is followed.
"""

import asyncio
import json

from tests.relay_fleet import RelayTestCase

NESTED = ("[" * 1000 + "]" * 1000, '{"a":' * 1000 + "1" + "}" * 1000)
NUMBERS = (str(2**64 - 1), str(2**64), "1e300", "9" * 400, "-1", "1e999")
OTHERS = ('"\\ud800"', "null", '"' + "x" * 100_000 + '"')
ADDRESSES = (
    "127.0.0.2:65536",
    "127.0.0.2:0",
    "127.0.0.2:-1",
    "127.0.0.2:" + "9" * 30,
    "127.0.0.2:",
    "127.0.0.2",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "[::1]:80",
    "host.example:80",
)
NAMES = ("", "i\r\nX-Tenant: other", "i\x00")
ENTRY = {
    "service": "svc",
    "address": "127.0.0.2:8105",
    "zone": "z0",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup-left": "0ms",
    "sequence": 1,
    "born": 1000,
}
FOLLOW_SECONDS = 1.0
"""Time, in seconds, within which a change must be followed: half of the shortest time
in which configurations have to be in force."""


def documents():
    """Yield a description and the document of each odd entry."""
    for field in ENTRY:
        for value in (*NESTED, *NUMBERS, *OTHERS):
            text = json.dumps({**ENTRY, field: "ODD"}).replace('"ODD"', value)
            yield f"{field}: {value[:20]}", text.encode()
    for address in ADDRESSES:
        yield address, json.dumps({**ENTRY, "address": address}).encode()
    for whole in (b"", b"\xff", NESTED[0].encode(), b"{" * 5000, b"null", b"7"):
        yield repr(whole[:9]), whole


class TestOddEntries(RelayTestCase):
    def test_list_is_followed_beside_each_odd_entry(self):
        """Guards against nodes that stop following the list, or end, for one entry."""

        async def scenario(fleet):
            node, counters = fleet.nodes[0], fleet.counters[0]
            view, bad = node._fleet_view, []
            for number, (name, document) in enumerate(documents()):
                fleet.store.put("servers/odd", document)
                fleet.list_server(0, slots=10 + number)
                slots = 10 + number
                if not await holds_soon(lambda slots=slots: view.own_slots == slots):
                    bad.append(name)
                fleet.store.delete("servers/odd")
                await fleet.until(lambda slots=slots: view.own_slots == slots)
            status = (await fleet.ask("/a"))[0]
            errors = {
                reason: count
                for (metric, reason), count in counters.values.items()
                # A poll may find a change before the watch does, which is no error of
                # an answer.
                if metric == "source_errors" and reason != "watch_behind"
            }
            return bad, status, errors, [task.done() for task in node._tasks]

        self.assertEqual(([], 200, {}, [False]), self.run_scenario(scenario))

    def test_new_node_reads_a_list_with_odd_entries(self):
        async def scenario(fleet):
            for number, (_, document) in enumerate(documents()):
                fleet.store.put(f"servers/odd-{number}", document)
            for name in NAMES:
                fleet.store.put(f"servers/{name}", ENTRY)
            await fleet.nodes[0].abort()
            await fleet.start_node(0)
            node = fleet.nodes[-1]
            await fleet.until(lambda: node.ready)
            listed = {one.id for one in node._fleet_view.directory.servers}
            return (await fleet.ask("/a"))[0], "i-0" in listed, listed & set(NAMES)

        self.assertEqual((200, True, set()), self.run_scenario(scenario))


async def holds_soon(condition):
    """Wait until a condition holds; return whether it does in time."""
    try:
        async with asyncio.timeout(FOLLOW_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)
    except TimeoutError:
        return False
    return True
