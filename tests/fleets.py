"""Small fleets for the tests with real processes."""

import asyncio
import hashlib
import tempfile
from pathlib import Path

from damaskramp.http import HttpClient, HttpRequest, HttpResponse
from damaskramp.testing import LoopTestCase
from examples.fleet import Fleet, HostSpec

KEY = b"key-of-clubs"
OTHER_KEY = b"key-of-press"
ZONES = ("z1", "z2")
ANSWER_TIMEOUT_SECONDS = 15.0
LONG_TIMES = """
[quota]
lease_seconds = 5.0
[membership]
period_seconds = 0.2
silence_seconds = 10.0
"""
"""Settings of nodes that must serve all requests on a busy machine. A node that stands
still for half a lease or a quarter of the silence forgets what it owns, and issues no
permits for a whole lease: the requests get 429. At a load of 33, one waited 1.8 s
for the processor; the usual times of the tests allow 0.8 s."""


def digest(key: bytes) -> str:
    """Return the digest of a key as a bundle lists it."""
    return hashlib.sha256(key).hexdigest()


def bundle(version: int = 1, head: str = "", rest: str = "") -> str:
    """Return a bundle with two teams and the services ``desk`` and ``board``."""
    return f"""\
[bundle]
version = {version}
issued = 2026-01-01T00:00:00Z
zones = {list(ZONES)!r}
classes = ["ballots", "reading"]
first_start = true
{head}

[[teams]]
name = "clubs"
rate = 1000.0
burst = 1000

[[teams]]
name = "press"
rate = 1000.0
burst = 1000

[[keys]]
team = "clubs"
digest = "{digest(KEY)}"

[[keys]]
team = "press"
digest = "{digest(OTHER_KEY)}"

[[services]]
name = "desk"
slots = 8
connections = 100
backend_servers = 1

[[services]]
name = "board"
slots = 8
connections = 100
backend_servers = 1
shed_means_not_run = true

[[routes]]
service = "desk"
prefix = "/desk"
priority = "reading"
idempotent = true

[[routes]]
service = "board"
prefix = "/board"
priority = "ballots"
idempotent = true

[[routes]]
service = "board"
prefix = "/board/ballots"
methods = ["POST"]
priority = "ballots"
idempotent = false

[[routes]]
service = "board"
prefix = "/board/public"
priority = "reading"
idempotent = true
open = true
{rest}
"""


def desk_and_boards(
    boards: int = 1, settings: str = "", **backend: object
) -> list[HostSpec]:
    """Return one host of ``desk``, which calls ``board``, and hosts of ``board``."""
    flags = {"records": True, "service_ms": 1, **backend}
    calls = ("GET /board/today",)
    hosts = [HostSpec("desk-1", "z1", "desk", flags, calls, settings)]
    for number in range(1, boards + 1):
        zone = ZONES[number % len(ZONES)]
        host = f"board-{number}"
        hosts.append(HostSpec(host, zone, "board", flags, settings=settings))
    return hosts


async def send(
    address: str,
    target: str,
    key: bytes | None = KEY,
    method: str = "GET",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b"",
) -> HttpResponse:
    """Send one request on a new connection."""
    if key:
        headers = ((b"authorization", b"Bearer " + key), *headers)
    host, _, port = address.rpartition(":")
    client = HttpClient(host, int(port))
    request = HttpRequest(method, target, headers, body)
    answer = await client.request(request, ANSWER_TIMEOUT_SECONDS)
    client.close()
    if answer.is_error():
        raise ConnectionError(str(answer.error))
    return answer.ok


class FleetTestCase(LoopTestCase):
    """Test case whose tests share one fleet."""

    HOSTS: list[HostSpec] = []
    BUNDLE = bundle()
    HOSTS_LAG = 0.0

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.fleet = Fleet(Path(directory.name), cls.HOSTS, cls.BUNDLE, cls.HOSTS_LAG)
        cls.enterClassContext(cls.fleet)

    def call(self, host: str, target: str, **more: object) -> HttpResponse:
        """Send one request to a node."""
        return self.run_loop(send(self.fleet.http(host), target, **more))

    def eventually(self, condition, attempts: int = 600) -> None:
        """Poll a condition; fail if it does not hold within the attempts."""
        for _ in range(attempts):
            if condition():
                return
            self.run_loop(asyncio.sleep(0.05))
        self.fail("the condition never held")
