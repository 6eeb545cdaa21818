"""Processor time that a relay node spends besides relaying, by activity and fleet size.

Run with ``python -m benchmarks.fleet_background [--hosts 12,83,300,1400]
[--against DIRECTORY] [--turns 5]``. One node runs under a virtual clock, with links
that end in memory and one backend server on each host. Each activity is run alone, some
hundred times; the lowest mean of all turns counts. With ``--against``, another checkout
of this repository takes turns with this one.

The table holds the microseconds of one run, the runs per second at rest where the
activity is periodic, and the processor time that follows, in parts of a thousand of a
core. An activity that an earlier checkout lacks has no figure for it.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

from benchmarks.background.activities import ACTIVITIES


def _run_worker(directory, hosts):
    # The other checkout has a package `benchmarks` of its own.
    path = os.pathsep.join((str(directory), str(Path(__file__).resolve().parent)))
    environment = {**os.environ, "PYTHONPATH": path}
    done = subprocess.run(
        [sys.executable, "-m", "background.worker", str(hosts)],
        cwd=directory,
        env=environment,
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(done.stdout)


def _lowest(turns):
    return {name: min(one[name] for one in turns) for name in turns[0]}


def _print(hosts, ours, theirs, only):
    print(f"{hosts} hosts")
    total = dict.fromkeys(("ours", "theirs"), 0.0)
    for name, value in ours.items():
        before = theirs.get(name)
        rate = ACTIVITIES[name].per_second if name in ACTIVITIES else 0
        total["ours"] += rate * value
        total["theirs"] += rate * (before or 0.0)
        if only not in name:
            continue
        shares = f"{rate:5.1f}/s {rate * value / 1000:7.3f}" if rate else ""
        compared = f"{before:10.1f}" if before is not None else f"{'-':>10}"
        print(f"  {name:28} {value:10.1f} {compared}  {shares}")
    sums = [f"{total[name] / 1000:10.2f}" for name in ("ours", "theirs")]
    print(f"  {'at rest, 1/1000 of a core':28} {' '.join(sums)}", flush=True)


def main():
    """Measure each fleet size, in turns with the other checkout if there is one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", default="12,83,300,1400")
    parser.add_argument("--against", type=Path, default=None)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--only", default="", help="text in the names to print")
    flags = parser.parse_args()
    here = Path(__file__).resolve().parents[1]
    print("microseconds a run: this checkout, the other; runs and 1/1000 of a core")
    for hosts in map(int, flags.hosts.split(",")):
        ours, theirs = [], []
        for _ in range(flags.turns):
            ours.append(_run_worker(here, hosts))
            if flags.against is not None:
                theirs.append(_run_worker(flags.against.resolve(), hosts))
        missing = set(ACTIVITIES) - set(ours[0])
        if missing:
            raise SystemExit(f"activities that can't be run: {sorted(missing)}")
        found = _lowest(ours), _lowest(theirs) if theirs else {}
        _print(hosts, *found, flags.only)


if __name__ == "__main__":
    main()
