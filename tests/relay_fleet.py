"""Relay nodes on loopback with a fake platform store and fake backend servers.

Each host has its own address in 127.0.0.0/8, and all hosts use the same ports, as on
the platform.
"""

import asyncio
import base64
import contextlib
import dataclasses
import inspect
import itertools
import os
from urllib.parse import parse_qs

import orjson

from damaskramp.core import Counters
from damaskramp.http import (
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    split_target,
)
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH, MetadataStore
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings
from damaskramp.testing import LoopTestCase, StreamServer

JSON = ((b"content-type", b"application/json"),)
WAIT_TIMEOUT_SECONDS = 20.0
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
"""Number of the test process; concurrent test processes must not share addresses."""
NETWORK = int(os.environ.get("DAMASKRAMP_TEST_NETWORK", "77"))
"""Second byte of the addresses of the first test process; a run of the tests beside
another one needs a value that is at least the number of test processes away."""

_networks = itertools.count(1)


class StoreStandIn:
    """Fake of the platform's store with revisions, paged ranges and watches.

    All answers state the number of the store's history in `eras`, the values of that
    header field. A restore from a copy begins a new history.
    """

    def __init__(self, page=50):
        self.eras = [b"1"]
        self._restores = 0
        self.items = {}
        self.events = []
        self.revision = 1
        self.expired_revision = 0
        self.refusal_status = 0
        self.silent = False
        self.calls = 0
        self._page = page
        self._changed = asyncio.Event()
        self._server = HttpServer(HttpServerSettings(), self.handle)

    async def start(self, host):
        await self._server.start(host, 0)
        return f"{host}:{self._server.port}"

    async def stop(self):
        await self._server.drain(0.0)

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create-rev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record_event(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def copy(self):
        """Return a copy of the items from which the store can be restored."""
        return dict(self.items), self.revision

    def restore(self, copy):
        """Lose all changes since a copy; their revisions are given out again."""
        items, self.revision = copy
        self.items = dict(items)
        self.events = [e for e in self.events if e["revision"] <= self.revision]
        self._restores += 1
        self.eras = [b"%d" % (1 + self._restores)]
        self._record_event(None)

    def expire_history(self):
        self.expired_revision = self.revision
        self._record_event(None)

    async def handle(self, request):
        answer = await self._handle(request)
        eras = tuple((b"store-era", value) for value in self.eras)
        return dataclasses.replace(answer, headers=answer.headers + eras)

    async def _handle(self, request):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(3600)
        if self.refusal_status:
            return HttpResponse(self.refusal_status)
        path, query = split_target(request.target)
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return self._answer(item) if item else HttpResponse(404)
        if path == "/v1/kv-range":
            return self._range(fields)
        if path == "/v1/kv-watch":
            return await self._watch(fields)
        return HttpResponse(404)

    def _range(self, fields):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields["path-prefix"]) and key > fields.get("after", "")
        )
        items = [self.items[key] for key in keys[: self._page]]
        return self._answer({"items": items, "has-more": len(keys) > self._page})

    async def _watch(self, fields):
        after = int(fields["after"])
        restores = self._restores
        if not self.expired_revision <= after <= self.revision:
            return HttpResponse(410)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields["wait-ms"]) / 1000):
                while self.revision <= after and restores == self._restores:
                    await self._changed.wait()
        if after < self.expired_revision or restores != self._restores:
            return HttpResponse(410)
        found = [e for e in self.events if e["revision"] > after]
        prefix = fields["path-prefix"]
        return self._answer(
            {"events": [e for e in found if e["key"].startswith(prefix)]}
        )

    def _answer(self, body):
        return HttpResponse(
            200, JSON, orjson.dumps({**body, "store-revision": self.revision})
        )

    def _record_event(self, event):
        if event is not None:
            self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()


class ServerStandIn:
    """Fake backend server that answers as `script` says.

    The script receives the bytes of a request and returns the bytes of the answer. It
    may return None to close the connection, or a list or generator of pieces that are
    written one after the other; a piece `...` closes the connection at that point.
    """

    def __init__(self, script=None):
        self.seen = []
        self.connections = 0
        self.dropped = 0
        self._script = script or ok
        self._server = StreamServer(self._serve)

    async def start(self, address):
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    async def stop(self):
        """Accept no connections; those that are open go on."""
        self._server.close()

    def abort(self):
        """End all connections as well."""
        self._server.stop()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(field(head, "content-length") or 0)
                request = head + await reader.readexactly(length)
                self.seen.append(request)
                answer = self._script(request)
                if inspect.iscoroutine(answer):
                    answer = await self._run_until_disconnect(reader, answer)
                if answer is None:
                    break
                for piece in [answer] if isinstance(answer, bytes) else answer:
                    if piece is ...:
                        return
                    writer.write(piece)
                    await writer.drain()
                    # Yield to other tasks, and allow this one to be cancelled.
                    await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller has disconnected, or the test has ended.
            return

    async def _run_until_disconnect(self, reader, answer):
        work = asyncio.ensure_future(answer)
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.dropped += 1
            raise ConnectionResetError("caller has disconnected")
        disconnected.cancel()
        await asyncio.wait({disconnected})
        return work.result()


