"""Cancellation and deadlines along a call chain of real processes."""

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path

from damaskramp.http import HttpClient, HttpRequest
from damaskramp.testing import LoopTestCase
from examples.fleet import Fleet, HostSpec

SERVICES = ("desk", "board", "vault")
BUNDLE = """
[bundle]
version = 1
issued = 2026-01-01T00:00:00Z
zones = ["z1", "z2", "z3"]
classes = ["reading"]
""" + "".join(
    f"""
[[services]]
name = "{name}"
slots = 8
connections = 100
backend_servers = 1

[[routes]]
service = "{name}"
prefix = "/{name}"
priority = "reading"
idempotent = true
open = true
timeout_seconds = 60.0
"""
    for name in SERVICES
)
SLOWDOWN_FACTOR = 60_000.0
WAIT_TIMEOUT_SECONDS = 20.0


class TestCancellation(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        calls = {"desk": ("GET /board/x",), "board": ("GET /vault/x",), "vault": ()}
        hosts = [
            HostSpec(f"{name}-1", f"z{n}", name, {"service_ms": 1}, calls[name])
            for n, name in enumerate(SERVICES, start=1)
        ]
        self.fleet = Fleet(Path(directory), hosts, BUNDLE)
        self.enterContext(self.fleet)
        self.fleet.tune("vault-1", SLOWDOWN_FACTOR)

    async def call(self, headers=()):
        """Call the chain from the node of the vault, which serves no other service."""
        address, _, port = self.fleet.http("vault-1").rpartition(":")
        request = HttpRequest("GET", "/desk/x", headers)
        with contextlib.closing(HttpClient(address, int(port))) as client:
            return await client.request(request, 60.0)

    async def call_and_disconnect(self):
        """Call and close the connection once the deepest service has started."""
        work = asyncio.ensure_future(self.call())
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not self.fleet.records("vault-1")["started"]:
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.05)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    def cancelled(self):
        return [self.fleet.records(f"{name}-1")["cancelled"] for name in SERVICES]

    def running(self, name):
        records = self.fleet.records(f"{name}-1")
        return len(records["started"]) - records["cancelled"] - records["finished"]

    def eventually(self, condition):
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition() and time.monotonic() < end:
            time.sleep(0.05)
        self.assertTrue(condition())

    def test_caller_disconnect_cancels_the_whole_chain(self):
        self.run_loop(self.call_and_disconnect())
        self.eventually(lambda: self.cancelled() == [1, 1, 1])

    def test_deadline_cancels_the_whole_chain(self):
        answer = self.run_loop(self.call(((b"damaskramp-timeout-ms", b"8000"),)))
        self.assertEqual(b"unknown", answer.ok.value(b"damaskramp-outcome"))
        reason = answer.ok.value(b"damaskramp-reason")
        self.assertEqual(b"deadline_exceeded", reason)
        # The services above the vault see either the deadline or the vault's refusal
        # first.
        self.eventually(lambda: [self.running(name) for name in SERVICES] == [0, 0, 0])
        self.assertEqual(1, self.fleet.records("vault-1")["cancelled"])
