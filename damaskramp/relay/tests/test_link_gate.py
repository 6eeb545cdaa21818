"""Connections of other nodes before their first message."""

import asyncio

from testtools import TestCase

from damaskramp.core import Counters
from damaskramp.relay.link_gate import MAX_SILENT_LINKS, SILENT_SECONDS, LinkGate
from damaskramp.relay.shedding import SheddingLog
from damaskramp.relay.tests.fakes import FakeTransport


class FakeLink(asyncio.Protocol):
    """Link that stores what it receives."""

    def __init__(self):
        self.transport = None
        self.data = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data


class TestLinkGate(TestCase):
    """Guards against silent connections that use up the descriptors of links."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.links = []
        self.counters = Counters()

    def make_gate(self, max_connections=1000):
        return LinkGate(
            self.make_link,
            lambda: len(self.links),
            max_connections,
            lambda: self.now,
            SheddingLog(self.counters),
        )

    def make_link(self):
        self.links.append(FakeLink())
        return self.links[-1]

    def connect(self, gate):
        protocol, transport = gate.connect(), FakeTransport()
        protocol.connection_made(transport)
        return protocol, transport

    def test_a_connection_becomes_a_link_with_its_first_bytes(self):
        gate = self.make_gate()
        protocol, transport = self.connect(gate)
        self.assertEqual([], self.links)
        protocol.data_received(b"first")
        link = self.links[0]
        self.assertEqual((transport, b"first"), (link.transport, link.data))
        self.assertIs(link, transport.protocol)
        self.now += 10 * SILENT_SECONDS
        gate.sweep()
        self.assertFalse(transport.closed)

    def test_silent_connections_are_closed(self):
        gate = self.make_gate()
        _, early = self.connect(gate)
        self.now += SILENT_SECONDS
        _, late = self.connect(gate)
        gate.sweep()
        self.assertEqual((False, False), (early.closed, late.closed))
        self.now += 0.1
        gate.sweep()
        self.assertEqual((True, False), (early.closed, late.closed))
        self.assertEqual(1, self.counters.values["shed", "links"])

    def test_the_oldest_of_many_silent_connections_is_closed(self):
        gate = self.make_gate()
        opened = [self.connect(gate)[1] for _ in range(MAX_SILENT_LINKS + 1)]
        self.assertEqual([opened[0]], [one for one in opened if one.closed])

    def test_links_and_silent_connections_are_bounded_together(self):
        gate = self.make_gate(max_connections=3)
        for _ in range(2):
            self.connect(gate)[0].data_received(b"x")
        _, first = self.connect(gate)
        self.assertFalse(first.closed)
        _, second = self.connect(gate)
        self.assertEqual((True, False), (first.closed, second.closed))

    def test_bytes_of_a_closed_connection_make_no_link(self):
        gate = self.make_gate(max_connections=1)
        protocol, _ = self.connect(gate)
        self.connect(gate)
        protocol.data_received(b"late")
        self.assertEqual([], self.links)

    def test_a_connection_that_has_ended_is_forgotten(self):
        gate = self.make_gate(max_connections=1)
        protocol, _ = self.connect(gate)
        protocol.connection_lost(None)
        _, second = self.connect(gate)
        self.assertFalse(second.closed)
        self.assertNotIn(("shed", "links"), self.counters.values)
