"""Mutual TLS between nodes: a client without a certificate of the fleet is refused."""

import asyncio
import ssl
import tempfile
from pathlib import Path

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from damaskramp.core import VirtualTimers
from damaskramp.testing import LoopTestCase
from damaskramp.tls import CallerTlsSettings, PeerTlsSettings, TlsContexts, TlsSettings
from damaskramp.wire.peer_grpc import PeerStub
from damaskramp.wire.peer_pb2 import CallContext, ExecuteRequest
from examples.fleet import Fleet, HostSpec
from tests.certificates import Authority
from tests.fleets import bundle, send

REFUSALS = (OSError, GRPCError, StreamTerminatedError, ProtocolError, TimeoutError)
REQUEST = ExecuteRequest(
    context=CallContext(
        team="clubs", service="board", remaining_ms=5000, idempotent=True
    ),
    method="GET",
    target="/board/x",
)


class TestPeerTls(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.authority = Authority("fleet")
        self.foreign_authority = Authority("stranger")
        specs_without_tls = [
            HostSpec("desk-1", "z1", "desk"),
            HostSpec("board-1", "z2", "board"),
        ]
        addresses = Fleet(self.directory, specs_without_tls, bundle())
        hosts = [
            HostSpec(
                spec.host,
                spec.zone,
                spec.service,
                settings=self.settings(
                    spec.host, addresses.peer(spec.host).partition(":")[0]
                ),
            )
            for spec in specs_without_tls
        ]
        self.fleet = self.enterContext(Fleet(self.directory, hosts, bundle()))

    def settings(self, host, address):
        certificate, key = self.authority.issue(self.directory, host, address)
        authorities = self.authority.write(self.directory / "authorities.pem")
        return f"""
[tls.peers]
certificate = "{certificate}"
key = "{key}"
authorities = "{authorities}"
"""

    async def execute(self, context):
        host, _, port = self.fleet.peer("board-1").rpartition(":")
        channel = Channel(host, int(port), ssl=context)
        try:
            async with asyncio.timeout(10.0):
                return await PeerStub(channel).Execute(REQUEST)
        finally:
            channel.close()

    def context(self, authority):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.set_alpn_protocols(["h2"])
        context.load_verify_locations(self.authority.write(self.directory / "a.pem"))
        if authority is not None:
            pair = authority.issue(self.directory, "client", "127.0.0.1")
            context.load_cert_chain(*pair)
        return context

    def test_only_certificates_of_the_fleet_are_accepted(self):
        answer = self.run_loop(send(self.fleet.http("desk-1"), "/board/x"))
        self.assertEqual(200, answer.status)
        reply = self.run_loop(self.execute(self.context(self.authority)))
        self.assertEqual(200, reply[0].head.status)
        for context in (None, self.context(None), self.context(self.foreign_authority)):
            self.assertRaises(REFUSALS, self.run_loop, self.execute(context))
        self.assertEqual(2, len(self.fleet.records("board-1")["started"]))


class TestTlsContexts(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def test_every_unreadable_file_is_reported(self):
        settings = TlsSettings(
            callers=CallerTlsSettings(certificate="/none.pem", key="/none.key"),
            peers=PeerTlsSettings(
                certificate="/no.pem", key="/no.key", authorities="/no.ca"
            ),
        )
        found = str(TlsContexts(settings).load("settings").error)
        for key in ("tls.callers", "tls.peers", "tls.peers.authorities"):
            self.assertIn(f"settings: {key}: error:", found)

    def test_renewed_file_is_loaded_and_an_unreadable_one_is_ignored(self):
        certificate, key = Authority("a").issue(self.directory, "node", "127.0.0.1")
        callers = CallerTlsSettings(certificate=certificate, key=key)
        contexts = TlsContexts(TlsSettings(callers=callers, reload_seconds=30.0))
        self.assertTrue(contexts.load("settings").is_ok())
        timers, events = VirtualTimers(), []
        contexts.watch_files(timers, events.append)
        timers.advance(60.0)
        self.assertEqual([], events)
        Authority("b").issue(self.directory, "node", "127.0.0.1")
        timers.advance(30.0)
        Path(certificate).write_text("broken")
        timers.advance(30.0)
        self.assertEqual(["tls_reloaded", "tls_reload_failed"], events)
