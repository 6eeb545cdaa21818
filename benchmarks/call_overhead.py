"""Time that damaskramp adds to a call, compared with calling the backend directly.

One run measures on loopback: the direct call; the call through one node (entry and
execution on the backend server's host); the call through two nodes (entry on one
host, execution on another). Arrivals are paced independently of responses, so
queueing delay is included. The run also measures the highest sustained rate, the
processor time per call, and memory.

Run: ``python -m benchmarks.call_overhead [--seconds=15]``
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

import numpy as np
from absl import app, flags

from damaskramp.http import HttpClient, HttpRequest
from damaskramp.operations import format_table
from examples.fleet import Fleet, HostSpec
from tests.fleets import KEY, bundle

FLAGS = flags.FLAGS

TARGET_RATE = 107.0
BODY = b"x" * 1024
CLIENTS = 8
RATES = (107.0, 200.0, 400.0, 600.0, 800.0, 1000.0, 1200.0)
MEMBERSHIP = """
[membership]
period_seconds = 1.0
silence_seconds = 16.0
"""
"""Default settings; the small fleets of tests probe more often."""

HOSTS_POLL_SECONDS = 5.0
MIN_ANSWERED_RATIO = 0.98
MAX_P99_SECONDS = 0.05
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024


class PacedCaller:
    """Client that sends requests at a rate and records the time of each."""

    def __init__(self, address: str, target: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port), idle_connections=256)
        headers = ((b"authorization", b"Bearer " + KEY),)
        self._request = HttpRequest("POST", target, headers, BODY)
        self._seconds: list[float] = []
        self._failed = 0

    @property
    def failed(self) -> int:
        """Number of requests that were not answered with 200."""
        return self._failed

    async def run(self, rate: float, seconds: float) -> np.ndarray:
        """Send at a steady rate; return the seconds of each answered request."""
        self._seconds, self._failed = [], 0
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            tasks.append(asyncio.create_task(self._call(due)))
        await asyncio.gather(*tasks)
        return np.array(self._seconds)

    async def run_closed(self, calls: int, parallel: int) -> None:
        """Send `calls` requests, `parallel` of them concurrently."""

        async def worker(count: int) -> None:
            loop = asyncio.get_running_loop()
            for _ in range(count):
                await self._call(loop.time())

        await asyncio.gather(*(worker(calls // parallel) for _ in range(parallel)))

    async def _call(self, due: float) -> None:
        answer = await self._client.request(self._request, 10.0)
        if answer.is_ok() and answer.ok.status == 200:
            self._seconds.append(asyncio.get_running_loop().time() - due)
        else:
            self._failed += 1


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / MIB


def quantiles(seconds: np.ndarray) -> list[float]:
    """Return p50, p99 and p99.9 in milliseconds."""
    return [float(q) * 1000 for q in np.quantile(seconds, [0.5, 0.99, 0.999])]


async def measure(fleet: Fleet) -> None:
    """Run all measurements and print them."""
    memory_at_rest = memory_mib(fleet.node("board-1").pid)
    ways = {
        "direct": PacedCaller(fleet.backend("board-1"), "/board/x"),
        "one node": PacedCaller(fleet.http("board-1"), "/board/x"),
        "two nodes": PacedCaller(fleet.http("desk-1"), "/board/x"),
    }
    for caller in ways.values():
        await caller.run(TARGET_RATE, 2.0)
    await _added(fleet, ways)
    await _highest(ways["two nodes"])
    await ways["one node"].run_closed(FLAGS.calls, CLIENTS)
    after = memory_mib(fleet.node("board-1").pid)
    print(
        f"\nmemory of a node: {memory_at_rest:.0f} MiB at rest, {after:.0f} MiB after"
    )
    print(f"{FLAGS.calls} calls ({ways['one node'].failed} failed)")


async def _added(fleet: Fleet, ways: dict[str, PacedCaller]) -> None:
    rows = []
    base = None
    for name, caller in ways.items():
        pids = [fleet.node(host).pid for host in ("board-1", "desk-1")]
        before = sum(cpu_seconds(pid) for pid in pids)
        seconds = await caller.run(TARGET_RATE, FLAGS.seconds)
        spent = sum(cpu_seconds(pid) for pid in pids) - before
        shown = quantiles(seconds)
        base = base or shown
        added = [value - start for value, start in zip(shown, base, strict=True)]
        rows.append(
            (
                name,
                *(round(value, 2) for value in shown),
                *(round(value, 2) for value in added),
                round(spent / len(seconds) * 1000, 2),
                caller.failed,
            )
        )
    head = ("way", "p50", "p99", "p999", "+p50", "+p99", "+p999", "cpu/call", "failed")
    print(f"milliseconds at {TARGET_RATE:g} calls/s, {FLAGS.seconds:g} s each")
    print(format_table(head, rows))


async def _highest(caller: PacedCaller) -> None:
    rows = []
    highest_rate = 0.0
    for rate in RATES:
        seconds = await caller.run(rate, min(5.0, FLAGS.seconds))
        shown = quantiles(seconds)
        answered = len(seconds) / max(1, len(seconds) + caller.failed)
        rows.append((rate, round(answered, 4), *(round(v, 2) for v in shown)))
        if answered < MIN_ANSWERED_RATIO or shown[1] > MAX_P99_SECONDS * 1000:
            break
        highest_rate = rate
    print("\nthrough two nodes, milliseconds by rate")
    print(format_table(("calls/s", "answered", "p50", "p99", "p999"), rows))
    print(
        f"highest rate held: {highest_rate:g} calls/s "
        "(p99 at most 50 ms, 98 % answered)"
    )


def main(argv: list[str]) -> None:
    """Start two hosts and measure."""
    del argv
    flags_of_backend = {"service_ms": 0, "slots": 256}
    hosts = [
        HostSpec("desk-1", "z1", "desk", flags_of_backend, settings=MEMBERSHIP),
        HostSpec("board-1", "z2", "board", flags_of_backend, settings=MEMBERSHIP),
    ]
    source = bundle().replace("rate = 1000.0", "rate = 1e6")
    source = source.replace("burst = 1000", "burst = 1000000")
    source = source.replace("slots = 8", "slots = 256")
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(Path(directory), hosts, source, 0.0, HOSTS_POLL_SECONDS) as fleet,
    ):
        asyncio.run(measure(fleet))


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 15.0, "length of each measurement")
    flags.DEFINE_integer("calls", 100_000, "calls before memory is read again")
    app.run(main, argv=sys.argv)
