"""Stand-in backend server: slots, drain, cold start, shedding, cancellation.

Each request occupies a free slot for `service_ms`, then makes the configured calls
through the node of this host; its response describes the request. Paths under
``/_standin/`` control the server: ``GET records`` lists the requests that it has
started, ``POST tune?slow=5`` makes it 5 times slower, ``POST drain`` makes it refuse
new requests.

A request whose body begins with ``poison`` terminates the process.
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

CONTEXT_HEADER = b"damaskramp-context"
REQUEST_ID_HEADER = b"damaskramp-request-id"
TIMEOUT_HEADER = b"damaskramp-timeout-ms"
JSON_HEADERS = ((b"content-type", b"application/json"),)
CALL_TIMEOUT_SECONDS = 30.0
POISON_PREFIX = b"poison"
MAX_RECORDS = 200_000


@dataclass(frozen=True)
class BackendSettings:
    """Settings of one stand-in backend server.

    Attributes
    ----------
    slots : int
        Requests that run concurrently.
    queue : int
        Requests that may wait for a slot; further requests are answered with 503.
    service_ms : float
        Time that a request occupies a slot, in milliseconds.
    cold_seconds : float
        Time after the start during which the server runs at a fifth of its speed.
    node : str
        ``IP:PORT`` of the node of this host, which forwards the server's own calls.
    calls : tuple of str
        Calls that each request makes, such as ``POST /registry/check``.
    records : bool
        Whether to record the header fields and body of every request.
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
    """Requests that the stand-in has started, and counts of how requests ended."""

    started: list[dict] = field(default_factory=list)
    finished: int = 0
    cancelled: int = 0
    shed: int = 0


class BackendServer:
    """One stand-in backend server.

    Parameters
    ----------
    settings : BackendSettings
        Capacity, timing and calls of the server.
    """

    COLD_SLOWDOWN = 5.0

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._timers = LoopTimers()
        self._started_at = self._timers.now
        self._slots = asyncio.Semaphore(settings.slots)
        self._waiting = 0
        self._slowdown = 1.0
        self._draining = False
        self._records = Records()
        self._node = None
        if settings.node:
            host, _, port = settings.node.rpartition(":")
            self._node = HttpClient(host, int(port), idle_connections=256)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.target.startswith("/_standin/"):
            return self._control(request)
        if request.target == "/load":
            return HttpResponse(
                200, JSON_HEADERS, orjson.dumps({"waiting": self._waiting})
            )
        if self._draining or self._waiting >= self._settings.queue:
            self._records.shed += 1
            return HttpResponse(503, JSON_HEADERS, b'{"error":"shed"}')
        self._record(request)
        if request.body.startswith(POISON_PREFIX):
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
            return HttpResponse(502, JSON_HEADERS, orjson.dumps({"failed": failed}))
        return HttpResponse(200, JSON_HEADERS, self._echo(request))

    def _service_seconds(self) -> float:
        seconds = self._settings.service_ms / 1000 * self._slowdown
        if self._timers.now - self._started_at < self._settings.cold_seconds:
            seconds *= self.COLD_SLOWDOWN
        return seconds

    async def _make_calls(self, request: HttpRequest) -> str | None:
        """Make the configured calls; return the first that fails, or None."""
        for text in self._settings.calls:
            method, target = text.split()
            headers = tuple(
                h for h in request.headers if h[0] in (CONTEXT_HEADER, TIMEOUT_HEADER)
            )
            call = HttpRequest(method, target, headers, request.body)
            answer = await self._node.request(call, CALL_TIMEOUT_SECONDS)
            if answer.is_error() or answer.ok.status >= 400:
                status = "lost" if answer.is_error() else answer.ok.status
                return f"{text}: {status}"
        return None

    def _echo(self, request: HttpRequest) -> bytes:
        request_id = request.value(REQUEST_ID_HEADER) or b""
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
        if len(self._records.started) >= MAX_RECORDS:
            return
        entry: dict = {
            "request_id": (request.value(REQUEST_ID_HEADER) or b"").decode(),
            "team": (request.value(b"damaskramp-team") or b"").decode(),
            "target": request.target,
            "method": request.method,
            "at": self._timers.wall_now,
        }
        if self._settings.records:
            entry["headers"] = [(n.decode(), v.decode()) for n, v in request.headers]
            entry["body"] = request.body.decode("latin-1")
        self._records.started.append(entry)

    def _control(self, request: HttpRequest) -> HttpResponse:
        path, query = split_target(request.target)
        command = path.removeprefix("/_standin/")
        if command == "records":
            return HttpResponse(200, JSON_HEADERS, orjson.dumps(self._records))
        if command == "drain":
            self._draining = True
            return HttpResponse(204)
        if command == "tune":
            self._slowdown = float(parse_qs(query)["slow"][0])
            return HttpResponse(204)
        return HttpResponse(404)


async def serve(settings: BackendSettings) -> None:
    """Serve until SIGTERM, then finish the running requests."""
    backend = BackendServer(settings)
    server = HttpServer(
        HttpServerSettings(connections=4096, idle_seconds=600.0), backend.handle
    )
    host, _, port = settings.listen.rpartition(":")
    await server.start(host, int(port))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await server.drain(CALL_TIMEOUT_SECONDS)


def main(argv: list[str]) -> None:
    """Run the stand-in backend server."""
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
    flags.DEFINE_string("service", "", "service that the server belongs to")
    flags.DEFINE_string("host", "", "host name")
    flags.DEFINE_string("listen", "127.0.0.1:6060", "IP:PORT to listen on")
    flags.DEFINE_integer("slots", 16, "requests that run concurrently")
    flags.DEFINE_integer("queue", 32, "requests that may wait for a slot")
    flags.DEFINE_float("service_ms", 5.0, "milliseconds on a slot")
    flags.DEFINE_float("cold_seconds", 0.0, "slow seconds after the start")
    flags.DEFINE_string("node", "", "IP:PORT of the node of this host")
    flags.DEFINE_multi_string("call", [], "call that each request makes")
    flags.DEFINE_bool("records", False, "record header fields and bodies of requests")
    app.run(main)
