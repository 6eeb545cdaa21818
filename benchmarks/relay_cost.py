"""Processor time of a request through two relay nodes, by event loop and log rate.

Run with ``python -m benchmarks.relay_cost``. Two nodes run in separate processes; a
backend server and a store run in this process. For each event loop, the benchmark
prints the processor time of both nodes per request, and the times seen by the caller.
Then, with uvloop, half of the requests go to a route whose server fails them, with
logs off, with the default limit, and without a limit; lines are written to a file.
``--profile FILE`` makes each node write a profile to ``FILE`` with its number appended.
"""

import argparse
import asyncio
import cProfile
import logging
import multiprocessing
import os
import resource
import statistics
import tempfile
import time
from dataclasses import replace

import uvloop

from damaskramp.core import Counters
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH, MetadataStore
from damaskramp.relay.decision_log import NonBlockingHandler
from damaskramp.relay.node import RelayNode
from tests.relay_fleet import (
    CLUBS,
    RelayFleet,
    configuration,
    ok,
    read_answer,
    route,
)

REQUESTS = 8000
CALLERS = 16
REQUEST = (
    b"GET %b/%d HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%d\r\n"
    b"X-Timeout-Ms: 5000\r\nAuthorization: Token key-1\r\n\r\n"
)
LOG_RATE_LIMITS = {"off": 0.0, "default": 20.0, "full": 1e6}
"""Limits on log lines per second about single decisions."""


def _refuse_some(request):
    """Answer as a server that fails each request under /bad."""
    if request.startswith(b"GET /bad"):
        return ok(request, status=b"500 Internal Server Error")
    return ok(request)


def _serve(settings, pipe, loop, profile, log_file):
    """Run one node in this process; report its processor time on request."""
    profiler = cProfile.Profile() if profile else None
    if log_file:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        handler = NonBlockingHandler(os.open(log_file, flags), Counters())
        logging.basicConfig(level=logging.INFO, handlers=[handler])

    async def run():
        counters = Counters()
        source = MetadataStore(settings.platform_address, counters)
        node = RelayNode(settings, source, PLATFORM_HEADERS, READINESS_PATH, counters)
        await node.start()
        while not node.ready:
            await asyncio.sleep(0.01)
        pipe.send("ready")
        while True:
            while not pipe.poll():
                await asyncio.sleep(0.05)
            if pipe.recv() == "stop":
                return
            pipe.send(_processor_seconds())

    if profiler is not None:
        profiler.enable()
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(run())
    if profiler is not None:
        profiler.disable()
        profiler.dump_stats(profile)


def _processor_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class _ProcessFleet(RelayFleet):
    """Relay fleet that runs each node in a separate process."""

    def __init__(self, loop, profile="", log_rate_limit=None, log_file=""):
        super().__init__(["svc", "far"], [None, _refuse_some])
        self._loop = loop
        self._profile = profile
        self._log_rate_limit = log_rate_limit
        self._log_file = log_file
        self.pipes = []
        self.processes = []

    async def start_node(self, n):
        here, there = multiprocessing.Pipe()
        profile = f"{self._profile}.{n}" if self._profile else None
        settings = self.settings(n)
        if self._log_rate_limit is not None:
            settings = replace(settings, log_lines_per_second=self._log_rate_limit)
        arguments = (settings, there, self._loop, profile, self._log_file)
        process = multiprocessing.Process(target=_serve, args=arguments)
        process.start()
        self.processes.append(process)
        self.pipes.append(here)

    async def start(self, config):
        await super().start(config)
        for pipe in self.pipes:
            await self.until(pipe.poll)
            pipe.recv()

    async def processor_seconds(self):
        total = 0.0
        for pipe in self.pipes:
            pipe.send("used")
            await self.until(pipe.poll)
            total += pipe.recv()
        return total

    async def stop(self):
        for pipe, process in zip(self.pipes, self.processes, strict=True):
            pipe.send("stop")
            process.join()
        await super().stop()


async def _load(fleet, requests, paths=(b"/a",)):
    times = []
    counter = iter(range(requests))

    async def caller():
        reader, writer = await fleet.connect(0)
        for n in counter:
            began = time.perf_counter()
            path = paths[n % len(paths)]
            writer.write(REQUEST % (path, n, n))
            status, _, _ = await read_answer(reader)
            assert status == (500 if path == b"/bad" else 200), status
            times.append(time.perf_counter() - began)
        writer.close()

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return times


async def _measure(name, loop, profile):
    fleet = _ProcessFleet(loop, profile)
    try:
        await fleet.start(configuration(1, [route("far", "/")], CLUBS))
        await _load(fleet, 500)
        before = await fleet.processor_seconds()
        times = sorted(await _load(fleet, REQUESTS))
        spent = await fleet.processor_seconds() - before
        idle_from = await fleet.processor_seconds()
        await asyncio.sleep(5.0)
        idle = await fleet.processor_seconds() - idle_from
    finally:
        await fleet.stop()
    p99 = times[int(len(times) * 0.99)]
    print(
        f"{name:12} {1e3 * spent / REQUESTS:7.3f} ms processor time a request, "
        f"p50 {1e3 * statistics.median(times):6.2f} ms, p99 {1e3 * p99:6.2f} ms, "
        f"{100 * idle / 5.0 / 2:5.2f} % of a core idle"
    )


async def _measure_logs(name, bound):
    with tempfile.NamedTemporaryFile() as file:
        fleet = _ProcessFleet(uvloop.new_event_loop, "", bound, file.name)
        try:
            await fleet.start(configuration(1, [route("far", "/")], CLUBS))
            paths = (b"/a", b"/bad")
            await _load(fleet, 500, paths)
            before, began = await fleet.processor_seconds(), time.perf_counter()
            file.read()
            await _load(fleet, REQUESTS, paths)
            took = time.perf_counter() - began
            spent = await fleet.processor_seconds() - before
            lines = len(file.read().splitlines())
        finally:
            await fleet.stop()
    print(
        f"logs {name:8} {1e3 * spent / REQUESTS:7.3f} ms processor time a request, "
        f"half of them failed, {lines / took:8.1f} lines a second from both nodes"
    )


def main():
    """Measure the relay on both event loops and at each log rate limit."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", default="")
    profile = parser.parse_args().profile
    asyncio.run(_measure("uvloop", uvloop.new_event_loop, profile))
    if not profile:
        asyncio.run(_measure("asyncio", asyncio.new_event_loop, profile))
        for name, bound in LOG_RATE_LIMITS.items():
            asyncio.run(_measure_logs(name, bound))


if __name__ == "__main__":
    main()
