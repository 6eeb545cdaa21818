"""Decisions must not depend on the time of day, which may jump."""

import ast
from pathlib import Path
from unittest import mock

from testtools import TestCase

import damaskramp
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, route

ROOT = Path(damaskramp.__file__).parent
DECISION_PACKAGES = ("dispatch", "fleet", "platform", "relay")
TIME_OF_DAY_ATTRIBUTES = {"time", "time_ns", "now", "utcnow", "today", "wall_now"}
CLOCK_OWNERS = {"time", "datetime", "date", "_timers", "timers", "self._timers"}


def time_of_day_reads(path):
    """Return the lines of a module that read the time of day."""
    found = []
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if (
            not isinstance(node, ast.Attribute)
            or node.attr not in TIME_OF_DAY_ATTRIBUTES
        ):
            continue
        owner = ast.unparse(node.value).rpartition(".")[2]
        is_monotonic = node.attr == "now" and owner not in {"datetime", "date"}
        if owner in CLOCK_OWNERS and not is_monotonic:
            found.append(f"{path.name}:{node.lineno}")
    return found


class TestNoTimeOfDay(TestCase):
    def test_decision_packages_do_not_read_the_time_of_day(self):
        for package in DECISION_PACKAGES:
            for path in sorted((ROOT / package).glob("*.py")):
                self.assertEqual([], time_of_day_reads(path))

    def test_check_finds_a_read(self):
        path = ROOT / "core" / "timers.py"
        self.assertNotEqual([], time_of_day_reads(path))


class TestTimeJumps(RelayTestCase):
    def test_requests_and_updates_are_handled_while_the_time_jumps(self):
        limited = {"clubs": {**CLUBS["clubs"], "rate-per-s": 50, "burst": 50}}

        async def scenario(fleet):
            node = fleet.nodes[0]
            statuses = []
            jumps = iter([3e9, 0.0, 2e9, 1.0] * 500)
            with (
                mock.patch("time.time", lambda: next(jumps)),
                mock.patch("time.time_ns", lambda: int(next(jumps) * 1e9)),
            ):
                for n in range(10):
                    statuses.append((await fleet.ask("/a", request_id=f"q{n}"))[0])
                newer = {"clubs": {**limited["clubs"], "api-keys": ["key-1"]}}
                fleet.store.put(
                    "op/config", configuration(2, [route("svc", "/")], newer)
                )
                await fleet.until(lambda: node._fleet_view.version == 2)
                withdrawn = (await fleet.ask("/a", key="key-2"))[0]
                fleet.list_server(0, state="draining")
                await fleet.until(lambda: node._fleet_view.own_server.leaving)
                seen = len(fleet.servers[0].seen)
                leaving = (await fleet.ask("/a"))[0]
                return statuses, withdrawn, leaving, len(fleet.servers[0].seen) - seen

        config = configuration(1, [route("svc", "/")], limited)
        got = self.run_scenario(scenario, config=config)
        self.assertEqual(([200] * 10, 401, 503, 0), got)
