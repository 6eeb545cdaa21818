"""Stand-in backend server: slots, drain, cold start, shedding, cancellation.

Each request runs `service_ms` on a free slot, then makes the listed calls through
the node of this host, then echoes what it got. ``/_standin/...`` steers it:
``GET records`` lists what it has run, ``POST tune?slow=5`` changes its speed,
``POST drain`` makes it refuse new work.

A request whose body begins with ``poison`` ends the process.
"""

import asyncio
import hashlib
import os
import signal
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import orjson
from absl import app, flags

from damaskramp.core import LoopTimers
from damaskramp.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    split_target,
)

FLAGS = flags.FLAGS

CONTEXT = b"damaskramp-context"
REQUEST_ID = b"damaskramp-request-id"
TIMEOUT_MS = b"damaskramp-timeout-ms"
JSON = ((b"content-type", b"application/json"),)
CALL_SECONDS = 30.0
POISON = b"poison"
RECORDS_KEPT = 200_000


@dataclass(frozen=True)
class BackendSettings:
    """Settings of one stand-in.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    queue : int
        Requests that wait for a slot; more are answered 503.
    service_ms : float
        Time on a slot.
    cold_seconds : float
        Time after the start in which it runs at a fifth of its speed.
    node : str
        ``IP:PORT`` of the node of this host, for its own calls.
    calls : tuple of str
        Calls that each request makes, as ``POST /registry/check``.
    records : bool
        Whether to keep every request's fields and body for inspection.
    """

    service: str
    host: str
    listen: str
    slots: int = 16
    queue: int = 32
    service_ms: float = 5.0
    cold_seconds: float = 0.0
    node: str = ""
    calls: tuple[str, ...] = ()
    records: bool = False


@dataclass
class Records:
    """What the stand-in has seen."""

    started: list[dict] = field(default_factory=list)
    finished: int = 0
    cancelled: int = 0
    shed: int = 0


class BackendServer:
    """One stand-in backend server.

    Parameters
    ----------
    settings : BackendSettings
        How it behaves.
    """

    COLD_SLOWDOWN = 5.0

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._timers = LoopTimers()
        self._born = self._timers.now
        self._slots = asyncio.Semaphore(settings.slots)
        self._waiting = 0
        self._slow = 1.0
        self._draining = False
        self._records = Records()
        self._node = None
        if settings.node:
            host, _, port = settings.node.rpartition(":")
            self._node = HttpClient(host, int(port), idle_connections=256)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.target.startswith("/_standin/"):
            return self._steer(request)
        if request.target == "/load":
            return HttpResponse(200, JSON, orjson.dumps({"waiting": self._waiting}))
        if self._draining or self._waiting >= self._settings.queue:
            self._records.shed += 1
            return HttpResponse(503, JSON, b'{"error":"shed"}')
        self._record(request)
        if request.body.startswith(POISON):
            os._exit(1)
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self._records.cancelled += 1
            raise

    async def _run(self, request: HttpRequest) -> HttpResponse:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await asyncio.sleep(self._service_seconds())
        finally:
            self._slots.release()
        failed = await self._make_calls(request)
        self._records.finished += 1
        if failed is not None:
            return HttpResponse(502, JSON, orjson.dumps({"failed": failed}))
        return HttpResponse(200, JSON, self._echo(request))

    def _service_seconds(self) -> float:
        seconds = self._settings.service_ms / 1000 * self._slow
        if self._timers.now - self._born < self._settings.cold_seconds:
            seconds *= self.COLD_SLOWDOWN
        return seconds

    async def _make_calls(self, request: HttpRequest) -> str | None:
        """Make the listed calls; the first that fails, or None."""
        for text in self._settings.calls:
            method, target = text.split()
            headers = tuple(h for h in request.headers if h[0] in (CONTEXT, TIMEOUT_MS))
            call = HttpRequest(method, target, headers, request.body)
            answer = await self._node.request(call, CALL_SECONDS)
            if answer.is_error() or answer.ok.status >= 400:
                status = "lost" if answer.is_error() else answer.ok.status
                return f"{text}: {status}"
        return None

    def _echo(self, request: HttpRequest) -> bytes:
        request_id = request.value(REQUEST_ID) or b""
        return orjson.dumps(
            {
                "service": self._settings.service,
                "host": self._settings.host,
                "request_id": request_id.decode(),
                "target": request.target,
                "length": len(request.body),
                "sha256": hashlib.sha256(request.body).hexdigest(),
            }
        )

    def _record(self, request: HttpRequest) -> None:
        if len(self._records.started) >= RECORDS_KEPT:
            return
        entry: dict = {
            "request_id": (request.value(REQUEST_ID) or b"").decode(),
            "team": (request.value(b"damaskramp-team") or b"").decode(),
            "target": request.target,
            "method": request.method,
            "at": self._timers.wall_now,
        }
        if self._settings.records:
            entry["headers"] = [(n.decode(), v.decode()) for n, v in request.headers]
            entry["body"] = request.body.decode("latin-1")
        self._records.started.append(entry)

    def _steer(self, request: HttpRequest) -> HttpResponse:
        path, query = split_target(request.target)
        command = path.removeprefix("/_standin/")
        if command == "records":
            return HttpResponse(200, JSON, orjson.dumps(self._records))
        if command == "drain":
            self._draining = True
            return HttpResponse(204)
        if command == "tune":
            self._slow = float(parse_qs(query)["slow"][0])
            return HttpResponse(204)
        return HttpResponse(404)


async def serve(settings: BackendSettings) -> None:
    """Serve until SIGTERM, then finish what is running."""
    backend = BackendServer(settings)
    server = HttpServer(
        HttpServerSettings(connections=4096, idle_seconds=600.0), backend.handle
    )
    host, _, port = settings.listen.rpartition(":")
    await server.start(host, int(port))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await server.drain(CALL_SECONDS)


def main(argv: list[str]) -> None:
    """Run the stand-in."""
    del argv
    settings = BackendSettings(
        service=FLAGS.service,
        host=FLAGS.host,
        listen=FLAGS.listen,
        slots=FLAGS.slots,
        queue=FLAGS.queue,
        service_ms=FLAGS.service_ms,
        cold_seconds=FLAGS.cold_seconds,
        node=FLAGS.node,
        calls=tuple(FLAGS.call),
        records=FLAGS.records,
    )
    asyncio.run(serve(settings))


if __name__ == "__main__":
    flags.DEFINE_string("service", "", "service that it runs")
    flags.DEFINE_string("host", "", "host name")
    flags.DEFINE_string("listen", "127.0.0.1:6060", "IP:PORT to listen on")
    flags.DEFINE_integer("slots", 16, "requests that run at once")
    flags.DEFINE_integer("queue", 32, "requests that wait for a slot")
    flags.DEFINE_float("service_ms", 5.0, "time on a slot in milliseconds")
    flags.DEFINE_float("cold_seconds", 0.0, "slow time after the start")
    flags.DEFINE_string("node", "", "IP:PORT of the node of this host")
    flags.DEFINE_multi_string("call", [], "call that each request makes")
    flags.DEFINE_bool("records", False, "keep fields and bodies for inspection")
    app.run(main)
