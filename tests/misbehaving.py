"""Groups of misbehaving clients against a real node process, and what is checked.

One `damaskramp-node` process runs with its own settings file and lowered limits on a
loopback address; the store, the backend server and the clients run in this process.
While a group holds its connections and afterwards, the process must live, stay under
seven eighths of its memory and of its descriptors, answer its readiness address, and
serve a normal request. No times are checked.
"""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest

from damaskramp.testing import LoopTestCase
from tests.process_usage import process_usage
from tests.relay_fleet import CLUBS, RelayFleet, configuration, route

ROOT = Path(__file__).resolve().parent.parent
MEMORY_MB = int(os.environ.get("DAMASKRAMP_CROWD_MEMORY_MB", "80"))
"""Memory of the node: two and a half times what the process takes without clients. The
variables repeat the groups at the size of a host (docs/design/memory.md)."""

BODY_LIMIT_MB = int(os.environ.get("DAMASKRAMP_CROWD_BODY_MB", "2"))
GROUP_FACTOR = int(os.environ.get("DAMASKRAMP_CROWD_FACTOR", "1"))
"""Factor by which the groups have more clients."""

MEMORY_BOUND_MB = MEMORY_MB * 7 / 8
"""Bound on resident memory: the memory of the host with one eighth to spare."""

DESCRIPTORS = 420 if MEMORY_MB == 80 else 4100
"""Descriptors of the process, of which the platform reserves 200 for files; 4,100 are
those of a small host."""

DESCRIPTORS_BOUND = DESCRIPTORS - 200
BODY_LIMIT = BODY_LIMIT_MB * 1024 * 1024
"""Largest body of a request, in bytes; a body of this size must still be served."""

HEADER_LIMIT = 16_384
ATTACK_SECONDS = 3.0
"""Time for which a group sends, in seconds, unless it has sent everything before."""

HOLD_SECONDS = 1.0
"""Time, in seconds, for which a group keeps its connections open afterwards."""

RECOVERY_SECONDS = 40.0
"""Time, in seconds, in which the node must be back to normal; longer than its own
timeouts for incomplete requests and for callers that do not read."""

KILL_FACTOR = 3
"""Multiple of its memory at which the node is ended, to protect this machine."""


