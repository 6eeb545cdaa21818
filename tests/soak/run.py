"""Command line of the fault soak: ``bin/soak --seeds=N --seconds=S``."""

import asyncio
import logging
import shutil
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from tests.soak.callers import Caller
from tests.soak.checker import Bounds
from tests.soak.checks import check
from tests.soak.faults import FaultInjector
from tests.soak.fleet import SoakFleet
from tests.soak.mutants import MUTANTS
from tests.soak.record import Record
from tests.soak.schedule import Schedule, make_schedule, with_clear_event

__all__ = ["REGRESSIONS_FOLDER", "main", "run_schedule", "shrink"]

SEEDS = flags.DEFINE_integer("seeds", 1, "number of seeds to run", lower_bound=1)
SEED = flags.DEFINE_integer("seed", None, "first seed; the time of day if not given")
SECONDS = flags.DEFINE_float("seconds", 30.0, "time with faults of each run, seconds")
NODES = flags.DEFINE_integer("nodes", 6, "number of hosts", lower_bound=2)
CALLERS = flags.DEFINE_integer("callers", 3, "callers of each host", lower_bound=1)
REPLAY = flags.DEFINE_string("replay", None, "saved schedule to run instead of seeds")
SHRINK = flags.DEFINE_bool("shrink", False, "drop events from a schedule that fails")
MUTANT = flags.DEFINE_enum(
    "mutant", "", ["", *MUTANTS], "planted fault of the nodes that is to be caught"
)
REGRESSIONS = flags.DEFINE_bool(
    "regressions", False, "run the schedules of all seeds that have failed"
)
KEEP = flags.DEFINE_string("keep", "soak-failures", "folder for failing runs")

REGRESSIONS_FOLDER = Path(__file__).parent / "regressions"
"""Schedules of seeds that have failed, each with its cause."""

SAMPLE_SECONDS = 0.1
CALM_SECONDS = 1.0
"""Time after the last event in which callers go on before the fleet is checked."""

PROBE_SECONDS = 0.25


async def _watch_processes(fleet):
    """Sample memory and descriptors, and note processes that end by themselves."""
    ended = set()
    while True:
        for host in fleet.hosts:
            host.measure()
            process = host.process
            gone = process is not None and process.poll() is not None
            if gone and not host.expected_end and process.pid not in ended:
                ended.add(process.pid)
                detail = f"exit code {process.returncode}"
                fleet.record.add_notice("node ended by itself", host.number, detail)
                host.start_node()
        await asyncio.sleep(SAMPLE_SECONDS)


async def _watch_versions(fleet):
    """Read the version that each node states, once a second."""
    while True:
        for host in fleet.hosts:
            starts = len(host.starts)
            version = await fleet.read_version(host)
            if version is not None and starts == len(host.starts):
                fleet.record.add_notice("stated version", host.number, str(version))
        await asyncio.sleep(1.0)


async def _await_recovery(fleet, seconds):
    """Note each host that serves no request within the recovery time."""
    until = fleet.record.now + seconds
    missing = set(fleet.hosts)
    number = 0
    while missing and fleet.record.now < until:
        for host in list(missing):
            number += 1
            if await _serves(fleet, host, f"probe-{host.number}-{number}"):
                missing.discard(host)
        await asyncio.sleep(PROBE_SECONDS)
    for host in missing:
        fleet.record.add_notice("not recovered", host.number)


async def _serves(fleet, host, request_id):
    caller = Caller(fleet, host, request_id)
    try:
        async with asyncio.timeout(3.0):
            await caller.request_once(request_id)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    told = fleet.record.told.get(request_id)
    return told is not None and told.status == 200


async def _run(schedule, folder, mutant, callers):
    record = Record()
    fleet = SoakFleet(schedule.seed, schedule.hosts, folder, record, mutant)
    tasks = []
    try:
        await fleet.start()
        passed = record.restart_clock()
        for host in fleet.hosts:
            host.starts = [at - passed for at in host.starts]
        for coroutine in (
            fleet.keep_listed(),
            _watch_processes(fleet),
            _watch_versions(fleet),
            *(Caller(fleet, h, n).run() for h in fleet.hosts for n in range(callers)),
        ):
            tasks.append(asyncio.ensure_future(coroutine))
        await FaultInjector(fleet, schedule).run()
        await asyncio.sleep(CALM_SECONDS)
        await _await_recovery(fleet, Bounds().recovery)
        broken = [task for task in tasks if task.done()]
        if broken:
            raise RuntimeError("a part of the soak ended") from broken[0].exception()
        return record, check(record, fleet)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        fleet.stop()
        await fleet.store.stop()


