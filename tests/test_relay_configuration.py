"""Configurations with unreadable parts, of which the readable parts take effect."""

import asyncio

import msgpack
import orjson

from damaskramp.relay.messages import Kind
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route

BROKEN = {
    **configuration(
        7,
        [
            route("svc", "/"),
            route("svc", "/resumable/", kind="resumable"),
            route(7, "/nowhere/"),
            route("svc", "/upload/", kind="upload"),
        ],
        {
            # key-2 is withdrawn.
            "clubs": {"api-keys": ["key-1"], "rate-per-s": 0, "burst": 0},
            "rooms": {"api-keys": ["key-3"], "rate-per-s": "many", "burst": 0},
        },
    ),
    "later": {"unknown": True},
}


class TestPartlyUnreadable(RelayTestCase):
    def test_readable_parts_are_served_and_a_withdrawn_key_is_refused(self):
        async def scenario(fleet):
            fleet.store.put("op/config", BROKEN)
            await fleet.until(
                lambda: all(n._fleet_view.version == 7 for n in fleet.nodes)
            )
            got = {
                "plain": await fleet.ask("/a"),
                "unknown kind": await fleet.ask("/resumable/a", method="POST"),
                "upload": await fleet.ask("/upload/a", method="POST", body=b"x" * 9000),
                "broken route": await fleet.ask("/nowhere/a"),
                "broken team": await fleet.ask("/a", key="key-3"),
                "withdrawn": await fleet.ask("/a", key="key-2"),
                "no key": await fleet.ask("/a", key=""),
            }
            counted = fleet.counters[0].values[("configuration_findings", "")]
            return got, counted, fleet.nodes[0]._pages.status()

        got, counted, (_, page) = self.run_scenario(scenario)
        statuses = {name: answer[0] for name, answer in got.items()}
        self.assertEqual(
            {
                "plain": 200,
                "unknown kind": 200,
                "upload": 200,
                "broken route": 503,
                "broken team": 503,
                "withdrawn": 401,
                "no key": 401,
            },
            statuses,
        )
        self.assertIn(b"configuration_unreadable", got["broken route"][2])
        self.assertIn(b"Retry-After", got["broken team"][1])
        self.assertEqual(3, counted)
        shown = orjson.loads(page)["findings"]
        self.assertIn("routes.r-2.service", " ".join(shown))

    def test_request_of_unknown_kind_is_not_retried(self):
        async def scenario(fleet):
            got = await fleet.ask("/resumable/a", method="POST")
            return got[0], sum(len(server.seen) for server in fleet.servers)

        reset_scripts = [lambda request: None, lambda request: None]
        got = self.run_scenario(scenario, ("svc", "svc"), BROKEN, scripts=reset_scripts)
        self.assertEqual((502, 1), got)

    def test_unmatched_request_is_unavailable_while_a_route_is_unreadable(self):
        async def scenario(fleet):
            return (await fleet.ask("/a"))[0], (await fleet.ask("/far/a"))[0]

        routes = [route("svc", "/near/"), {**route("svc", "/far/"), "host": 7}]
        config = configuration(1, routes, CLUBS)
        self.assertEqual((503, 503), self.run_scenario(scenario, config=config))


class TestUnreadable(RelayTestCase):
    def test_keys_expire_while_the_newest_document_is_unreadable(self):
        async def scenario(fleet):
            fleet.store.put("op/config", b'{"version": "next"}')
            fleet_view = fleet.nodes[0]._fleet_view
            await fleet.until(lambda: not fleet_view.keys_usable)
            refused = (await fleet.ask("/a"))[0]
            fleet.store.put("op/config", BROKEN)
            await fleet.until(
                lambda: fleet_view.version == 7 and fleet_view.keys_usable
            )
            return refused, (await fleet.ask("/a"))[0]

        self.assertEqual((503, 200), self.run_scenario(scenario, revoke_seconds=3.0))

    def test_malformed_store_answers_do_not_end_the_watch(self):
        async def scenario(fleet):
            fleet_view = fleet.nodes[0]._fleet_view
            answer = fleet.store._answer
            malformed = [
                {"events": 7},
                {"events": [7]},
                {"events": [{"key": 7, "revision": 9}]},
                {"events": [{"key": "servers/x", "value": 7, "revision": "9"}]},
                {"events": [None], "store-revision": None},
            ]
            sent = []

            def answer_malformed(body):
                if malformed:
                    sent.append(malformed.pop())
                    return answer(sent[-1])
                return answer(body)

            fleet.store._answer = answer_malformed
            await fleet.until(lambda: not malformed)
            fleet.store.put("op/config", configuration(9, [route("svc", "/")], CLUBS))
            await fleet.until(lambda: fleet_view.version == 9)
            return (await fleet.ask("/a"))[0]

        self.assertEqual(200, self.run_scenario(scenario))

    def test_malformed_frames_of_a_peer_close_only_its_link(self):
        frames = [
            b"\xc1",
            b"\xdd\xff\xff\xff\xff",
            msgpack.packb(7),
            msgpack.packb([]),
            msgpack.packb([Kind.CALL]),
            msgpack.packb([Kind.CALL, *[None] * 15]),
            msgpack.packb([Kind.PING]),
            msgpack.packb([Kind.PING, 0, 7, "x", [], None]),
            msgpack.packb([Kind.PING, 0, "127.0.0.1", 1, "x", 2, False]),
            msgpack.packb([Kind.PING, 0, "127.0.0.1", 1, 0, "x", False]),
            msgpack.packb([Kind.PING, 0, 7, 1, 0, 0, None]),
            msgpack.packb([Kind.UPDATE, 9, b"no document", [], []]),
            msgpack.packb([Kind.UPDATE, 0, b"", [["i-9", "svc", 7, 7, 7]], []]),
            msgpack.packb([Kind.UPDATE, 0, b"", [], [[7, "x"]]]),
            msgpack.packb([Kind.UPDATE, 0, b"", [], [["i-0", None]]]),
            msgpack.packb([Kind.UPDATE, 0, b"", [], [["i-0", "x", 0, 0, 0]]]),
            msgpack.packb([Kind.BORROW, 1, "clubs", "x", None]),
            msgpack.packb([Kind.GIVE_BACK, ["x"], "y"]),
            msgpack.packb([Kind.CANCEL, {}]),
        ]

        async def scenario(fleet):
            for frame in frames:
                _, writer = await asyncio.open_connection(fleet.host(0), 8102)
                writer.write(frame)
                await asyncio.sleep(0.02)
                writer.close()
                self.assertEqual(200, (await fleet.ask("/a"))[0], frame)
            fleet_view = fleet.nodes[0]._fleet_view
            before = fleet_view.freshness._proved_at
            await fleet.until(lambda: fleet_view.freshness._proved_at > before)
            listed = [server.id for server in fleet_view.directory.servers]
            peers = fleet.nodes[0]._peers.hosts.introduced
            return listed, fleet_view.version, {type(host) for host in peers} - {str}

        self.assertEqual((["i-0"], 1, set()), self.run_scenario(scenario))
