"""Stand-in for the platform: configuration values and the list of hosts.

Nodes only read. ``PUT /config/NAME`` and ``PUT /hosts`` are for operators and for the
platform itself. Reads beyond the limit per second are answered with 429; a watch
counts as one read.
"""

import asyncio
import signal
from urllib.parse import parse_qs

import orjson
from absl import app, flags

from damaskramp.core import LoopTimers
from damaskramp.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    split_target,
)
from damaskramp.quota import TokenBucket

FLAGS = flags.FLAGS

MAX_CONNECTIONS = 4096
MAX_VALUE_BYTES = 1024 * 1024
JSON_HEADERS = ((b"content-type", b"application/json"),)


class PlatformServer:
    """In-memory platform.

    Parameters
    ----------
    reads_per_second : float
        Limit on the reads of all readers together.
    hosts_lag : float
        Delay until a change of the host list becomes visible, in seconds.
    """

    def __init__(self, reads_per_second: float, hosts_lag: float) -> None:
        self._timers = LoopTimers()
        self._hosts_lag = hosts_lag
        self._values: dict[str, bytes] = {}
        self._revision = 0
        self._changed = asyncio.Event()
        self._hosts = b"[]"
        self._reads = 0
        self._watches = 0
        self._bucket = TokenBucket(reads_per_second, reads_per_second, self._timers.now)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path, query = split_target(request.target)
        if path == "/stats":
            return HttpResponse(200, JSON_HEADERS, self._stats())
        if request.method == "PUT":
            return self._put(path, request.body)
        if request.method != "GET":
            return HttpResponse(405)
        self._reads += 1
        if not self._bucket.acquire(self._timers.now):
            return HttpResponse(429)
        if path == "/hosts":
            return HttpResponse(200, JSON_HEADERS, self._hosts)
        if path.startswith("/config/"):
            return await self._get(path.removeprefix("/config/"), parse_qs(query))
        return HttpResponse(404)

    def _stats(self) -> bytes:
        return orjson.dumps({"reads": self._reads, "watches": self._watches})

    def _put(self, path: str, body: bytes) -> HttpResponse:
        if path == "/hosts":
            self._timers.after(self._hosts_lag, lambda: self._set_hosts(body))
            return HttpResponse(204)
        if path.startswith("/config/") and len(body) <= MAX_VALUE_BYTES:
            self._values[path.removeprefix("/config/")] = body
            self._revision += 1
            self._changed.set()
            self._changed = asyncio.Event()
            return HttpResponse(204)
        return HttpResponse(413 if path.startswith("/config/") else 404)

    def _set_hosts(self, body: bytes) -> None:
        self._hosts = body

    async def _get(self, name: str, query: dict[str, list[str]]) -> HttpResponse:
        after = int(query.get("after", ["-1"])[0])
        end = self._timers.now + float(query.get("wait", ["0"])[0])
        self._watches += 1
        try:
            while self._revision <= after and self._timers.now < end:
                changed = self._changed.wait()
                try:
                    await asyncio.wait_for(changed, end - self._timers.now)
                except TimeoutError:
                    return HttpResponse(304)
        finally:
            self._watches -= 1
        if name not in self._values:
            return HttpResponse(404)
        headers = ((b"config-revision", b"%d" % self._revision),)
        return HttpResponse(200, headers, self._values[name])


async def serve(listen: str, reads_per_second: float, hosts_lag: float) -> None:
    """Serve until SIGTERM."""
    platform = PlatformServer(reads_per_second, hosts_lag)
    bounds = HttpServerSettings(
        connections=MAX_CONNECTIONS, body_bytes=2 * MAX_VALUE_BYTES, idle_seconds=3600.0
    )
    server = HttpServer(bounds, platform.handle)
    host, _, port = listen.rpartition(":")
    await server.start(host, int(port))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await server.drain(0.0)


def main(argv: list[str]) -> None:
    """Run the stand-in platform."""
    del argv
    asyncio.run(serve(FLAGS.listen, FLAGS.reads_per_second, FLAGS.hosts_lag))


if __name__ == "__main__":
    flags.DEFINE_string("listen", "127.0.0.1:5050", "IP:PORT to listen on")
    flags.DEFINE_float("reads_per_second", 2000.0, "limit on reads of all readers")
    flags.DEFINE_float("hosts_lag", 0.0, "seconds until a host change shows")
    app.run(main)