class NodeProcess:
    """One node process, and the largest memory and descriptor count seen."""

    def __init__(self, settings_path, log_path):
        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

        with open(log_path, "wb") as log:
            command = [sys.executable, "-m", "damaskramp.cli.node"]
            self._process = subprocess.Popen(
                [*command, f"--settings={settings_path}"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self.killed = False

    @property
    def alive(self):
        return self._process.poll() is None

    def sample(self):
        """Record the resident memory and the open descriptors."""
        usage = process_usage(self._process.pid)
        if usage is None:
            return
        now, descriptors = usage
        self.peak_mb = max(self.peak_mb, now)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        if now > KILL_FACTOR * MEMORY_MB and self.alive:
            self.killed = True
            self._process.kill()

    async def watch(self):
        while True:
            self.sample()
            await asyncio.sleep(0.01)

    def stop(self):
        if self.alive:
            self._process.send_signal(signal.SIGKILL)
        self._process.wait()


class NodeProcessFleet(RelayFleet):
    """Fake store and backend server, with one node in a process of its own."""

    def __init__(self, script=None):
        super().__init__(["svc"], [script])
        self._folder = tempfile.TemporaryDirectory()
        self.process = None

    async def start_node(self, n, **changed):
        settings = self.settings(n)
        path = Path(self._folder.name) / "settings.toml"
        path.write_text(
            f"""\
[relay]
host = "{settings.host}"
zone = "{settings.zone}"
[listen]
callers = "{settings.callers}"
peers = "{settings.peers}"
readiness = "{settings.readiness}"
metrics = "{settings.metrics}"
[backend_server]
backend_service = "{settings.backend_service}"
backend_address = "{settings.backend_address}"
[platform]
platform_address = "{settings.platform_address}"
[bounds]
memory_mb = {MEMORY_MB}
"""
        )
        self.log_path = Path(self._folder.name) / "log"
        self.process = NodeProcess(path, self.log_path)

    async def start(self, config):
        self.store.put("op/config", config)
        self._store_address = await self.store.start(self.host(249))
        await self.servers[0].start(self.address(0))
        self.list_server(0, slots=32)
        await self.start_node(0)
        await self.until_true(self.is_ready, "the node never became ready")
        await self.until_true(self.serves, "the node never served a request")

    async def until_true(self, condition, message):
        """Wait until a condition holds; one that takes 10 s is tried again.

        Raises
        ------
        AssertionError
            If the process ends first, or the time to recover is over.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_SECONDS
        while loop.time() < end and self.process.alive:
            with contextlib.suppress(
                OSError, EOFError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(10.0):
                    if await condition():
                        return
            await asyncio.sleep(0.1)
        log = self.log_path.read_text("utf-8", "replace")[-2000:]
        raise AssertionError(f"{message} ({self.measured()})\n{log}")

    async def is_ready(self):
        reader, writer = await asyncio.open_connection(self.host(0), 8103)
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    async def serves(self):
        got = await self.ask("/a/seat", method="POST", body=b"seat=12", request_id="ok")
        return got[0] == 200

    def measured(self):
        process = self.process
        state = "lives" if process.alive else "has ended"
        if process.killed:
            state = "was ended by the test"
        return (
            f"peak {process.peak_mb:.0f} MB of {MEMORY_BOUND_MB:.0f}, "
            f"{process.peak_descriptors} descriptors of {DESCRIPTORS_BOUND}, {state}"
        )

    async def stop(self):
        if self.process is not None:
            self.process.stop()
        await super().stop()
        self._folder.cleanup()


class Crowd:
    """Clients that each open a connection and run one behaviour on it."""

    def __init__(self, host, port, receive_buffer=None):
        self._host, self._port = host, port
        self._receive_buffer = receive_buffer
        self._tasks = []
        self._writers = []

    def add(self, count, behaviour):
        """Add clients; `behaviour(reader, writer, n)` sends and does not close."""
        for n in range(count):
            self._tasks.append(asyncio.ensure_future(self._run(behaviour, n)))

    async def _run(self, behaviour, n):
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            # A limit of one byte keeps this side from reading what nobody asks for.
            sock = socket.socket()
            sock.setblocking(False)
            if self._receive_buffer:
                size = self._receive_buffer
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            loop = asyncio.get_running_loop()
            try:
                await loop.sock_connect(sock, (self._host, self._port))
            except BaseException:
                sock.close()
                raise
            reader, writer = await asyncio.open_connection(sock=sock, limit=1)
            self._writers.append(writer)
            await behaviour(reader, writer, n)

    async def attack(self, seconds):
        """Let the clients send, for a number of seconds at most."""
        await asyncio.wait(self._tasks, timeout=seconds)

    async def leave(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        for writer in self._writers:
            writer.transport.abort()


@pytest.mark.crowd
class CrowdTestCase(LoopTestCase):
    """Test case that sets one group of misbehaving clients on a node."""

    def misbehave(
        self,
        port,
        count,
        behaviour,
        script=None,
        seconds=ATTACK_SECONDS,
        receive_buffer=None,
    ):
        """Run a number of clients with one behaviour at one port of the node.

        Parameters
        ----------
        script : callable or None
            Behaviour of the backend server; None for a sound one.
        seconds : float
            Longest time for which the clients send, in seconds.
        receive_buffer : int or None
            Size of the clients' receive buffers in bytes; None for the default.
        """
        self.run_loop(
            self._misbehave(port, count, behaviour, script, seconds, receive_buffer)
        )

    async def _misbehave(self, port, count, behaviour, script, seconds, buffer):
        fleet = NodeProcessFleet(script)
        watching = None
        try:
            await fleet.start(limited_configuration())
            watching = asyncio.ensure_future(fleet.process.watch())
            crowd = Crowd(fleet.host(0), port, buffer)
            crowd.add(count * GROUP_FACTOR, behaviour)
            await crowd.attack(seconds)
            await asyncio.sleep(HOLD_SECONDS)
            self._check(fleet)
            await fleet.until_true(fleet.is_ready, "not ready during the attack")
            await fleet.until_true(fleet.serves, "no request served during the attack")
            await crowd.leave()
            await fleet.until_true(fleet.is_ready, "not ready after the attack")
            await fleet.until_true(fleet.serves, "no request served after the attack")
            self._check(fleet)
        finally:
            if watching is not None:
                watching.cancel()
            await fleet.stop()

    def _check(self, fleet):
        measured = fleet.measured()
        print("measured:", measured)
        self.assertTrue(fleet.process.alive, measured)
        self.assertLess(fleet.process.peak_mb, MEMORY_BOUND_MB, measured)
        self.assertLessEqual(
            fleet.process.peak_descriptors, DESCRIPTORS_BOUND, measured
        )


def limited_configuration():
    """Return a configuration whose only route is /a/."""
    config = configuration(
        1, [route("svc", "/a/", kind="upload", timeout="10000ms")], CLUBS
    )
    config["limits"] = {
        "max-header-bytes": HEADER_LIMIT,
        "max-body-bytes": BODY_LIMIT,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    }
    return config


def post(path, framing, request_id="q1"):
    """Return the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\n"
        f"X-Request-Id: {request_id}\r\n{framing}\r\n\r\n"
    ).encode()


def get(path, request_id="q1", fields=b""):
    """Return a request without a body."""
    head = (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\n"
        f"X-Request-Id: {request_id}\r\n"
    ).encode()
    return head + fields + b"\r\n"


def short_fields(size):
    """Return a header section of `size` bytes at most, of fields of one letter."""
    return b"a:b\r\n" * (size // 5)


async def send_all(writer, data):
    """Write data and wait until the node has taken it."""
    writer.write(data)
    await writer.drain()


async def stay():
    """Keep the connection open without sending or reading."""
    await asyncio.sleep(3600)
