"""``bin/demo``: a load surge on a fleet of three zones, with a table of outcomes."""

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from damaskramp.operations import format_table
from examples import swan_coast
from examples.fleet import Fleet
from examples.load import LoadReport, Phase, run_load

CALM_RATE = 80.0
SURGE_RATE = 480.0
SEED = 7


def main() -> int:
    """Run the demonstration."""
    specs = swan_coast.hosts()
    print(f"starting {len(specs)} hosts in {len(swan_coast.ZONES)} zones ...")
    with tempfile.TemporaryDirectory(prefix="damaskramp-demo-") as directory:
        fleet = Fleet(Path(directory), specs, swan_coast.bundle_source())
        with fleet:
            addresses = [fleet.http(spec.host) for spec in specs]
            phases = [
                Phase("calm", CALM_RATE, 8.0),
                Phase("surge", SURGE_RATE, 10.0),
                Phase("after", CALM_RATE, 8.0),
            ]
            for phase in phases:
                print(f"  {phase.name}: {phase.rate:g} calls/s, {phase.seconds:g} s")
            report = asyncio.run(run_load(addresses, swan_coast.flows(), phases, SEED))
    _print(report)
    return 0


def _print(report: LoadReport) -> None:
    print()
    print(report.table())
    print()
    rows = []
    for phase in ("calm", "surge", "after"):
        for priority in ("ballots", "draws", "reading"):
            rows.append((phase, priority, *_totals(report, phase, priority)))
    head = ("phase", "class", "sent", "served", "over rate", "shed", "unknown", "other")
    print(format_table(head, rows))


def _totals(report: LoadReport, phase: str, priority: str) -> list[int]:
    """Count requests of a class: sent, served, and unserved by cause."""
    counts: Counter = Counter()
    for (name, _, kind), counter in report.outcomes.items():
        if (name, kind) == (phase, priority):
            counts.update(counter)
    over = counts["not-run: team_over_rate"]
    refused = sum(n for why, n in counts.items() if why.startswith("not-run"))
    unknown = sum(n for why, n in counts.items() if why.startswith("unknown"))
    served, sent = counts["served"], counts.total()
    shed = refused - over
    return [sent, served, over, shed, unknown, sent - served - refused - unknown]


if __name__ == "__main__":
    sys.exit(main())
