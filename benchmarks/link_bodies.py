"""Cost of bodies on the links between nodes, against another checkout in one run.

Run with ``python -m benchmarks.link_bodies --before CHECKOUT``. Each round measures the
other checkout and then this one, in processes of their own: processor time of both
nodes and median and 99th percentile of the caller's time for each call, and bytes on
the link, for small messages and bodies of several sizes. Then an upload of 64 MiB over
a link of 100 Mbit/s, beside callers with small requests and bookings, on nodes with 200
MB: the statuses, the times of the small requests, and the peak memory of the nodes.
"""

import argparse
import asyncio
import importlib.util
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import uvloop

from benchmarks.relay_cost import _ProcessFleet
from benchmarks.relay_uploads import _peak_memory
from tests.relay_fleet import CLUBS, configuration, ok, route

ROOT = Path(__file__).resolve().parent.parent
MEGABYTE = 1_000_000
MEBIBYTE = 1024 * 1024
LINK_BYTES_PER_SECOND = 100e6 / 8
CASES = (
    ("small", 0, 0, 3000, 16),
    ("upload 1 MB", 1, 0, 60, 4),
    ("upload 16 MB", 16, 0, 8, 1),
    ("upload 60 MB", 60, 0, 4, 1),
    ("answer 1 MB", 0, 1, 60, 4),
    ("answer 16 MB", 0, 16, 8, 1),
)
"""Name, megabytes of the request and of the answer, calls, callers at once. Answers
have at most 32 MiB."""

BYTES_CALLS = 4
"""Calls whose bytes are counted on the link."""


def _script(request):
    found = request.partition(b"/answer/")[2]
    if not found:
        return ok(request)
    return ok(request, b"x" * (int(found.partition(b" ")[0]) * MEGABYTE))


