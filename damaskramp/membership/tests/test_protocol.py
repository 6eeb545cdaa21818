"""Tests of membership and broadcast under loss, duplication, freezes and partitions."""

import testtools

from damaskramp.core import Incarnation
from damaskramp.membership import MemberState, Topic
from damaskramp.membership.tests.network import Network

SUSPICION_SECONDS = 8.0
"""Bound on suspecting a crashed member: half of the silence after which ownership
passes to another node."""

DETECTION_SECONDS = 12.0
"""Bound on declaring a crashed member dead, including the time to refute."""

PROPAGATION_SECONDS = 7.0
"""Bound on a change reaching all nodes."""

LIVE = {MemberState.LIVE}
DEAD = {MemberState.DEAD}


def network(zones: int = 1, nodes: int = 12, **faults: float) -> Network:
    net = Network(zones, nodes, **faults)
    net.publish()
    net.timers.advance(20.0)
    return net


class DetectionTest(testtools.TestCase):
    def test_crash_is_seen_by_all_within_bound(self):
        for nodes in (3, 12, 40):
            net = network(nodes=nodes)
            net.stations["z0-n1"].running = False
            net.timers.advance(SUSPICION_SECONDS)
            self.assertNotIn(MemberState.LIVE, net.seen("z0-n1"))
            net.timers.advance(DETECTION_SECONDS - SUSPICION_SECONDS)
            self.assertEqual(DEAD, net.seen("z0-n1"))

    def test_crash_crosses_zones(self):
        net = network(zones=3, nodes=4)
        net.stations["z0-n1"].running = False
        net.timers.advance(DETECTION_SECONDS + PROPAGATION_SECONDS)
        self.assertEqual(DEAD, net.seen("z0-n1"))

    def test_loss_and_duplication_declare_nobody_dead(self):
        net = network(loss=0.1, duplication=0.1)
        for _ in range(120):
            net.timers.advance(1.0)
            for host in net.stations:
                self.assertNotIn(MemberState.DEAD, net.seen(host))

    def test_frozen_member_is_declared_dead_and_returns(self):
        net = network()
        net.freeze("z0-n1")
        net.timers.advance(DETECTION_SECONDS)
        self.assertEqual(DEAD, net.seen("z0-n1"))
        net.wake("z0-n1")
        net.timers.advance(PROPAGATION_SECONDS)
        self.assertEqual(LIVE, net.seen("z0-n1"))

    def test_frozen_member_declares_nobody_dead_on_waking(self):
        # Probes that fail because of the pause must not count against other members.
        net = network()
        net.freeze("z0-n1")
        net.timers.advance(30.0)
        net.wake("z0-n1")
        for _ in range(20):
            net.timers.advance(0.5)
            for host in net.stations:
                if host != "z0-n1":
                    self.assertNotIn(MemberState.DEAD, net.seen(host))

    def test_restart_with_new_incarnation_replaces_the_dead(self):
        net = network(zones=2, nodes=4)
        net.stations["z0-n1"].running = False
        net.timers.advance(15.0)
        station = net.add("z0-n1", "z0", incarnation=2)
        station.protocol.roster.receive_list(net.listed)
        net.timers.advance(PROPAGATION_SECONDS)
        self.assertEqual(LIVE, net.seen("z0-n1"))

    def test_restart_with_clock_behind_takes_a_greater_incarnation(self):
        # Other nodes ignore updates of an incarnation smaller than the one they know.
        net = network(nodes=4)
        net.stations["z0-n1"].protocol.roster.renew(Incarnation(50))
        net.timers.advance(PROPAGATION_SECONDS)
        net.stations["z0-n1"].running = False
        net.timers.advance(15.0)
        station = net.add("z0-n1", "z0", incarnation=2)
        station.protocol.roster.receive_list(net.listed)
        net.timers.advance(PROPAGATION_SECONDS)
        self.assertGreater(station.protocol.roster.own.incarnation, 50)
        self.assertEqual(LIVE, net.seen("z0-n1"))


