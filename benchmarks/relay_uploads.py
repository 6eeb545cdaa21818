"""Memory and time of many large concurrent uploads through two relay nodes.

Run with ``python -m benchmarks.relay_uploads``. Two nodes run in separate processes;
callers send their bodies simultaneously to one node, and the backend server is beside
the other. The benchmark prints the peak resident memory of each process, the statuses,
and the processor time per megabyte.
"""

import argparse
import asyncio
import time
from collections import Counter

import uvloop

from benchmarks.relay_cost import _ProcessFleet
from tests.relay_fleet import CLUBS, configuration, route

MEBIBYTE = 1024 * 1024
MEMORY_MB = 200
"""Memory of the smallest host; the nodes' budgets are fractions of it."""

DEADLINE_MS = 60_000
"""Deadline that is long enough to serve all uploads one after the other."""


def _peak_memory(pid):
    """Return the peak resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return 0.0


async def _upload(fleet, n, body):
    reader, writer = await fleet.connect(0)
    writer.write(
        b"POST /far/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
        b"X-Timeout-Ms: %d\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n"
        % (n, DEADLINE_MS, len(body))
    )
    writer.write(body)
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return type(error).__name__
    finally:
        writer.close()
    return int(head.split()[1])


async def _measure(uploads, size):
    fleet = _ProcessFleet(uvloop.new_event_loop)
    path = route("far", "/far/", kind="upload", timeout=f"{DEADLINE_MS}ms")
    config = configuration(1, [path], CLUBS)
    config["limits"]["max-body-bytes"] = 64 * MEBIBYTE
    await fleet.start(config)
    try:
        body = b"x" * size
        at_rest = [_peak_memory(process.pid) for process in fleet.processes]
        spent, began = await fleet.processor_seconds(), time.perf_counter()
        statuses = Counter(
            await asyncio.gather(*(_upload(fleet, n, body) for n in range(uploads)))
        )
        took, spent = (
            time.perf_counter() - began,
            await fleet.processor_seconds() - spent,
        )
        peaks = [_peak_memory(process.pid) for process in fleet.processes]
        whole = sum(len(request) > size for request in fleet.servers[1].seen)
    finally:
        await fleet.stop()
    megabytes = uploads * size / MEBIBYTE
    print(f"{uploads} uploads of {size / MEBIBYTE:.2f} MB, {took:.1f} s: {statuses}")
    print(
        f"  whole at the server: {whole}; "
        f"processor {1000 * spent / megabytes:.2f} ms/MB"
    )
    for name, rest, peak in zip(("entry", "server"), at_rest, peaks, strict=True):
        print(f"  {name}: {rest:.0f} MB at rest, {peak:.0f} MB at its peak")


def main():
    """Measure the given number and size of uploads."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--uploads", type=int, default=200)
    parser.add_argument("--megabytes", type=float, default=4.0)
    options = parser.parse_args()
    asyncio.run(_measure(options.uploads, int(options.megabytes * MEBIBYTE)))


if __name__ == "__main__":
    main()