def _load_slow_link():
    """Return the class of the slow link, which the other checkout may not have."""
    path = ROOT / "tests" / "slow_link.py"
    spec = importlib.util.spec_from_file_location("slow_link", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.SlowLink


async def _start_fleet():
    fleet = _ProcessFleet(uvloop.new_event_loop)
    fleet.servers[1]._script = _script
    long = {"timeout": "60000ms", "target-latency": "60000ms", "max-attempts": 1}
    routes = [route("far", "/up/", kind="upload", **long), route("far", "/", **long)]
    config = configuration(1, routes, CLUBS)
    config["limits"]["max-body-bytes"] = 64 * MEBIBYTE
    await fleet.start(config)
    return fleet


async def _ask(fleet, connection, number, upload, answer, timeout_ms=60_000):
    reader, writer = connection
    path = b"/up/a" if upload else b"/answer/%d" % answer if answer else b"/a"
    writer.write(
        b"POST %b HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
        b"X-Timeout-Ms: %d\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n"
        % (path, number, timeout_ms, upload)
    )
    if upload:
        writer.write(b"x" * upload)
    began = time.perf_counter()
    head = await reader.readuntil(b"\r\n\r\n")
    rest = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    while rest:
        data = await reader.read(MEBIBYTE)
        if not data:
            raise ConnectionError("truncated answer")
        rest -= len(data)
    return int(head.split()[1]), time.perf_counter() - began


async def _measure_case(fleet, name, upload, answer, calls, callers):
    times, statuses = [], Counter()
    counter = iter(range(calls))

    async def caller():
        connection = await fleet.connect(0)
        for n in counter:
            status, took = await _ask(fleet, connection, n, upload * MEGABYTE, answer)
            statuses[status] += 1
            times.append(took)
        connection[1].close()

    before = await fleet.processor_seconds()
    await asyncio.gather(*(caller() for _ in range(callers)))
    spent = await fleet.processor_seconds() - before
    fleet.servers[1].seen.clear()
    times.sort()
    print(
        f"  {name:13} {1e3 * spent / calls:8.3f} ms processor time a call, "
        f"p50 {1e3 * times[len(times) // 2]:7.2f} ms, "
        f"p99 {1e3 * times[int(len(times) * 0.99)]:7.2f} ms, {dict(statuses)}",
        flush=True,
    )


async def _through_link(fleet, rate):
    """Put a proxy in front of the second node, and have its server used through it."""
    link = _load_slow_link()(rate)
    host = fleet.host(101)
    await link.start(host, 8102, (fleet.host(1), 8102))
    fleet.list_server(1, address=f"{host}:8105", sequence=2)
    await asyncio.sleep(2.0)
    return link


async def _measure_bytes(fleet):
    link = await _through_link(fleet, 1e9)
    for name, upload, answer, *_ in CASES:
        before = link.passed_up, link.passed_down
        connection = await fleet.connect(0)
        try:
            for n in range(BYTES_CALLS):
                await _ask(fleet, connection, n, upload * MEGABYTE, answer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            print(f"  {name:13} bytes not counted: {error!r}")
            continue
        up, down = (
            (now - then) / BYTES_CALLS
            for now, then in zip(
                (link.passed_up, link.passed_down), before, strict=True
            )
        )
        print(f"  {name:13} {up:12.0f} bytes to the server's node, {down:12.0f} back")
    await link.stop()


async def _measure_slow_upload():
    """Upload 64 MiB over 100 Mbit/s while others book and view."""
    fleet = await _start_fleet()
    link = await _through_link(fleet, LINK_BYTES_PER_SECOND)
    statuses, times = Counter(), []
    busy = True

    async def client(upload):
        connection = await fleet.connect(0)
        while busy:
            try:
                status, took = await _ask(fleet, connection, 1, upload, 0, 5000)
            except (ConnectionError, asyncio.IncompleteReadError):
                connection = await fleet.connect(0)
                status, took = "no answer", 0.0
            statuses[status] += 1
            times.append(took)
            await asyncio.sleep(0.01)
        connection[1].close()

    try:
        clients = [
            asyncio.ensure_future(client(size)) for size in (0, 0, 300, 300, 300)
        ]
        await asyncio.sleep(1.0)
        connection = await fleet.connect(0)
        began = time.perf_counter()
        try:
            status, _ = await _ask(fleet, connection, 9, 64 * MEBIBYTE, 0, 12_000)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            status = repr(error)
        took = time.perf_counter() - began
        busy = False
        await asyncio.gather(*clients)
        peaks = [_peak_memory(process.pid) for process in fleet.processes]
    finally:
        await link.stop()
        await fleet.stop()
    times.sort()
    print(
        f"  64 MiB over 100 Mbit/s: {status} after {took:.2f} s; "
        f"others {dict(statuses)}, "
        f"p50 {1e3 * times[len(times) // 2]:.1f} ms, "
        f"p99 {1e3 * times[int(len(times) * 0.99)]:.1f} ms; "
        f"peak memory: entry {peaks[0]:.0f} MB, server's node {peaks[1]:.0f} MB"
    )


async def _measure_sizes():
    fleet = await _start_fleet()
    try:
        await _measure_case(fleet, "(warm-up)", 0, 0, 500, 16)
        for case in CASES:
            await _measure_case(fleet, *case)
        peaks = [_peak_memory(process.pid) for process in fleet.processes]
        print(
            f"  peak memory: entry {peaks[0]:.0f} MB, server's node {peaks[1]:.0f} MB"
        )
        await _measure_bytes(fleet)
    finally:
        await fleet.stop()


PARTS = {"sizes": _measure_sizes, "slow": _measure_slow_upload}


def main():
    """Measure this checkout, or another one and this one in turn."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--before", default="", help="checkout to compare with")
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--part", choices=PARTS, default="")
    options = parser.parse_args()
    if options.part:
        asyncio.run(PARTS[options.part]())
        return
    for _ in range(options.rounds):
        for name, root in (("before", options.before), ("after", ROOT)):
            if root:
                print(f"{name}: {root}", flush=True)
                _run_parts(str(Path(root).resolve()))


def _run_parts(root):
    """Run each part in a process of its own, whose memory begins small."""
    environment = {**os.environ, "PYTHONPATH": root}
    for part in PARTS:
        words = [sys.executable, __file__, "--part", part]
        subprocess.run(words, cwd=root, env=environment, check=False)


if __name__ == "__main__":
    main()
