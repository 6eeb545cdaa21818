"""Cost of at-most-once execution, and availability in a zone cut, by kind of id.

Measures the processor time that the home adds to a call, the memory of a stored
claim, the time of complete calls through real nodes, the share of new requests refused
during a zone cut, and the share with outcome *unknown* without faults.

Run: ``python -m benchmarks.dedup [--calls=2000] [--parts=home,memory,calls,cut]``
"""

import asyncio
import itertools
import sys
import tempfile
import time
import tracemalloc
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import numpy as np
from absl import app, flags

from damaskramp.core import Outcome, VirtualTimers
from damaskramp.dedup import ClaimState, ClaimTable, ExecutionLedger, claim_key
from damaskramp.http import HttpClient, HttpRequest
from damaskramp.node.calls import Call, Reply
from damaskramp.node.home_messages import CopyResult, HomeCall, Releaser
from damaskramp.node.tests.fake_fleet import (
    KEYS,
    BackendFate,
    FakeFleet,
    bundle_text,
    bundle_view,
)
from damaskramp.operations import format_table
from examples.fleet import Fleet, HostSpec

FLAGS = flags.FLAGS

CLAIMS_FOR_MEMORY = 50_000
ANSWER = b"x" * 200
CUT_SECONDS = 10_000.0
ACTIVE_TIMEOUT_SECONDS = 60.0
KEY = ((b"authorization", b"Bearer " + KEYS["clubs"]),)


class Ids:
    """Source of new request ids of each kind."""

    def __init__(self, issue: Callable[[], str], wall_now: Callable[[], float]) -> None:
        self._numbers = itertools.count()
        self._wall_now = wall_now
        self._issue = issue

    def make(self, kind: str) -> str:
        """Return a new id of a kind; empty for the kind ``none``."""
        number = next(self._numbers)
        if kind == "issued":
            return self._issue()
        if kind == "uuid7":
            value = int(self._wall_now() * 1000) << 80 | 7 << 76 | 2 << 62 | number
            return str(uuid.UUID(int=value))
        if kind == "own, zone named":
            return f"drz1~north~own-{number}"
        return "" if kind == "none" else f"own-{number}"


KINDS = ("none", "issued", "uuid7", "own", "own, first marked", "own, zone named")


def booking(kind: str, request_id: str) -> HttpRequest:
    """Build a request with an id of a kind."""
    headers = KEY
    if request_id:
        headers += ((b"idempotency-key", request_id.encode()),)
    if kind == "own, first marked":
        headers += ((b"damaskramp-first-attempt", b"true"),)
    return HttpRequest("POST", "/book/1", headers, b"body")


async def settled_fleet() -> FakeFleet:
    """Build a fake fleet of two zones whose homes cover the history of their ranges."""
    fleet = FakeFleet(1, bundle_view(retention=5.0))
    fleet.build()
    fleet.fate = BackendFate.ANSWERED
    fleet.service_seconds = 0.0
    await fleet.advance(6.0)
    return fleet


async def measure_home(calls: int) -> list[tuple]:
    """Measure the processor time per call of the home alone, without sockets."""
    fleet = await settled_fleet()
    node = fleet.nodes["north-0"]
    node.home.retention = lambda: 1e9
    captured = []
    run = node.router.run

    async def capture(home_call: HomeCall) -> Reply:
        captured.append(home_call)
        return await run(home_call)

    node.entry._homes.run = capture
    await fleet.call("north-0", booking("none", ""))
    return await _time_home(node, captured[0], calls)


class _AnsweringReleaser(Releaser):
    async def dispatch(self, call: Call) -> Reply:
        return Reply(Outcome.ANSWER, status=200, body=ANSWER)


async def _time_home(node: object, home_call: HomeCall, calls: int) -> list[tuple]:
    async def kept(*_: object) -> CopyResult:
        return CopyResult.KEPT

    home = node.home
    home._releaser = _AnsweringReleaser()
    home._held._messages.copy = kept
    home._ranges.owned_since = lambda key: -1e9
    home._is_home_zone = lambda own_id, key: True
    ids = Ids(lambda: node.id_issuer.issue("clubs"), lambda: node.fleet.timers.wall_now)
    rows = []
    for kind in ("issued", "uuid7", "own"):
        home_calls = []
        for _ in range(calls):
            context = replace(home_call.call.context, request_id=ids.make(kind))
            call = replace(home_call.call, context=context)
            home_calls.append(replace(home_call, call=call))
        began = time.process_time()
        for each in home_calls:
            reply = await home.run(each)
        seconds = (time.process_time() - began) / calls
        rows.append((kind, reply.outcome.value, f"{seconds * 1e6:.1f}"))
    return rows


def _settle_with_answer(table: ClaimTable, key: bytes) -> None:
    reply = Reply(Outcome.ANSWER, body=ANSWER + key)
    table.settle(key, ClaimState.ANSWERED, reply, len(ANSWER))


