"""What one node tells another of the fleet, without a link between them."""

import msgpack
from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.core.timers import VirtualTimers
from damaskramp.dispatch import Suspects, SuspectSettings
from damaskramp.fleet import (
    BackendServer,
    FleetConfiguration,
    Freshness,
    SourceChanges,
    SourceError,
    StorePosition,
)
from damaskramp.relay import fleet_exchange
from damaskramp.relay.fleet_exchange import FleetExchange
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import Kind
from damaskramp.relay.peer_hosts import PeerHosts


class FakeSource:
    """Source whose documents are the version in decimal digits."""

    def decode(self, document):
        if not document.isdigit():
            raise SourceError("no number")
        return configuration(int(document))


def configuration(version):
    return FleetConfiguration(version, (), (), document=b"%d" % version)


def sent(*fields):
    """Message as the other node receives it."""
    return msgpack.unpackb(msgpack.packb(fields))


def _server(n):
    address = f"10.0.0.{n}:80"
    return BackendServer(f"i-{n}", "draws", address, "a", 8, False, 0.0, 0, n)


class Node:
    """One side of an exchange."""

    def __init__(self, timers, host):
        clock = lambda: timers.now  # noqa: E731
        self.view = FleetView(
            host, "a", "draws", f"{host}:80", 9.0, clock, Suspects(SuspectSettings())
        )
        self.view.freshness = Freshness(clock)
        self.view.epoch_freshness = Freshness(clock)
        self.hosts = PeerHosts(self.view, clock)
        self.counters = Counters()
        self.exchange = FleetExchange(
            self.view, self.hosts, FakeSource(), clock, self.counters
        )

    def ask(self, other):
        """Ask another node; return whether it has proof."""
        ping = sent(Kind.PING, *self.exchange.ping_fields())
        pong = sent(Kind.PONG, *other.exchange.answer_ping(ping))
        return self.exchange.receive_pong(other.view.host, pong)

    @property
    def names(self):
        return {server.id for server in self.view.directory.servers}


class TestFleetExchange(TestCase):
    """A node that the platform refuses must learn all from others, with its age."""

    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.reader = Node(self.timers, "10.0.0.1")
        self.other = Node(self.timers, "10.0.0.2")
        directory = self.reader.view.directory
        directory.replace([_server(1), _server(2)], StorePosition(0, 5))
        self.reader.view.adopt_configuration(configuration(3))
        self.reader.view.freshness.confirm(self.timers.now)
        self.reader.view.epoch_freshness.confirm(self.timers.now)

    def test_an_answer_brings_what_is_missing_and_the_age_of_the_proof(self):
        self.timers.advance(2.0)
        self.assertTrue(self.other.ask(self.reader))
        self.assertEqual(
            (3, {"i-1", "i-2"}), (self.other.view.version, self.other.names)
        )
        self.assertEqual(2.0, self.other.view.freshness.age)

    def test_a_complete_node_is_told_nothing_again(self):
        self.other.ask(self.reader)
        ping = sent(Kind.PING, *self.other.exchange.ping_fields())
        _, _, _, document, servers, *_ = self.reader.exchange.answer_ping(ping)
        self.assertEqual((b"", []), (document, servers))

    def test_a_node_without_proof_gives_none(self):
        self.assertFalse(self.reader.ask(self.other))
        self.assertEqual({"i-1", "i-2"}, self.reader.names)
        third = Node(self.timers, "10.0.0.3")
        third.ask(self.other)
        self.assertEqual(float("inf"), third.view.freshness.age)

    def test_proof_of_an_older_configuration_does_not_count(self):
        """The older one may come from a store that was restored from a copy."""
        self.other.view.adopt_configuration(configuration(4))
        self.assertTrue(self.other.ask(self.reader))
        self.assertEqual(float("inf"), self.other.view.freshness.age)

    def test_a_part_of_many_servers_is_not_taken_for_all(self):
        """The servers that did not fit would be removed, or never be asked for."""
        most = fleet_exchange.MAX_SERVERS_PER_PONG
        self.addCleanup(setattr, fleet_exchange, "MAX_SERVERS_PER_PONG", most)
        fleet_exchange.MAX_SERVERS_PER_PONG = 1
        self.other.view.directory.merge([_server(2)])
        self.other.ask(self.reader)
        self.assertEqual({"i-1", "i-2"}, self.other.names)
        self.assertEqual(0, self.other.view.directory.revision)

    def test_an_unreadable_document_is_counted_and_changes_nothing(self):
        broken = FleetConfiguration(7, (), (), document=b"broken")
        self.reader.view.adopt_configuration(broken)
        # The proof of the reader holds for the version that can't be read.
        self.assertFalse(self.other.ask(self.reader))
        self.assertEqual(0, self.other.view.version)
        counted = self.other.counters.values[("peer_documents_unreadable", "")]
        self.assertEqual(1, counted)

    def test_an_update_brings_a_change_at_once(self):
        position = StorePosition(0, 6)
        changes = SourceChanges(configuration(4), (_server(6),), (), position)
        self.reader.view.adopt_configuration(configuration(4))
        update = self.reader.exchange.update_message(changes)
        self.other.exchange.receive_update(sent(*update))
        self.assertEqual((4, {"i-6"}), (self.other.view.version, self.other.names))

    def test_a_node_that_leaves_says_so(self):
        self.reader.exchange.leaving = True
        self.other.ask(self.reader)
        self.assertEqual("leaving", self.other.hosts.state_of("10.0.0.1"))