class ListTest(testtools.TestCase):
    def test_removal_from_list_alone_declares_nobody_dead(self):
        net = network(zones=2, nodes=4)
        for station in net.stations.values():
            station.protocol.roster.receive_list([])
        net.timers.advance(60.0)
        for host in net.stations:
            self.assertEqual(LIVE, net.seen(host))

    def test_lost_zone_is_dead_once_unlisted(self):
        net = network(zones=2, nodes=4)
        lost = [host for host in net.stations if host.startswith("z1")]
        for host in lost:
            net.stations[host].running = False
        net.timers.advance(30.0)
        for host in lost:
            self.assertEqual(LIVE, net.seen(host))
        near = [member for member in net.listed if member.zone == "z0"]
        for station in net.stations.values():
            station.protocol.roster.receive_list(near)
        net.timers.advance(30.0)
        for host in lost:
            self.assertEqual(DEAD, net.seen(host))

    def test_zone_cut_off_and_unlisted_returns(self):
        # Both zones declare each other dead, and must probe dead members to notice that
        # the partition has ended.
        net = network(zones=2, nodes=4)
        listed = net.listed
        net.cut = {"z1"}
        for station in net.stations.values():
            near = [member for member in listed if member.zone == station.zone]
            station.protocol.roster.receive_list(near)
        net.timers.advance(60.0)
        self.assertEqual(MemberState.DEAD, net.stations["z0-n0"].state_of("z1-n0"))
        net.cut = set()
        for station in net.stations.values():
            station.protocol.roster.receive_list(listed)
        net.timers.advance(30.0)
        for host in net.stations:
            self.assertEqual(LIVE, net.seen(host))

    def test_member_without_contact_is_removed_with_the_list(self):
        net = Network(1, 2)
        roster = net.stations["z0-n0"].protocol.roster
        roster.receive_list(net.listed)
        roster.receive_list(net.listed[:1])
        self.assertIsNone(roster.get("z0-n1"))

    def test_newcomer_learns_of_unlisted_members(self):
        # The host list may lack members that run, so gossip has to transfer them.
        net = network(zones=2, nodes=4)
        station = net.add("z0-n9", "z0")
        station.protocol.roster.receive_list(net.listed[:1])
        net.timers.advance(20.0)
        known = {record.update.host for record in station.protocol.roster}
        self.assertEqual(set(net.stations), known)

    def test_leaving_in_list_takes_no_work(self):
        net = network(nodes=2)
        listed = [*net.listed]
        listed[1] = type(listed[1])(
            listed[1].host, listed[1].zone, listed[1].peer, listed[1].service, True
        )
        net.stations["z0-n0"].protocol.roster.receive_list(listed)
        state = net.stations["z0-n0"].state_of("z0-n1")
        self.assertEqual(MemberState.LEAVING, state)


class LeavingTest(testtools.TestCase):
    def test_leave_reaches_all_zones_and_is_not_undone(self):
        net = network(zones=3, nodes=4)
        net.stations["z1-n2"].protocol.roster.leave()
        net.timers.advance(PROPAGATION_SECONDS)
        self.assertEqual({MemberState.LEAVING}, net.seen("z1-n2"))
        net.stations["z1-n2"].running = False
        net.timers.advance(20.0)
        self.assertEqual(DEAD, net.seen("z1-n2"))


class BroadcastTest(testtools.TestCase):
    def announce_item(self, net: Network, version: int = 1) -> dict[str, list]:
        received = {host: [] for host in net.stations}
        for host, station in net.stations.items():
            station.protocol.broadcast.subscribe(Topic.QUOTA, received[host].append)
        origin = net.stations["z0-n0"].protocol.broadcast
        origin.announce(Topic.QUOTA, "clubs", version, b"payload")
        return received

    def test_item_reaches_each_node_once_within_bound(self):
        net = network(zones=3, nodes=8, loss=0.1, duplication=0.1)
        received = self.announce_item(net)
        net.timers.advance(PROPAGATION_SECONDS)
        counts = {host: len(items) for host, items in received.items()}
        self.assertEqual(0, counts.pop("z0-n0"))
        self.assertEqual({1}, set(counts.values()))

    def test_item_crosses_a_cut_after_it_heals(self):
        net = network(zones=2, nodes=4)
        net.cut = {"z1"}
        received = self.announce_item(net)
        net.timers.advance(60.0)
        self.assertEqual([], received["z1-n0"])
        net.cut = set()
        net.timers.advance(30.0)
        self.assertEqual(1, len(received["z1-n0"]))
        for host in net.stations:
            self.assertEqual(LIVE, net.seen(host))

    def test_greatest_version_wins_in_any_order(self):
        net = network(nodes=4)
        nodes = list(net.stations.values())
        nodes[0].protocol.broadcast.announce(Topic.BUNDLE, "b", 2, b"new")
        nodes[1].protocol.broadcast.announce(Topic.BUNDLE, "b", 1, b"old")
        nodes[2].protocol.broadcast.announce(Topic.BUNDLE, "b", 2, b"other")
        net.timers.advance(20.0)
        totals = {n.protocol.broadcast.digests.total for n in nodes}
        self.assertEqual(1, len(totals))

    def test_items_are_bounded(self):
        net = Network(1, 1)
        broadcast = net.stations["z0-n0"].protocol.broadcast
        for number in range(net.settings.items + 5):
            broadcast.announce(Topic.QUARANTINE, str(number), 1, b"x")
        self.assertEqual(net.settings.items, len(broadcast))
        self.assertEqual(5, broadcast.refused)

    def test_messages_stay_within_budget(self):
        net = network(nodes=3)
        station = net.stations["z0-n0"]
        for number in range(100):
            key = str(number)
            station.protocol.broadcast.announce(Topic.QUARANTINE, key, 1, b"x" * 50)
        target = net.stations["z0-n1"].protocol.roster.own
        size = station.protocol.message(target).ByteSize()
        self.assertLessEqual(size, net.settings.piggyback_bytes + 128)
