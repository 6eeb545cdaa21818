"""Fleet views: their maximum age, updates from peers, links between nodes."""

import asyncio
import time
from dataclasses import replace
from unittest.mock import Mock

from damaskramp.core import ByteBudget
from damaskramp.relay.link_gate import SILENT_SECONDS
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.peer_link import LinkState, PeerLink
from damaskramp.relay.peer_links import PROBES_PER_CHECK
from damaskramp.testing import StreamServer
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, ok, route


def without_second_key(version):
    tenants = {"clubs": {**CLUBS["clubs"], "api-keys": ["key-1"]}}
    return configuration(version, [route("svc", "/")], tenants)


class TestKeys(RelayTestCase):
    def test_withdrawn_key_is_refused(self):
        async def scenario(fleet):
            before = await fleet.ask("/a", key="key-2")
            fleet.store.put("op/config", without_second_key(5))
            await fleet.until(lambda: fleet.nodes[0]._fleet_view.version == 5)
            after = await fleet.ask("/a", key="key-2")
            return before[0], after[0]

        self.assertEqual((200, 401), self.run_scenario(scenario))

    def test_keys_are_refused_when_the_configuration_is_too_old(self):
        async def scenario(fleet):
            fleet.store.silent = True
            fleet_view = fleet.nodes[0]._fleet_view
            configuration_freshness = fleet_view.freshness
            await fleet.until(lambda: not fleet_view.keys_usable)
            self.assertLess(configuration_freshness.age, 2.0 + 0.5)
            got = await fleet.ask("/a", key="key-2")
            wrong = await fleet.ask("/a", key="wrong")
            ready = fleet.nodes[0].ready
            return got, wrong[0], ready, len(fleet.servers[0].seen)

        got, wrong, ready, seen = self.run_scenario(scenario, revoke_seconds=3.5)
        self.assertEqual((503, 503, False, 0), (got[0], wrong, ready, seen))
        self.assertIn(b"Retry-After", got[1])

    def test_executing_node_checks_the_key_again(self):
        async def scenario(fleet):
            fleet.store.put("op/config", without_second_key(5))
            await fleet.until(lambda: fleet.nodes[1]._fleet_view.version == 5)
            # The entry node has an older configuration that still has the key.
            entry = fleet.nodes[0]._fleet_view
            stale = configuration(1, [route("far", "/")], CLUBS)
            import orjson

            from damaskramp.platform.decode import decode_configuration

            entry._configuration._value = None
            entry.adopt_configuration(decode_configuration(orjson.dumps(stale)))
            got = await fleet.ask("/a", key="key-2")
            return got[0], len(fleet.servers[1].seen)

        config = configuration(1, [route("far", "/")], CLUBS)
        status, seen = self.run_scenario(scenario, ("svc", "far"), config)
        self.assertEqual((503, 0), (status, seen))


class TestUpdates(RelayTestCase):
    def test_node_without_the_store_is_updated_by_its_peers(self):
        async def scenario(fleet):
            source = fleet.nodes[0]._parts.watcher._source

            async def refuse(*args, **fields):
                from damaskramp.fleet import SourceBusyError

                await asyncio.sleep(0.01)
                raise SourceBusyError("store is unavailable")

            source._call = refuse
            fleet_view = fleet.nodes[0]._fleet_view
            fleet.store.put("op/config", without_second_key(5))
            await fleet.until(lambda: fleet_view.version == 5)
            fleet.list_server(1, state="draining")
            await fleet.until(lambda: fleet_view.directory.of_service("far")[0].leaving)
            await asyncio.sleep(2.5)
            return fleet_view.keys_usable, (await fleet.ask("/a"))[0]

        usable, status = self.run_scenario(scenario, ("svc", "far"), revoke_seconds=3.5)
        self.assertEqual((True, 200), (usable, status))

    def test_updates_stay_in_the_zone_and_are_compressed(self):
        async def scenario(fleet):
            peers = fleet.nodes[0]._peers
            packed = peers.exchange.packed(fleet.nodes[0]._fleet_view.configuration)
            document = fleet.nodes[0]._fleet_view.configuration.document
            return (
                peers._broadcast_targets(),
                fleet.host(2),
                len(packed) < len(document),
            )

        targets, neighbour, shorter = self.run_scenario(scenario, ["svc"] * 4)
        self.assertEqual(([neighbour], True), (targets, shorter))

    def test_configuration_version_never_decreases(self):
        async def scenario(fleet):
            fleet_view = fleet.nodes[0]._fleet_view
            fleet.store.put("op/config", without_second_key(7))
            await fleet.until(lambda: fleet_view.version == 7)
            fleet.store.put("op/config", without_second_key(3))
            fleet.store.expire_history()
            calls = fleet.store.calls
            await fleet.until(lambda: fleet.store.calls > calls + 3)
            return fleet_view.version

        self.assertEqual(7, self.run_scenario(scenario))

    def test_unreadable_entries_are_counted_and_the_others_used(self):
        async def scenario(fleet):
            broken = [b"\xff", b"[]", {"service": 7}, {"service": "svc"}]
            for n, value in enumerate(broken):
                fleet.store.put(f"servers/x-{n}", value)
            fleet.list_server(0, slots=5)
            fleet_view = fleet.nodes[0]._fleet_view
            await fleet.until(lambda: fleet_view.own_slots == 5)
            counted = fleet.counters[0].values[("store_entries_unreadable", "")]
            return len(fleet_view.directory.servers), counted

        self.assertEqual((1, 4), self.run_scenario(scenario))

    def test_expired_history_causes_a_full_read(self):
        async def scenario(fleet):
            fleet_view = fleet.nodes[0]._fleet_view
            fleet.store.items.pop("servers/i-1")
            fleet.store.revision += 1
            fleet.store.expire_history()
            await fleet.until(lambda: len(fleet_view.directory.servers) == 1)

        self.run_scenario(scenario, ("svc", "svc"))

    def test_all_pages_of_a_range_are_read(self):
        async def scenario(fleet):
            return len(fleet.nodes[0]._fleet_view.directory.servers)

        # Four entries in pages of one entry; a starting node reads them by range.
        self.assertEqual(4, self.run_scenario(scenario, ["svc"] * 4, page=1))


