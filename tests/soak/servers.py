"""Stand-in of a backend server with the faults that a schedule asks for."""

import asyncio
import random
import re
import time

from damaskramp.testing import StreamServer
from tests.relay_fleet import field
from tests.soak.proxy import reset_connection
from tests.soak.record import Arrival, Sent, Told, digest_of, read_answer

__all__ = ["CALL_PATH", "Backend"]

SLOTS = 8
RUN_SECONDS = (0.005, 0.04)
SLOW_FACTOR = 8.0
SHED_SHARE = 0.55
CALL_SHARE = 0.5
CALL_PATH = "/inner/read"
CALL_DEADLINE_MS = 700
STATED_LIMIT = 4.0
"""Requests a second that a server in need states."""

LEAVING_FAULTS = frozenset({"states_leaving", "leaving_taken_back"})

ENDLESS_BYTES = b"\x00" * 4096
LATE_SECONDS = 0.3
FAULT_SHARE = 0.3
"""Share of the answers that a server with a fault of its answers spoils."""


class Backend:
    """Backend server of one host.

    Attributes
    ----------
    faults : set of str
        Names of the faults in force, values of `EventKind`.
    cold_until : float
        Clock time in seconds until which the server is cold.
    """

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self._random = random.Random(f"{fleet.seed}/{host.number}")
        self._server = None
        self._calls = 0
        self._starts = 0
        self._notices = {}
        self._start_lock = asyncio.Lock()
        self.number = host.number
        self.faults = set()
        self.running = 0
        self.is_leaving = False
        self.cold_until = 0.0
        self.born = 0
        self.id = ""

    @property
    def is_up(self):
        """Whether the server accepts connections."""
        return self._server is not None

    async def start(self):
        """Begin a new lifetime, under the same id, unless another event has."""
        async with self._start_lock:
            if not self.is_up:
                await self._start()

    async def _start(self):
        self._starts += 1
        self.id = f"i-{self.number}"
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        if self._starts > 1:
            self.cold_until = time.monotonic() + self._fleet.warmup_seconds
            self._fleet.record.add_notice("cold", self.number)
        address = (self._host.ip, self._fleet.backend_port)
        server = StreamServer(self._serve, limit=1 << 20)
        await server.start(*address, backlog=1024)
        self._server = server

    def crash(self):
        """End at once: every connection is reset."""
        server, self._server = self._server, None
        for what in list(self._notices):
            self.end_notice(what)
        if server is not None:
            for writer in list(server.writers):
                reset_connection(writer)
            server.stop()

    def open_notice(self, what):
        """Record that something holds until the server starts again."""
        if what not in self._notices:
            self._notices[what] = self._fleet.record.add_notice(what, self.number)

    def end_notice(self, what):
        """Record that it no longer holds."""
        notice = self._notices.pop(what, None)
        if notice is not None:
            notice.until = self._fleet.record.now

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                body = await reader.readexactly(int(found[1])) if found else b""
                if not await self._handle(head, body, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The node has disconnected, or the run has ended.
            return

    async def _handle(self, head, body, writer):
        target = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")[1]
        if target == "/health":
            left = max(0.0, self.cold_until - time.monotonic())
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\nX-Warmup-Ms: %d\r\n"
                b"Content-Length: 0\r\n\r\n" % (self.id.encode(), left * 1000)
            )
            return True
        request_id = field(head, "x-request-id") or ""
        arrival = Arrival(
            self.number,
            self._host.service,
            request_id,
            field(head, "x-tenant") or "",
            self._fleet.record.now,
            digest_of(request_id, target, body),
            ran=False,
            has_key=b"authorization" in head.lower() or b"key-" in head,
        )
        self._fleet.record.arrivals.append(arrival)
        if field(head, "x-expected-instance") not in (None, self.id):
            arrival.misdirected = True
            return self._refuse(writer, request_id, 421)
        sheds = "server_sheds" in self.faults and self._random.random() < SHED_SHARE
        if self.running >= SLOTS or sheds:
            return self._refuse(writer, request_id, 503)
        is_repeat = self._fleet.record.begin_run(arrival)
        self.running += 1
        try:
            good = await self._run(head, target, is_repeat)
        finally:
            self.running -= 1
        return await self._answer(writer, request_id, arrival.digest, good)

    def _refuse(self, writer, request_id, status):
        writer.write(
            b"HTTP/1.1 %d X\r\nX-Request-Id: %b\r\nX-Not-Executed: 1\r\n%b"
            b"Content-Length: 0\r\n\r\n" % (status, request_id.encode(), self._stated())
        )
        return True

    async def _run(self, head, target, is_repeat):
        seconds = self._random.uniform(*RUN_SECONDS)
        if "server_slow" in self.faults:
            seconds *= SLOW_FACTOR
        await asyncio.sleep(seconds)
        if target == CALL_PATH or self._random.random() > CALL_SHARE:
            return True
        remaining = int(field(head, "x-timeout-ms") or 0)
        return await self._call(min(CALL_DEADLINE_MS, remaining), is_repeat)

    async def _call(self, deadline_ms, is_repeat):
        """Make a call through the node of this host; return whether it succeeded."""
        self._calls += 1
        request_id = f"call-{self.number}-{self._starts}-{self._calls}"
        fleet = self._fleet
        fleet.record.add_sent(
            Sent(
                request_id,
                "",
                "",
                self.number,
                "inner",
                True,
                fleet.record.now,
                digest_of(request_id, CALL_PATH, b""),
                is_call=True,
                of_repeat=is_repeat,
            )
        )
        told = Told(request_id, 0, 0.0)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    self._host.ip, fleet.callers_port
                )
                try:
                    writer.write(
                        f"GET {CALL_PATH} HTTP/1.1\r\nHost: a.example\r\n"
                        f"X-Request-Id: {request_id}\r\n"
                        f"X-Timeout-Ms: {deadline_ms}\r\n\r\n".encode()
                    )
                    await read_answer(reader, told)
                finally:
                    writer.close()
        except TimeoutError:
            # The server has given up, so it is told nothing.
            return False
        except (OSError, asyncio.IncompleteReadError):
            told.status = 0
        told.at = fleet.record.now
        fleet.record.add_told(told)
        return told.status == 200

    def _stated(self):
        fields = b""
        if "states_limit" in self.faults:
            fields += b"Server-Limit: %.1f\r\n" % STATED_LIMIT
        if self.faults & LEAVING_FAULTS:
            fields += b"Server-Leaving: 1\r\n"
            self.open_notice("said leaving")
        return fields

    async def _answer(self, writer, request_id, digest, good):
        body = digest.encode() * 8
        status = b"200 OK" if good else b"500 Internal Server Error"
        answer = (
            b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\nX-Response-Signature: %b\r\n"
            b"X-Server-Load: %d,0,%d,100\r\nKeep-Alive: timeout=10\r\n%b"
            b"Content-Length: %d\r\n\r\n"
            % (
                status,
                request_id.encode(),
                digest.encode(),
                self.running,
                SLOTS,
                self._stated(),
                len(body),
            )
        ) + body
        spoiled = self._random.random() < FAULT_SHARE
        if spoiled and "answers_cut" in self.faults:
            writer.write(answer[: self._random.randrange(len(answer))])
            return False
        if spoiled and "answers_endless" in self.faults:
            return await self._write_endless(writer)
        writer.write(answer)
        if spoiled and "answers_twice" in self.faults:
            writer.write(answer)
        if spoiled and "answers_late" in self.faults:
            await writer.drain()
            await asyncio.sleep(LATE_SECONDS)
            writer.write(answer)
        await writer.drain()
        return True

    async def _write_endless(self, writer):
        while "answers_endless" in self.faults:
            writer.write(ENDLESS_BYTES)
            await writer.drain()
        return False
