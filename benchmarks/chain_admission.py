"""Chains of calls while the deepest service rejects requests, against commit aca1822.

Run with ``python -m benchmarks.chain_admission``. Both versions play the same seeded
scenario of `chain_fleet`, with the nodes' own decisions under a virtual clock, in
separate processes of one run.
"""

import argparse
import json
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

BASELINE = "aca1822"
ROOT = Path(__file__).parents[1]
MODEL = ("chain_fleet", "chain_host", "chain_scenario", "chain_server")
"""Modules of the model, which run with the code of both versions."""


def extract_baseline(directory):
    """Write the code of the baseline commit, and the model, to a directory."""
    archive = ["git", "-C", str(ROOT), "archive", BASELINE, "damaskramp"]
    packed = subprocess.run(archive, check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", directory], input=packed, check=True)
    target = Path(directory) / "benchmarks"
    target.mkdir()
    (target / "__init__.py").touch()
    for name in MODEL:
        shutil.copy(ROOT / "benchmarks" / f"{name}.py", target)


def play(directory, scenario, *options):
    """Run one play with the code in a directory and return its result."""
    command = [sys.executable, "-m", "benchmarks.chain_fleet", json.dumps(scenario)]
    environment = {**os.environ, "PYTHONPATH": str(directory)}
    done = subprocess.run(
        [*command, *options],
        check=True,
        capture_output=True,
        cwd=directory,
        env=environment,
    )
    return json.loads(done.stdout)


def main():
    """Print the figures of each version side by side."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--scenario", default="{}", help="JSON fields of Scenario")
    parser.add_argument("--counters", action="store_true")
    parser.add_argument("--only", default="", help="baseline, off or on")
    arguments = parser.parse_args()
    scenario = json.loads(arguments.scenario)
    results = {}
    with tempfile.TemporaryDirectory() as directory:
        extract_baseline(directory)
        versions = {
            "baseline": (directory,),
            "off": (ROOT,),
            "on": (ROOT, "--chain-control"),
        }
        for name, (code, *options) in versions.items():
            if arguments.only in ("", name):
                results[name] = play(code, scenario, *options)
    print(f"{'':26}" + "".join(f"{name:>12}" for name in results))
    keys = ["figures", "counters"] if arguments.counters else ["figures"]
    for key in keys:
        names = sorted({name for result in results.values() for name in result[key]})
        for name in names:
            row = [result[key].get(name, 0.0) for result in results.values()]
            print(f"{name:26}" + "".join(f"{value:12.4g}" for value in row))


if __name__ == "__main__":
    main()
