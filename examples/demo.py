"""``bin/demo``: three zones, a calm stretch, a surge, and what became of it."""

import asyncio
import sys
import tempfile
from pathlib import Path

from examples import swan_coast
from examples.fleet import Fleet
from examples.load import LoadReport, Phase, run_load

CALM_RATE = 150.0
SURGE_RATE = 900.0
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
    for phase in ("calm", "surge", "after"):
        served = report.total("served", phase)
        sent = sum(
            counter.total()
            for (name, _, _), counter in report.outcomes.items()
            if name == phase
        )
        print(f"{phase}: {served} of {sent} whole requests served")


if __name__ == "__main__":
    sys.exit(main())
