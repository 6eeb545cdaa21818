"""At-most-once execution with real processes.

Nodes are killed and frozen while callers repeat their requests at several nodes. No
request may run twice, and each caller must get a true outcome.
"""

import asyncio
import hashlib
import os
import random
import signal
import tempfile
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path

import orjson

from damaskramp.core import Outcome
from damaskramp.http import HttpClient, HttpRequest
from damaskramp.testing import LoopTestCase
from damaskramp.testing.history import Completion, Execution, History, Invocation, judge
from examples.fleet import Fleet, HostSpec

SETTINGS = """\
[membership]
period_seconds = 0.1
silence_seconds = 1.6
"""
OWNERSHIP_TIMEOUT_SECONDS = 30.0
KEYS = {"clubs": b"key-of-clubs", "schools": b"key-of-schools"}
ZONES = ("z1", "z2")
HOSTS = ("z1-1", "z1-2", "z2-1", "z2-2")
REQUESTS = 240
SENDERS = 12
ANSWER_TIMEOUT_SECONDS = 6.0
REQUEST_ID_HEADER = b"damaskramp-request-id"


def bundle() -> str:
    """Return a bundle with one non-idempotent route."""
    teams = "".join(
        f'[[teams]]\nname = "{team}"\nrate = 10000.0\nburst = 10000\n'
        f'[[keys]]\nteam = "{team}"\n'
        f'digest = "{hashlib.sha256(key).hexdigest()}"\n'
        for team, key in KEYS.items()
    )
    return f"""\
[bundle]
version = 1
issued = {datetime.now(UTC).isoformat()}
zones = {list(ZONES)!r}
classes = ["all"]
{teams}
[[services]]
name = "desk"
slots = 32
connections = 100
backend_servers = 4
shed_means_not_run = true

[[routes]]
service = "desk"
prefix = "/book"
priority = "all"
idempotent = false
timeout_seconds = 2.0
"""


def specs() -> list[HostSpec]:
    """Return two hosts in each zone."""
    backend = {"records": True, "slots": 32, "service_ms": 20.0}
    return [
        HostSpec(f"{zone}-{number}", zone, "desk", backend, settings=SETTINGS)
        for zone in ZONES
        for number in (1, 2)
    ]


def request_digest(target: str, body: bytes) -> str:
    """Return the digest of a request."""
    return hashlib.sha256(target.encode() + body).hexdigest()


class Callers:
    """Callers that send each request several times, at several nodes."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._history = History()
        self._numbers = iter(range(REQUESTS))

    @property
    def history(self) -> History:
        """Requests that were sent and outcomes that callers received."""
        return self._history

    async def run(self) -> None:
        """Send all requests."""
        await asyncio.gather(*(self._sender() for _ in range(SENDERS)))

    async def _sender(self) -> None:
        for number in self._numbers:
            await self._request(number)

    async def _request(self, number: int) -> None:
        team = self._random.choice(list(KEYS))
        kind = ("issued", "uuid7", "own", "none")[number % 4]
        request_id = await self._request_id(kind, team, number)
        if request_id is None:
            return
        attempts = 1 if kind == "none" else self._random.randint(1, 4)
        sends = []
        for attempt in range(attempts):
            first = attempt == 0 and kind == "own"
            sends.append(
                asyncio.create_task(self._send(team, request_id, number, first))
            )
            await asyncio.sleep(self._random.uniform(0.01, 0.15))
        await asyncio.gather(*sends)

    async def _request_id(self, kind: str, team: str, number: int) -> str | None:
        if kind == "own":
            return f"own-{number}"
        if kind == "uuid7":
            value = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62 | number
            return str(uuid.UUID(int=value))
        if kind == "none":
            return ""
        request = HttpRequest("POST", "/damaskramp/request-id", _key(team))
        answer = await self._client().request(request, ANSWER_TIMEOUT_SECONDS)
        # A node that has just started and has no bundle yet issues no id.
        issued = answer.ok.value(REQUEST_ID_HEADER) if answer.is_ok() else None
        return issued.decode() if issued else None

    def _client(self) -> HttpClient:
        host = self._random.choice(list(self._fleet.hosts))
        address, _, port = self._fleet.http(host).rpartition(":")
        return HttpClient(address, int(port), idle_connections=0)

    async def _send(self, team: str, request_id: str, number: int, first: bool) -> None:
        headers = _key(team)
        if request_id:
            headers += ((b"idempotency-key", request_id.encode()),)
        if first:
            headers += ((b"damaskramp-first-attempt", b"true"),)
        target, body = f"/book/{number}", b"%d" % number
        attempt = f"{number}-{len(self._history.invocations)}"
        index = len(self._history.invocations)
        digest = request_digest(target, body)
        sent = Invocation(attempt, team, team, request_id, time.time(), digest)
        self._history.invocations.append(sent)
        request = HttpRequest("POST", target, headers, body)
        answer = await self._client().request(request, ANSWER_TIMEOUT_SECONDS)
        if answer.is_error():
            return
        returned_id = answer.ok.value(REQUEST_ID_HEADER)
        if not request_id and returned_id:
            self._history.invocations[index] = Invocation(
                attempt, team, team, returned_id.decode(), sent.sent_at, digest
            )
        outcome = Outcome(answer.ok.value(b"damaskramp-outcome").decode())
        completion = Completion(attempt, outcome, time.time())
        if outcome is Outcome.ANSWER and answer.ok.status == 200:
            echo = orjson.loads(answer.ok.body)
            whole = echo["sha256"] == hashlib.sha256(body).hexdigest()
            echoed = request_digest(echo["target"], body)
            completion = Completion(
                attempt, outcome, completion.at, echo["request_id"], echoed, whole
            )
        self._history.completions.append(completion)


def _key(team: str) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"authorization", b"Bearer " + KEYS[team]),)


class AtMostOnceProcesses(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(Path(directory.name), specs(), bundle())
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        end = time.monotonic() + OWNERSHIP_TIMEOUT_SECONDS
        while not all(self.fleet.status(h)["ownership_active"] for h in HOSTS):
            self.assertLess(time.monotonic(), end, "ownership is not active")
            time.sleep(0.1)

    async def inject_faults(self) -> None:
        """Kill and restart some nodes, freeze and resume others."""
        await asyncio.sleep(0.5)
        self.fleet.node("z1-1").kill()
        self.fleet.node("z2-1").send(signal.SIGSTOP)
        await asyncio.sleep(0.7)
        self.fleet.start_node("z1-1")
        self.fleet.node("z2-1").send(signal.SIGCONT)
        await asyncio.sleep(1.0)
        self.fleet.node("z2-2").kill()
        self.fleet.node("z1-2").send(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        self.fleet.node("z1-2").send(signal.SIGCONT)
        self.fleet.start_node("z2-2")

    async def run_with_faults(self, callers: Callers) -> None:
        await asyncio.gather(callers.run(), self.inject_faults())

    def test_no_request_runs_twice(self):
        callers = Callers(self.fleet, int(os.environ.get("DAMASKRAMP_SEED", "1")))
        self.run_loop(self.run_with_faults(callers))
        history = callers.history
        for host in self.fleet.hosts:
            for entry in self.fleet.records(host)["started"]:
                digest = request_digest(entry["target"], entry["body"].encode())
                execution = Execution(
                    host, entry["team"], entry["request_id"], entry["at"], digest
                )
                history.executions.append(execution)
        self.assertGreater(len(history.executions), REQUESTS // 4)
        self.assertEqual([], judge(history))