def run_schedule(schedule, mutant="", callers=3, keep=None):
    """Run a schedule; return its violations.

    Parameters
    ----------
    keep : Path or None
        Folder in which a failing run leaves its schedule, logs and records.
    """
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    try:
        record, violations = asyncio.run(_run(schedule, folder, mutant, callers))
        print(_summary(record), flush=True)
        if violations and keep is not None:
            target = keep / f"seed-{schedule.seed}"
            target.mkdir(parents=True, exist_ok=True)
            (target / "schedule.json").write_text(schedule.to_json(), "utf-8")
            record.save(target / "records.jsonl")
            for log in folder.glob("*.log"):
                shutil.copy(log, target / log.name)
        return violations
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _summary(record):
    told = [one for name, one in record.told.items() if not record.is_call(name)]
    served = sum(one.status == 200 for one in told)
    runs = sum(arrival.ran for arrival in record.arrivals)
    return f"{len(told)} requests of callers, {served} served, {runs} runs"


def shrink(schedule, fails):
    """Drop events from a schedule while it still fails.

    Parameters
    ----------
    fails : callable
        Returns whether a schedule fails.

    Examples
    --------
    >>> short = shrink(make_schedule(1, 30.0, 4), lambda s: len(s.events) >= 2)
    >>> len(short.events)
    2
    """
    position = 0
    while position < len(schedule.events):
        shorter = schedule.without(position)
        if fails(shorter):
            schedule = shorter
        else:
            position += 1
    return schedule


def _report(schedule, violations, seconds):
    state = "FAILED" if violations else "held"
    events = len(schedule.events)
    print(
        f"seed {schedule.seed}: {state}, {events} events, {seconds:.0f} s", flush=True
    )
    for violation in violations[:20]:
        print(f"  {violation.promise} at {violation.at:.2f} s: {violation.detail}")


def _is_caught(violations):
    promise = MUTANTS[MUTANT.value].promise
    return any(violation.promise == promise for violation in violations)


def _schedules():
    """Return the schedules that the command line asks for."""
    if REPLAY.value:
        return [Schedule.from_json(Path(REPLAY.value).read_text("utf-8"))]
    if REGRESSIONS.value:
        files = sorted(REGRESSIONS_FOLDER.glob("*.json"))
        return [Schedule.from_json(file.read_text("utf-8")) for file in files]
    first = SEED.value if SEED.value is not None else int(time.time())
    schedules = [
        make_schedule(first + number, SECONDS.value, NODES.value)
        for number in range(SEEDS.value)
    ]
    occasion = MUTANTS[MUTANT.value].occasion if MUTANT.value else None
    if occasion is not None:
        schedules = [with_clear_event(s, occasion) for s in schedules]
    return schedules


def main(arguments):
    """Run the seeds, or a saved schedule.

    The exit code is 1 if a promise was broken, or a planted fault was not caught.
    """
    if len(arguments) > 1:
        raise app.UsageError(f"unknown argument {arguments[1]!r}")
    # Faults end many connections while the stand-ins write to them.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    keep = Path(KEEP.value)
    schedules = _schedules()
    failed = 0
    for schedule in schedules:
        started = time.monotonic()
        violations = run_schedule(schedule, MUTANT.value, CALLERS.value, keep)
        _report(schedule, violations, time.monotonic() - started)
        if MUTANT.value and _is_caught(violations):
            caught = MUTANTS[MUTANT.value].promise
            print(f"mutant {MUTANT.value}: {caught} caught it, seed {schedule.seed}")
            return
        if not violations:
            continue
        failed += 1
        print(f"  bin/soak --replay={keep / f'seed-{schedule.seed}' / 'schedule.json'}")
        if SHRINK.value:
            short = shrink(
                schedule, lambda s: bool(run_schedule(s, MUTANT.value, CALLERS.value))
            )
            path = keep / f"seed-{schedule.seed}" / "shrunk.json"
            path.write_text(short.to_json(), "utf-8")
            print(f"  {len(short.events)} events remain: bin/soak --replay={path}")
    print(f"{len(schedules) - failed} passed, {failed} failed")
    if MUTANT.value:
        print(f"mutant {MUTANT.value}: not caught")
    sys.exit(1 if failed or MUTANT.value else 0)


if __name__ == "__main__":
    app.run(main)
