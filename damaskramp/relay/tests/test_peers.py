"""Links to other nodes and their states: lost, leaving and closed."""

import asyncio
import random

from testtools import TestCase

from damaskramp.core import ByteBudget, Counters
from damaskramp.core.timers import VirtualTimers
from damaskramp.dispatch import Suspects, SuspectSettings
from damaskramp.fleet import BackendServer
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import Call
from damaskramp.relay.outcome_sink import OutcomeSink
from damaskramp.relay.peer_hosts import LEAVING_SECONDS, PeerHosts
from damaskramp.relay.peers import Peers
from damaskramp.testing import LoopTestCase

HEAD = b"GET / HTTP/1.1\r\n"
OTHERS = ("10.0.0.2", "10.0.0.3")


def _call():
    return Call(
        0,
        "i-2",
        b"q",
        HEAD,
        b"",
        head_only=False,
        idempotent=True,
        remaining=1.0,
        target=1.0,
        priority=0,
        is_call=False,
        route="r",
        key_digest=b"",
        fingerprint=1,
        repeat_share=0.0,
        fail_fast=False,
    )


def _server(n):
    address = f"10.0.0.{n}:80"
    return BackendServer(f"i-{n}", "draws", address, "b", 8, False, 0.0, 0, n)


def _fleet_view(timers, *listed):
    fleet_view = FleetView(
        "10.0.0.1",
        "a",
        "draws",
        "10.0.0.1:80",
        3.5,
        lambda: timers.now,
        Suspects(SuspectSettings()),
    )
    fleet_view.directory.merge(_server(n) for n in listed)
    return fleet_view


class TestPeerHosts(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.fleet_view = _fleet_view(self.timers, 2, 3)
        self.hosts = PeerHosts(self.fleet_view, lambda: self.timers.now)

    def usable(self):
        return [s.host for s in self.hosts.usable([_server(2), _server(3)])]

    def test_a_node_that_is_leaving_gets_no_calls_until_it_is_back(self):
        self.hosts.record(OTHERS[0], leaving=True)
        self.assertEqual([OTHERS[1]], self.usable())
        self.hosts.record(OTHERS[0], leaving=False)
        self.assertEqual(list(OTHERS), self.usable())

    def test_an_announcement_ends_without_requests(self):
        """The status page showed nodes as leaving until a request was sent."""
        self.hosts.record(OTHERS[0], leaving=True)
        self.timers.advance(LEAVING_SECONDS + 0.1)
        self.hosts.forget_old()
        self.assertEqual("live", self.hosts.state_of(OTHERS[0]))

    def test_an_announcement_ends_without_gossip(self):
        self.hosts.record(OTHERS[0], leaving=True)
        self.timers.advance(LEAVING_SECONDS + 0.1)
        self.assertEqual(list(OTHERS), self.usable())

    def test_a_lost_host_is_kept_only_while_it_is_listed(self):
        self.hosts.record("10.0.0.9", leaving=False)
        self.assertFalse(self.hosts.record_lost("10.0.0.9"))
        self.assertTrue(self.hosts.record_lost(OTHERS[0]))
        self.assertEqual({OTHERS[0]}, self.hosts.unreachable)
        self.assertEqual(set(), self.hosts.introduced)
        self.assertEqual([OTHERS[1]], self.usable())
        self.assertEqual([OTHERS[1]], self.hosts.reachable(["10.0.0.1", *OTHERS]))

    def test_a_lost_host_gets_calls_again_once_it_has_answered(self):
        self.hosts.record_lost(OTHERS[0])
        self.hosts.record(OTHERS[0], leaving=False)
        self.assertEqual([OTHERS[1]], self.usable())
        self.hosts.record_answered(OTHERS[0])
        self.assertEqual(list(OTHERS), self.usable())

    def test_known_hosts_follow_the_listed_and_the_introduced_ones(self):
        """Gossip would miss hosts that join, or ask hosts that are gone."""
        known = self.hosts.known
        self.assertEqual(list(OTHERS), known)
        self.assertIs(known, self.hosts.known)
        self.hosts.record("10.0.0.9", leaving=False)
        self.assertEqual([*OTHERS, "10.0.0.9"], self.hosts.known)
        self.hosts.record_lost("10.0.0.9")
        self.hosts.record("10.0.0.8", leaving=False)
        self.assertEqual([*OTHERS, "10.0.0.8"], self.hosts.known)
        self.fleet_view.directory.merge([_server(4)])
        self.assertIn("10.0.0.4", self.hosts.known)

    def test_zones_of_hosts_follow_the_list(self):
        zones = self.fleet_view.host_zones
        self.assertEqual(dict.fromkeys(OTHERS, "b"), zones)
        self.assertIs(zones, self.fleet_view.host_zones)
        self.fleet_view.directory.merge([_server(4)])
        self.assertEqual("b", self.fleet_view.host_zones.get("10.0.0.4"))
        self.assertIsNone(self.fleet_view.host_zones.get("10.0.0.9"))

    def test_a_node_that_is_no_ip_address_is_not_recorded(self):
        self.assertRaises(ValueError, self.hosts.record, "example.com", False)
        self.assertEqual(set(), self.hosts.introduced)


class Caller(OutcomeSink):
    """Caller that sends its call to another host where it was refused."""

    def __init__(self, peers, hosts):
        self._peers = peers
        self._hosts = list(hosts)
        self.refusals = 0

    def send(self):
        self._peers.call(self._hosts.pop(0), _call(), self)

    def answer_started(self):
        raise AssertionError("nothing runs the call")

    def answered(self, status, head, body, load):
        raise AssertionError("nothing runs the call")

    def refused(self, reason, wait, arrived, load):
        self.refusals += 1
        if self._hosts:
            self.send()

    def failed(self, reason, load):
        self.refused(reason, 0.0, False, load)


class TestPeers(LoopTestCase):
    def run_scenario(self, scenario):
        async def run():
            timers = VirtualTimers()
            peers = Peers(
                1,
                _fleet_view(timers, 2, 3),
                None,
                lambda: timers.now,
                Counters(),
                random.Random(1),
                ByteBudget(0),
            )
            return await scenario(peers, timers)

        return self.run_loop(run())

    def test_calls_that_break_off_as_the_links_close_open_no_others(self):
        """The caller's next attempt changed the links in the midst of closing them."""

        async def scenario(peers, timers):
            caller = Caller(peers, OTHERS)
            caller.send()
            peers.close()
            await asyncio.sleep(0)
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            return caller.refusals, peers.links.by_host, len(tasks) <= 1

        self.assertEqual((2, {}, True), self.run_scenario(scenario))

    def test_hosts_that_are_gone_are_forgotten(self):
        """The time of the next try was kept for each host that was ever lost."""

        async def scenario(peers, timers):
            for n in range(4, 40):
                host = f"10.0.0.{n}"
                peers.hosts.record(host, leaving=False)
                peers.links.get(host)._mark_down("lost", sent=True)
            return len(peers.links._retry_at), peers.hosts.introduced

        self.assertEqual((0, set()), self.run_scenario(scenario))

    def test_a_lost_host_is_tried_again_after_a_pause(self):
        async def scenario(peers, timers):
            link = peers.links.get(OTHERS[0])
            link._mark_down("lost", sent=True)
            before = peers.links.get(OTHERS[0])
            timers.advance(0.3)
            peers.check_links()
            link = peers.links.by_host.get(OTHERS[0])
            peers.close()
            return before, link is None, set(peers.links._retry_at)

        self.assertEqual((None, False, set()), self.run_scenario(scenario))
