"""Cost of an idle relay node by fleet size.

Run with ``python -m benchmarks.relay_idle [--sizes 12,48,200]
[--evacuation-seconds 5]``; with the latter, nodes read evacuations. Run as
``PYTHONPATH=DIRECTORY python benchmarks/relay_idle.py``, it measures the nodes of
another checkout, also of one that knows no evacuations.

Several processes run the nodes, each node at its own loopback address; the stand-in of
the store runs in this process. For each size, the benchmark prints the processor time
of a node as a fraction of a core, the bytes per second that it sends to other nodes,
the calls of all nodes to the store, and the greatest age of the configuration at any
node. No requests are sent meanwhile.
"""

import argparse
import asyncio
import multiprocessing
from dataclasses import dataclass, replace

from benchmarks.relay_cost import _processor_seconds
from damaskramp.core import Counters
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH, MetadataStore
from damaskramp.relay.message_stream import MessageStream
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings
from tests.relay_fleet import CLUBS, StoreStandIn, configuration, route

NODES_PER_PROCESS = 25
SETTLE_SECONDS = 15.0
MEASURE_SECONDS = 15.0
SAMPLE_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True)
class Usage:
    """Resource usage of the nodes of one process during the measurement."""

    processor_seconds: float
    sent_bytes: int
    store_calls: int
    max_configuration_age: float


def _host(n):
    return f"127.88.{n // 200}.{n % 200 + 1}"


def _zones(size):
    return max(3, min(8, size // 25))


def _settings(n, size, store):
    host = _host(n)
    return RelaySettings(
        host=f"host-{n}",
        zone=f"z{n % _zones(size)}",
        callers=f"{host}:8101",
        peers=f"{host}:8102",
        readiness=f"{host}:8103",
        metrics=f"{host}:8104",
        backend_service="svc",
        backend_address=f"{host}:8105",
        platform_address=store,
    )


def _count_sent_bytes():
    """Make links between nodes sum the bytes they write; return a list with the sum."""
    sent = [0]
    flush = MessageStream._flush

    def counted(stream):
        sent[0] += sum(map(len, stream._out))
        flush(stream)

    MessageStream._flush = counted
    return sent


def _run_nodes(numbers, size, store, evacuation_seconds, pipe):
    sent = _count_sent_bytes()

    async def run():
        counters = Counters()
        nodes = []
        for n in numbers:
            settings = _settings(n, size, store)
            source = MetadataStore(store, counters)
            if evacuation_seconds is not None:
                settings = replace(settings, evacuation_seconds=evacuation_seconds)
                source = MetadataStore(store, counters, True)
            nodes.append(
                RelayNode(settings, source, PLATFORM_HEADERS, READINESS_PATH, counters)
            )
            await nodes[-1].start()
        await asyncio.sleep(SETTLE_SECONDS)
        before, sent_before = _processor_seconds(), sent[0]
        calls_before = counters.values.get(("store_calls", ""), 0)
        max_age = 0.0
        for _ in range(round(MEASURE_SECONDS / SAMPLE_INTERVAL_SECONDS)):
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            max_age = max(max_age, *(node._fleet_view.freshness.age for node in nodes))
        pipe.send(
            Usage(
                _processor_seconds() - before,
                sent[0] - sent_before,
                counters.values.get(("store_calls", ""), 0) - calls_before,
                max_age,
            )
        )

    asyncio.run(run())


async def _measure(size, evacuation_seconds):
    store = StoreStandIn()
    store.put("op/config", configuration(1, [route("svc", "/")], CLUBS))
    for n in range(size):
        entry = {
            "service": "svc",
            "address": f"{_host(n)}:8105",
            "zone": f"z{n % _zones(size)}",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup-left": "0ms",
            "sequence": 1,
            "born": 1000 + n,
        }
        store.put(f"servers/i-{n}", entry)
    address = await store.start("127.88.255.1")
    pipes, processes = [], []
    for first in range(0, size, NODES_PER_PROCESS):
        numbers = range(first, min(size, first + NODES_PER_PROCESS))
        here, there = multiprocessing.Pipe()
        arguments = (numbers, size, address, evacuation_seconds, there)
        process = multiprocessing.Process(target=_run_nodes, args=arguments)
        process.start()
        pipes.append(here)
        processes.append(process)
    found = []
    for pipe, process in zip(pipes, processes, strict=True):
        while not pipe.poll():
            if not process.is_alive() and not pipe.poll():
                raise SystemExit("a process of nodes has ended without a result")
            await asyncio.sleep(0.1)
        found.append(pipe.recv())
    for process in processes:
        while process.is_alive():
            await asyncio.sleep(0.1)
    await store.stop()
    share = sum(u.processor_seconds for u in found) / size / MEASURE_SECONDS
    sent = sum(u.sent_bytes for u in found) / size / MEASURE_SECONDS
    calls = sum(u.store_calls for u in found) / MEASURE_SECONDS
    max_age = max(u.max_configuration_age for u in found)
    print(
        f"{size:4} nodes: {100 * share:5.2f} % of a core a node, "
        f"{sent / 1024:5.2f} KB/s sent a node, {calls:5.1f} calls to the store a "
        f"second, oldest proof {max_age:4.2f} s",
        flush=True,
    )


def main():
    """Measure each fleet size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="12,48,200")
    parser.add_argument("--evacuation-seconds", type=float, default=None)
    flags = parser.parse_args()
    for size in flags.sizes.split(","):
        asyncio.run(_measure(int(size), flags.evacuation_seconds))


if __name__ == "__main__":
    main()