class TestLeaving(RelayTestCase):
    def test_leaving_server_gets_no_new_requests(self):
        async def scenario(fleet):
            fleet.list_server(0, state="draining")
            await fleet.until(lambda: fleet.nodes[0]._fleet_view.own_server.leaving)
            statuses = [(await fleet.ask("/a", n=1))[0] for _ in range(5)]
            return statuses, len(fleet.servers[0].seen)

        self.assertEqual(([200] * 5, 0), self.run_scenario(scenario, ("svc", "svc")))

    def test_address_reused_by_another_service_gets_no_requests(self):
        async def scenario(fleet):
            fleet.store.delete("servers/i-0")
            entry = {"service": "other", "address": fleet.address(0), "zone": "z0"}
            entry |= {"slots": 4, "state": "ready", "born": 9}
            fleet.store.put("servers/i-9", entry)
            listed = fleet.nodes[1]._fleet_view.directory
            await fleet.until(lambda: listed.is_listed("i-9"))
            return (await fleet.ask("/a", n=1))[0], len(fleet.servers[0].seen)

        status, seen = self.run_scenario(scenario, ("svc", "two"))
        self.assertEqual((503, 0), (status, seen))


class TestLinks(RelayTestCase):
    def test_closing_an_idle_link_keeps_its_host_reachable(self):
        async def scenario(fleet):
            peers = fleet.nodes[0]._peers
            await fleet.ask("/a")
            link = peers.links.by_host[fleet.host(1)]
            link.last_used_at -= 60.0
            peers.gossip()
            fresh = peers.links.by_host.get(fleet.host(1))
            return (
                fresh is link,
                set(peers.hosts.unreachable),
                (await fleet.ask("/a"))[0],
            )

        config = configuration(1, [route("far", "/")], CLUBS)
        got = self.run_scenario(scenario, ("svc", "far"), config)
        self.assertEqual((False, set(), 200), got)

    def test_reset_link_is_reopened_at_once(self):
        async def scenario(fleet):
            await fleet.ask("/a")
            await asyncio.sleep(0.3)
            fleet.nodes[1]._links.abort()
            await asyncio.sleep(0.05)
            return (await fleet.ask("/a"))[0], set(
                fleet.nodes[0]._peers.hosts.unreachable
            )

        config = configuration(1, [route("far", "/")], CLUBS)
        got = self.run_scenario(scenario, ("svc", "far"), config)
        self.assertEqual((200, set()), got)

    def test_link_opened_without_a_call_is_kept(self):
        """The other node would close it as silent, together with a call on its way."""

        async def scenario(fleet):
            node, host = fleet.nodes[0], fleet.host(1)
            peers = node._peers
            await fleet.ask("/a")
            await asyncio.sleep(0.3)
            # Gossip would ping this host soon only in a small fleet.
            gossip = node._periodic_work._timers[0]
            gossip.cancel()
            if loses_host:
                peers.links.by_host.pop(host).close()
                peers.hosts.unreachable.add(host)
                await fleet.until(lambda: not peers.hosts.unreachable)
            else:
                fleet.nodes[1]._links.abort()
                await asyncio.sleep(0.05)
            link = peers.links.by_host[host]
            await asyncio.sleep(SILENT_SECONDS + 1.0)
            shed = fleet.nodes[1]._counters.values.get(("shed", "links"), 0)
            return peers.links.by_host.get(host) is link, shed

        config = configuration(1, [route("far", "/")], CLUBS)
        for loses_host in (False, True):
            with self.subTest(loses_host):
                got = self.run_scenario(scenario, ("svc", "far"), config)
                self.assertEqual((True, 0), got)

    def test_host_that_does_not_answer_stays_unreachable(self):
        """The kernel of a host accepts links for a process that is frozen."""

        async def scenario(fleet):
            peers = fleet.nodes[0]._peers
            accepted = []

            async def never_answer(reader, writer):
                accepted.append(writer)
                await asyncio.sleep(3600)

            server = StreamServer(never_answer)
            await server.start(fleet.host(2))
            port = server.port
            host, known = fleet.host(2), peers.links._port
            peers.links._port = port
            peers.hosts.unreachable.add(host)
            peers.hosts.introduced.add(host)
            await fleet.until(lambda: accepted)
            peers.links._port = known
            await asyncio.sleep(0.3)
            server.stop()
            return host in peers.hosts.unreachable

        self.assertTrue(self.run_scenario(scenario, ("svc", "far")))

    def test_many_lost_hosts_are_tried_in_turn(self):
        """Trying a whole lost zone all the time would take a part of the core."""

        async def scenario(fleet):
            peers = fleet.nodes[0]._peers
            network = fleet.host(0).rpartition(".")[0]
            lost = {f"{network}.{n}" for n in range(100, 140)}
            tried = []
            peers.links._open = lambda host: tried.append(host) or Mock()
            peers.hosts.unreachable.update(lost)
            counts = []
            for n in range(5):
                before = len(tried)
                peers.check_links()
                counts.append(len(tried) - before)
                for host in tried[before:]:
                    peers.links._retry_at[host] = peers.links._clock() + n
            peers.hosts.unreachable.clear()
            return counts, set(tried) == lost

        got = self.run_scenario(scenario, ("svc", "far"))
        self.assertEqual(([PROBES_PER_CHECK] * 5, True), got)

    def test_lost_host_that_pings_is_tried_at_once(self):
        async def scenario(fleet):
            peers, host = fleet.nodes[0]._peers, fleet.host(1)
            await fleet.ask("/a")
            for node in fleet.nodes:
                for timer in node._periodic_work._timers:
                    timer.cancel()
            peers.links.by_host.pop(host).close()
            peers.hosts.unreachable.add(host)
            peers.links._retry_at[host] = peers.links._clock() + 60.0
            fleet.nodes[1]._peers.gossip()
            await fleet.until(lambda: not peers.hosts.unreachable)

        config = configuration(1, [route("far", "/")], CLUBS)
        self.run_scenario(scenario, ("svc", "far"), config)

    def test_call_on_a_link_that_never_opened_is_not_run(self):
        async def scenario(fleet):
            peers = fleet.nodes[0]._peers
            await fleet.until(lambda: fleet.host(1) in peers.links.by_host)
            link = peers.links.by_host[fleet.host(1)]
            await fleet.until(lambda: link.state is LinkState.UP)
            # This link opens no connection, as if its opening packet were lost.
            lost = PeerLink(
                fleet.host(1),
                8102,
                time.monotonic,
                fleet.counters[0],
                MemoryQueue(ByteBudget(0)),
                lambda *fields: None,
                lambda *fields: None,
            )
            peers.links.by_host[fleet.host(1)] = lost
            got = await fleet.ask("/a", method="POST", extra="X-Timeout-Ms: 200\r\n")
            lost.open()
            await fleet.until(lambda: lost.state is LinkState.UP)
            await asyncio.sleep(0.1)
            lost.close()
            link.close()
            return got[0], b"not-run" in got[2], len(fleet.servers[1].seen)

        far = configuration(1, [route("far", "/", kind="non_idempotent")], CLUBS)
        self.assertEqual(
            (503, True, 0), self.run_scenario(scenario, ("svc", "far"), far)
        )

    def test_call_queued_until_its_deadline_is_not_run(self):
        async def busy(request):
            await asyncio.sleep(1.0)
            return ok(request)

        async def scenario(fleet):
            fleet.list_server(1, slots=1)
            node = fleet.nodes[1]
            await fleet.until(lambda: node._fleet_view.own_slots == 1)
            first = asyncio.ensure_future(fleet.ask("/a", method="POST"))
            await fleet.until(lambda: node._executor.running)
            extra = "X-Timeout-Ms: 400\r\n"
            got = await fleet.ask("/a", method="POST", extra=extra, request_id="q2")
            await first
            return got[0], b"not-run" in got[2], len(fleet.servers[1].seen)

        far = configuration(1, [route("far", "/", kind="non_idempotent")], CLUBS)
        options = {"scripts": [None, busy]}
        got = self.run_scenario(scenario, ("svc", "far"), far, **options)
        self.assertEqual((503, True, 1), got)


class TestReload(RelayTestCase):
    def test_reload_changes_limits_but_not_addresses(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            changed = replace(
                fleet.settings(0),
                revoke_seconds=9.0,
                retry_ratio=0.0,
                callers="1.1.1.1:1",
            )
            node.reload(changed)
            kept = node._settings
            status = (await fleet.ask("/a"))[0]
            return status, kept.revoke_seconds, kept.callers == "1.1.1.1:1"

        self.assertEqual((200, 9.0, False), self.run_scenario(scenario))