def field(head, name):
    """Return the value of a header field, or None if the field is missing."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name.lower():
            return value.strip()
    return None


def ok(request, body=b"done", extra=b"", status=b"200 OK"):
    """Return a complete answer that repeats the id of the request."""
    request_id = field(request, "x-request-id").encode()
    return (
        b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\nX-Response-Signature: s\r\n%b"
        b"Content-Length: %d\r\n\r\n%b" % (status, request_id, extra, len(body), body)
    )


def request_bytes(path, method="GET", key="key-1", body=b"", request_id="q1", extra=""):
    """Return a request as a caller sends it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
    head += f"X-Request-Id: {request_id}\r\n{extra}"
    if key:
        head += f"Authorization: Token {key}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def route(service, prefix, **fields):
    """Return a route as the operator writes it."""
    return {
        "host": "a.example",
        "path-prefix": prefix,
        "kind": "idempotent",
        "timeout": "3000ms",
        "target-latency": "1000ms",
        "priority": 2,
        "max-attempts": 2,
        "public": False,
        "service": service,
        **fields,
    }


def configuration(version, routes, tenants=None):
    """Return a configuration as the operator writes it."""
    return {
        "version": f"r{version}",
        "routes": {f"r-{n}": one for n, one in enumerate(routes)},
        "services": {},
        "limits": {
            "max-header-bytes": 4096,
            "max-body-bytes": 100_000,
            "header-timeout": "500ms",
            "idle-timeout": "5000ms",
        },
        "tenants": tenants or {},
    }


CLUBS = {
    "clubs": {"api-keys": ["key-1", "key-2"], "rate-per-s": 0, "burst": 0},
}


class RelayFleet:
    """Fake store and hosts, each with a node and a fake backend server."""

    def __init__(
        self, services, scripts=None, revoke_seconds=5.0, page=50, **node_settings
    ):
        self._network = next(_networks) % 250
        self.services = services
        self.store = StoreStandIn(page)
        self.servers = [ServerStandIn(script) for script in scripts or [None] * 9]
        self.nodes = []
        self.counters = []
        self._revoke = revoke_seconds
        self._node_settings = node_settings
        self._store_address = ""
        self._callers = []

    def host(self, n):
        return f"127.{NETWORK + WORKER}.{self._network}.{n + 1}"

    def address(self, n):
        return f"{self.host(n)}:8105"

    async def start(self, config):
        self.store.put("op/config", config)
        self._store_address = await self.store.start(self.host(249))
        for n, _ in enumerate(self.services):
            await self.servers[n].start(self.address(n))
            self.list_server(n)
        for n, _ in enumerate(self.services):
            await self.start_node(n)
        await self.until(lambda: all(node.ready for node in self.nodes))
        fleet_views = [node._fleet_view for node in self.nodes]
        count = len(self.services)
        await self.until(
            lambda: all(len(b.directory.servers) == count for b in fleet_views)
        )

    def settings(self, n):
        host = self.host(n)
        return RelaySettings(
            host=f"host-{n}",
            zone=f"z{n % 2}",
            callers=f"{host}:8101",
            peers=f"{host}:8102",
            readiness=f"{host}:8103",
            metrics=f"{host}:8104",
            backend_service=self.services[n],
            backend_address=self.address(n),
            platform_address=self._store_address,
            revoke_seconds=self._revoke,
            grace_seconds=3.0,
            **self._node_settings,
        )

    async def start_node(self, n, **changed):
        settings = dataclasses.replace(self.settings(n), **changed)
        counters = Counters()
        source = MetadataStore(
            settings.platform_address, counters, settings.evacuation_seconds is not None
        )
        node = RelayNode(settings, source, PLATFORM_HEADERS, READINESS_PATH, counters)
        await node.start()
        self.nodes.append(node)
        self.counters.append(counters)

    def list_server(self, n, state="ready", **fields):
        entry = {
            "service": self.services[n],
            "address": self.address(n),
            "zone": f"z{n % 2}",
            "version": "v1",
            "slots": 8,
            "state": state,
            "warmup-left": "0ms",
            "sequence": 1,
            "born": 1000 + n,
            **fields,
        }
        self.store.put(f"servers/i-{n}", entry)

    async def stop(self):
        for writer in self._callers:
            writer.close()
        for node in self.nodes:
            await node.abort()
        for server in self.servers:
            server.abort()
        await self.store.stop()

    async def until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self, n=0):
        """Connect as a caller; `stop` closes what is still open."""
        reader, writer = await asyncio.open_connection(self.host(n), 8101)
        self._callers.append(writer)
        return reader, writer

    async def ask(
        self, path, n=0, method="GET", key="key-1", body=b"", request_id="q1", extra=""
    ):
        """Send a request and return the status, head and body of its answer."""
        reader, writer = await self.connect(n)
        writer.write(request_bytes(path, method, key, body, request_id, extra))
        try:
            return await read_answer(reader, method)
        finally:
            writer.close()


async def read_answer(reader, method="GET"):
    """Return the status, head and body of the next answer."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0 if method == "HEAD" else int(field(head, "content-length") or 0)
        body = await reader.readexactly(length)
    return int(head.split()[1]), head, body


class RelayTestCase(LoopTestCase):
    """Test case that runs each scenario against a new fleet."""

    def run_scenario(self, scenario, services=("svc",), config=None, **options):
        async def run():
            fleet = RelayFleet(list(services), **options)
            routes = [route("svc", "/"), route("svc", "/once/", kind="non_idempotent")]
            default = configuration(1, routes, CLUBS)
            try:
                await fleet.start(config or default)
                return await scenario(fleet)
            finally:
                await fleet.stop()

        return self.run_loop(run())