def measure_memory() -> list[tuple]:
    """Measure the memory of one stored claim of each sort, and of one execution."""
    keys = [claim_key("clubs", f"own-{n}") for n in range(CLAIMS_FOR_MEMORY)]
    makers = {
        "claim, running": lambda table, key: None,
        "claim, no answer": lambda table, key: table.settle(key, ClaimState.UNKNOWN),
        "claim, 200 B answer": _settle_with_answer,
    }
    rows = []
    for name, finish in makers.items():
        tracemalloc.start()
        table: ClaimTable = ClaimTable(
            VirtualTimers(), lambda: 600.0, CLAIMS_FOR_MEMORY, 2**30
        )
        for key in keys:
            table.claim(key, bytes(bytearray(key)))
            finish(table, key)
        rows.append((name, f"{tracemalloc.get_traced_memory()[0] / len(keys):.0f}"))
        tracemalloc.stop()
    tracemalloc.start()
    ledger = ExecutionLedger(VirtualTimers(), lambda: 600.0, CLAIMS_FOR_MEMORY)
    for key in keys:
        ledger.record(key)
        ledger.end(key, True)
    rows.append(("execution", f"{tracemalloc.get_traced_memory()[0] / len(keys):.0f}"))
    tracemalloc.stop()
    return rows


async def measure_outcomes(calls: int, cut: bool) -> list[tuple]:
    """Measure the share of each outcome at one entry node of a fake fleet."""
    rows = []
    for kind in KINDS:
        fleet = await settled_fleet()
        entry = fleet.nodes["north-0"]
        issuer, wall = entry.id_issuer, fleet.timers
        ids = Ids(
            lambda id_issuer=issuer: id_issuer.issue("clubs"), lambda t=wall: t.wall_now
        )
        if cut:
            fleet.cut(CUT_SECONDS)
        outcomes: Counter = Counter()
        for _ in range(calls):
            answer = await fleet.call("north-0", booking(kind, ids.make(kind)))
            outcomes[answer.value(b"damaskramp-outcome").decode()] += 1
        fleet.close()
        shares = [f"{outcomes[name] / calls:.4f}" for name in ("answer", "not-run")]
        rows.append((kind, *shares, f"{outcomes['unknown'] / calls:.4f}"))
    return rows


def fleet_hosts() -> list[HostSpec]:
    """Return two hosts in each of two zones."""
    return [
        HostSpec(f"{zone}-{n}", zone, "slots", {"slots": 16, "service_ms": 0.0})
        for zone in ("north", "south")
        for n in (1, 2)
    ]


async def measure_calls(fleet: Fleet, calls: int) -> list[tuple]:
    """Measure complete calls through real nodes, one at a time, alternating kinds."""
    host, _, port = fleet.http("north-1").rpartition(":")
    client = HttpClient(host, int(port))
    issue = HttpRequest("POST", "/damaskramp/request-id", KEY)
    issued = []
    for _ in range(calls):
        answer = await client.request(issue, 5.0)
        issued.append(answer.ok.value(b"damaskramp-request-id").decode())
    ids = Ids(issued.pop, time.time)
    seconds: dict[str, list[float]] = {name: [] for name in ("idempotent", *KINDS)}
    refused: Counter = Counter()
    for _ in range(calls):
        for kind, times in seconds.items():
            request = booking(kind, ids.make(kind))
            if kind == "idempotent":
                request = HttpRequest("POST", "/read/1", KEY, b"body")
            began = time.perf_counter()
            answer = await client.request(request, 5.0)
            times.append(time.perf_counter() - began)
            refused[kind] += answer.is_error() or answer.ok.status != 200
    base = np.quantile(seconds["idempotent"], [0.5, 0.99]) * 1000
    rows = []
    for kind, times in seconds.items():
        middle, high = np.quantile(times, [0.5, 0.99]) * 1000
        added = (f"{middle - base[0]:+.2f}", f"{high - base[1]:+.2f}")
        rows.append((kind, f"{middle:.2f}", f"{high:.2f}", *added, refused[kind]))
    return rows


def run_calls(calls: int) -> list[tuple]:
    """Start a fleet and measure calls through it."""
    text = bundle_text(600.0, True, time.time() - 1.0)
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(Path(directory), fleet_hosts(), text) as fleet,
    ):
        end = time.monotonic() + ACTIVE_TIMEOUT_SECONDS
        while not all(fleet.status(host)["ownership_active"] for host in fleet.hosts):
            if time.monotonic() > end:
                raise TimeoutError("ownership did not become active")
            time.sleep(0.1)
        return asyncio.run(measure_calls(fleet, calls))


def main(argv: list[str]) -> None:
    """Run the chosen parts."""
    del argv
    calls = FLAGS.calls
    if "home" in FLAGS.parts:
        head = ("id", "outcome", "processor us a call")
        print(format_table(head, asyncio.run(measure_home(calls))), "\n")
    if "memory" in FLAGS.parts:
        print(format_table(("kept", "bytes"), measure_memory()), "\n")
    if "calls" in FLAGS.parts:
        head = ("id", "p50 ms", "p99 ms", "p50 added", "p99 added", "not 200")
        print(format_table(head, run_calls(calls)), "\n")
    if "cut" in FLAGS.parts:
        head = ("id", "answer", "not run", "unknown")
        for cut in (False, True):
            print("zone cut" if cut else "no faults")
            rows = asyncio.run(measure_outcomes(min(calls, 1000), cut))
            print(format_table(head, rows), "\n")


if __name__ == "__main__":
    flags.DEFINE_integer("calls", 1000, "calls per kind of id")
    flags.DEFINE_list("parts", ["home", "memory", "calls", "cut"], "parts to run")
    app.run(main, argv=sys.argv)
