"""Processor time of a small call through two nodes, of two checkouts in turns.

Run with ``python -m benchmarks.relay_compare BEFORE AFTER --turns 100``. Both checkouts
have their nodes running at the same time and get the calls of a turn one after the
other, so that other load on the machine falls on both alike. The nodes of the second
checkout have the addresses of the next ``DAMASKRAMP_TEST_NETWORK``.
"""

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import time

import uvloop

from benchmarks import relay_cost
from tests.relay_fleet import CLUBS, configuration, read_answer, route

CALLS = 1000
CALLERS = 8
"""Callers at once: as many as the server has slots, so that none is refused."""


async def _load(fleet, calls):
    """Send calls; return their times in seconds."""
    times, numbers = [], iter(range(calls))

    async def caller():
        reader, writer = await fleet.connect(0)
        for n in numbers:
            began = time.perf_counter()
            writer.write(relay_cost.REQUEST % (b"/a", n, n))
            await read_answer(reader)
            times.append(time.perf_counter() - began)
        writer.close()

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return sorted(times)


async def _serve_turns():
    """Measure one turn for each line of the input, and print its figures."""
    fleet = relay_cost._ProcessFleet(uvloop.new_event_loop)
    loop = asyncio.get_running_loop()
    try:
        await fleet.start(configuration(1, [route("far", "/")], CLUBS))
        await _load(fleet, CALLS)
        print("ready", flush=True)
        while (await loop.run_in_executor(None, sys.stdin.readline)).strip():
            before = await fleet.processor_seconds()
            times = await _load(fleet, CALLS)
            spent = await fleet.processor_seconds() - before
            print(spent, times[int(CALLS * 0.99)], flush=True)
    finally:
        await fleet.stop()


def _start(number, root):
    network = int(os.environ.get("DAMASKRAMP_TEST_NETWORK", "77")) + number
    environment = {
        **os.environ,
        "PYTHONPATH": root,
        "DAMASKRAMP_TEST_NETWORK": str(network),
    }
    child = subprocess.Popen(
        [sys.executable, os.path.abspath(__file__), "--serve"],
        cwd=root,
        env=environment,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    if child.stdout.readline().strip() != "ready":
        raise SystemExit(f"{root}: the nodes did not start")
    return child


def _turn(child):
    child.stdin.write("go\n")
    child.stdin.flush()
    return [float(word) for word in child.stdout.readline().split()]


def _compare(roots, turns):
    children = [_start(n, os.path.abspath(root)) for n, root in enumerate(roots)]
    results = [[], []]
    for turn in range(turns):
        for n in (0, 1) if turn % 2 else (1, 0):
            results[n].append(_turn(children[n]))
    for child in children:
        child.communicate("\n")
    for root, result in zip(roots, results, strict=True):
        spent = statistics.median(one[0] for one in result)
        p99 = statistics.median(one[1] for one in result)
        print(f"{root}: {1e3 * spent / CALLS:.4f} ms a call, p99 {1e3 * p99:.2f} ms")
    pairs = zip(*results, strict=True)
    ratio = statistics.median(after[0] / before[0] for before, after in pairs)
    print(f"processor time of the second by that of the first: {ratio:.3f} (median)")


def main():
    """Compare two checkouts."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("checkouts", nargs="*")
    parser.add_argument("--turns", type=int, default=100)
    parser.add_argument("--serve", action="store_true")
    options = parser.parse_args()
    if options.serve:
        asyncio.run(_serve_turns())
    elif len(options.checkouts) != 2:
        parser.error("two checkouts are needed")
    else:
        _compare(options.checkouts, options.turns)


if __name__ == "__main__":
    main()
