"""Processor time of a request through two nodes: product, forwarder and relay.

Run with ``python -m benchmarks.relay_floor``. Each variant has an entry node and a
node beside the backend server, in separate processes, and the same callers; all are
measured in one run:

- product: `damaskramp-node` with its own interface (homes, bundles, gRPC);
- forwarder: two hops of the project's HTTP server and client on h11, no decisions;
- relay: relay nodes as on the users' platform, with every feature enabled.

The first two variants carry bodies of 1 KiB, the relay carries requests without a body.
"""

import asyncio
import multiprocessing
import tempfile
from itertools import pairwise
from pathlib import Path

import uvloop

from benchmarks.call_overhead import PacedCaller, cpu_seconds
from benchmarks.relay_cost import _load, _ProcessFleet
from damaskramp.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
)
from damaskramp.operations import format_table
from examples.fleet import Fleet, HostSpec
from tests.fleets import bundle
from tests.relay_fleet import CLUBS, configuration, route

REQUESTS = 4000
WARM_REQUESTS = 400
CALLERS = 16
FORWARD_TIMEOUT_SECONDS = 5.0


def _forward(listen, target):
    """Forward each request to a target until the process is terminated."""

    async def run():
        host, _, port = target.rpartition(":")
        client = HttpClient(host, int(port))

        async def handle(request):
            onward = HttpRequest("POST", request.target, (), request.body)
            answer = await client.request(onward, FORWARD_TIMEOUT_SECONDS)
            if answer.is_error():
                return HttpResponse(502)
            return HttpResponse(answer.ok.status, (), answer.ok.body)

        host, _, port = listen.rpartition(":")
        server = HttpServer(HttpServerSettings(), handle)
        await server.start(host, int(port))
        await asyncio.Event().wait()

    asyncio.run(run())


async def _measure_closed_loop(address, pids):
    """Return processor milliseconds per request of the processes that serve it."""
    caller = PacedCaller(address, "/board/x")
    await caller.run_closed(WARM_REQUESTS, CALLERS)
    before = sum(map(cpu_seconds, pids))
    await caller.run_closed(REQUESTS, CALLERS)
    spent = sum(map(cpu_seconds, pids)) - before
    if caller.failed:
        raise RuntimeError(f"{caller.failed} requests failed")
    return 1000 * spent / REQUESTS


def _fleet(directory):
    flags = {"service_ms": 0, "slots": 256}
    hosts = [
        HostSpec("desk-1", "z1", "desk", flags),
        HostSpec("board-1", "z2", "board", flags),
    ]
    source = bundle().replace("rate = 1000.0", "rate = 1e6")
    source = source.replace("burst = 1000", "burst = 1000000")
    return Fleet(Path(directory), hosts, source.replace("slots = 8", "slots = 256"))


def _product_and_forwarder():
    with tempfile.TemporaryDirectory() as directory, _fleet(directory) as fleet:
        pids = [fleet.node(host).pid for host in ("board-1", "desk-1")]
        product = asyncio.run(_measure_closed_loop(fleet.http("desk-1"), pids))
        hops = ["127.99.0.1:8301", "127.99.0.2:8301", fleet.backend("board-1")]
        processes = [
            multiprocessing.Process(target=_forward, args=pair, daemon=True)
            for pair in pairwise(hops)
        ]
        for process in processes:
            process.start()
        try:
            found = asyncio.run(_forwarder(hops[0], [p.pid for p in processes]))
        finally:
            for process in processes:
                process.terminate()
                process.join()
    return product, found


async def _forwarder(address, pids):
    host, _, port = address.rpartition(":")
    client = HttpClient(host, int(port))
    while not (await client.request(HttpRequest("GET", "/"), 1.0)).is_ok():
        await asyncio.sleep(0.05)
    client.close()
    return await _measure_closed_loop(address, pids)


async def _relay():
    fleet = _ProcessFleet(uvloop.new_event_loop)
    try:
        await fleet.start(configuration(1, [route("far", "/")], CLUBS))
        await _load(fleet, WARM_REQUESTS)
        before = await fleet.processor_seconds()
        await _load(fleet, REQUESTS)
        return 1000 * (await fleet.processor_seconds() - before) / REQUESTS
    finally:
        await fleet.stop()


def main():
    """Measure all variants and print the table."""
    product, forwarder = _product_and_forwarder()
    relay = asyncio.run(_relay())
    rows = [
        (name, round(found, 3), round(found / product, 3))
        for name, found in (
            ("product", product),
            ("forwarder", forwarder),
            ("relay", relay),
        )
    ]
    print(format_table(("way", "ms a request", "part of product"), rows))


if __name__ == "__main__":
    main()
