"""Rate of one team over real processes, from the merged records of all servers."""

import asyncio
import hashlib
import signal
import tempfile
import time
from pathlib import Path

from damaskramp.http import HttpClient, HttpRequest
from damaskramp.testing import LoopTestCase
from damaskramp.testing.rate_windows import Admission, Limit, worst_window
from examples.fleet import Fleet, HostSpec

KEY = b"key-of-clubs"
RATE = 60.0
BURST = 30
OFFERED_RATE = 4 * RATE
LOAD_SECONDS = 8.0
ZONES = ("z1", "z2", "z3")
BUNDLE = f"""
[bundle]
version = 1
issued = 2026-01-01T00:00:00Z
zones = ["z1", "z2", "z3"]
classes = ["reading"]

[[teams]]
name = "clubs"
rate = {RATE}
burst = {BURST}

[[keys]]
team = "clubs"
digest = "{hashlib.sha256(KEY).hexdigest()}"

[[services]]
name = "desk"
slots = 64
connections = 100
backend_servers = 6

[[routes]]
service = "desk"
prefix = "/desk"
priority = "reading"
idempotent = true
"""
CLOCK_ERROR = 1e-3
"""Relative error between the wall clock and the nodes' monotonic clocks."""


class TestRateOverProcesses(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        backend = {"records": True, "service_ms": 1, "slots": 64, "queue": 512}
        hosts = [
            HostSpec(f"desk-{number}", ZONES[number % 3], "desk", backend)
            for number in range(6)
        ]
        self.fleet = Fleet(Path(directory), hosts, BUNDLE)
        self.enterContext(self.fleet)
        self.sent: dict[str, float] = {}

    def test_every_window_is_within_the_limit_with_frozen_and_killed_owners(self):
        self.run_loop(self.offer_load())
        history = self.history()
        limit = Limit(0.0, RATE * (1 + CLOCK_ERROR), BURST)
        window = worst_window(history, [limit])
        self.assertLessEqual(window.excess, 0.0, window)
        self.assertGreater(len(history), RATE)
        # The same history must exceed a limit below the admitted rate.
        lower = Limit(0.0, len(history) / LOAD_SECONDS / 2, 1.0)
        self.assertGreater(worst_window(history, [lower]).excess, 0.0)

    async def offer_load(self):
        names = list(self.fleet.hosts)
        clients = [self.client(name) for name in names]
        frozen, killed = (self.owner_in(zone) for zone in ZONES[:2])
        begin = time.monotonic()
        events = [
            (2.0, lambda: self.fleet.node(frozen).send(signal.SIGSTOP)),
            (3.5, lambda: self.fleet.node(frozen).send(signal.SIGCONT)),
            (4.0, self.fleet.node(killed).kill),
            (4.1, lambda: self.fleet.publish_hosts(**{killed: "gone"})),
        ]
        tasks = []
        for number in range(int(LOAD_SECONDS * OFFERED_RATE)):
            due = begin + number / OFFERED_RATE
            while events and due - begin >= events[0][0]:
                await asyncio.to_thread(events.pop(0)[1])
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            client = clients[number % len(clients)]
            tasks.append(asyncio.create_task(self.call(client, f"r{number}")))
        await asyncio.gather(*tasks)
        for client in clients:
            client.close()

    async def call(self, client, request_id):
        headers = (
            (b"authorization", b"Bearer " + KEY),
            (b"idempotency-key", request_id.encode()),
        )
        self.sent[request_id] = time.time()
        await client.request(HttpRequest("GET", "/desk/x", headers), 4.0)

    def client(self, host):
        address, _, port = self.fleet.http(host).rpartition(":")
        return HttpClient(address, int(port), idle_connections=256)

    def owner_in(self, zone):
        for host, spec in self.fleet.hosts.items():
            if spec.zone == zone and self.fleet.status(host)["quota"]["owned"]:
                return host
        raise AssertionError(f"no owner in {zone}")

    def history(self):
        """Return the time range of each admission.

        An admission lies between the sending and the record of its request. A retried
        request has one admission and more than one record: its first record bounds the
        admission.
        """
        records: dict[str, float] = {}
        for host in self.fleet.hosts:
            for entry in self.fleet.records(host)["started"]:
                name, moment = entry["request_id"], entry["at"]
                records[name] = min(moment, records.get(name, moment))
        return [Admission(self.sent[name], at) for name, at in records.items()]


class TestPlannedStop(LoopTestCase):
    def test_stop_of_an_owner_refuses_no_request(self):
        """Half of the rate is offered at another host while the zone's owner stops."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        hosts = [HostSpec(f"desk-{n}", "z1", "desk", {"service_ms": 1}) for n in "123"]
        bundle = BUNDLE.replace('["z1", "z2", "z3"]', '["z1"]')
        fleet = self.enterContext(Fleet(Path(directory), hosts, bundle))
        time.sleep(2.0)
        owner = next(h for h in fleet.hosts if fleet.status(h)["quota"]["owned"])
        entry = next(h for h in fleet.hosts if h != owner)
        reasons = self.run_loop(self.offer(fleet, entry, owner))
        self.assertNotIn(b"team_over_rate", reasons)

    async def offer(self, fleet, entry, owner):
        address, _, port = fleet.http(entry).rpartition(":")
        client = HttpClient(address, int(port))
        headers = ((b"authorization", b"Bearer " + KEY),)
        reasons = []
        for number in range(300):
            if number == 30:
                fleet.node(owner).send(signal.SIGTERM)
            request = HttpRequest("GET", "/desk/x", headers)
            answer = await client.request(request, 5.0)
            reasons.append(answer.ok.value(b"damaskramp-reason"))
            await asyncio.sleep(1 / 30)
        client.close()
        return reasons
