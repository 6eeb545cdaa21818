"""Time until a published bundle is in force, and the cost of an idle node.

The nodes are real processes on loopback and receive no calls. For each number of nodes
in two zones, the benchmark measures the time from publication until a version is in
force at each node, over several versions; the share of a core and the memory of an
idle node; and the open watches at the platform.

Run: ``python -m benchmarks.distribution [--sizes=6,12,24,48]``
"""

import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import numpy as np
import orjson
from absl import app, flags

from benchmarks.call_overhead import (
    HOSTS_POLL_SECONDS,
    MEMBERSHIP,
    cpu_seconds,
    memory_mib,
)
from damaskramp.operations import format_table
from examples.fleet import Fleet, HostSpec
from tests.fleets import bundle

FLAGS = flags.FLAGS

VERSIONS = 5
IDLE_SECONDS = 20.0
SETTLE_SECONDS = 10.0
IN_FORCE_TIMEOUT_SECONDS = 30.0


def measure(size: int) -> tuple[object, ...]:
    """Measure a fleet of a size and return its table row."""
    hosts = [
        HostSpec(
            f"board-{n}", f"z{1 + n % 2}", "board", settings=MEMBERSHIP, external=True
        )
        for n in range(size)
    ]
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(Path(directory), hosts, bundle(), 0.0, HOSTS_POLL_SECONDS) as fleet,
    ):
        time.sleep(SETTLE_SECONDS)
        pids = [fleet.node(host).pid for host in fleet.hosts]
        before = sum(cpu_seconds(pid) for pid in pids)
        time.sleep(IDLE_SECONDS)
        spent = sum(cpu_seconds(pid) for pid in pids) - before
        delays = np.concatenate([_publish(fleet, n + 2) for n in range(VERSIONS)])
        memory = max(memory_mib(pid) for pid in pids)
        watches = _watches(fleet)
    shares = np.quantile(delays, [0.5, 0.99, 1.0])
    return (
        size,
        *(round(float(share), 3) for share in shares),
        round(spent / IDLE_SECONDS / size * 100, 2),
        round(memory),
        watches,
    )


def _publish(fleet: Fleet, version: int) -> np.ndarray:
    """Publish a version; return the seconds until it is in force at each node."""
    start = time.time()
    fleet.publish(bundle(version))
    delays = []
    for host in fleet.hosts:
        end = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        shown = fleet.status(host)["bundle"]
        while shown["version"] < version and time.monotonic() < end:
            time.sleep(0.05)
            shown = fleet.status(host)["bundle"]
        delays.append(shown["in_force_at"] - start)
    return np.array(delays)


def _watches(fleet: Fleet) -> int:
    with urllib.request.urlopen(f"http://{fleet.platform}/stats") as answer:
        return orjson.loads(answer.read())["watches"]


def main(argv: list[str]) -> None:
    """Measure each size and print the table."""
    del argv
    rows = [measure(int(size)) for size in FLAGS.sizes]
    head = ("nodes", "p50 s", "p99 s", "max s", "idle cpu %", "MiB", "watches")
    print(f"{VERSIONS} versions each; two zones")
    print(format_table(head, rows))


if __name__ == "__main__":
    flags.DEFINE_list("sizes", ["6", "12", "24", "48"], "numbers of nodes")
    app.run(main, argv=sys.argv)
