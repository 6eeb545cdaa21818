"""Membership of real processes that are killed, frozen, leaving or without platform."""

import signal
import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from examples.fleet import Fleet, HostSpec

BUNDLE = """
[bundle]
version = 1
issued = 2026-01-01T00:00:00Z
zones = ["z1", "z2"]
classes = ["high", "low"]

[[teams]]
name = "clubs"
rate = 100.0
burst = 100

[[services]]
name = "desk"
slots = 8
connections = 100
backend_servers = 5

[[routes]]
prefix = "/desk/"
service = "desk"
priority = "low"
idempotent = true
"""

MEMBERSHIP_SETTINGS = "[membership]\nperiod_seconds = 0.5\nsilence_seconds = 8.0\n"
DETECTION_PERIODS = 12
SPREAD_PERIODS = 7
LEAVE_PERIODS = 3
POLL_PERIODS = 2
WAIT_TIMEOUT_SECONDS = 60.0
HOSTS = {"a": "z1", "b": "z1", "c": "z1", "d": "z1", "e": "z2"}


class FleetTestCase(testtools.TestCase):
    """Five nodes in two zones; time limits are counted in periods of the observer."""

    def setUp(self):
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        hosts = [
            HostSpec(host, zone, "desk", settings=MEMBERSHIP_SETTINGS)
            for host, zone in HOSTS.items()
        ]
        self.fleet = Fleet(Path(directory.name), hosts, BUNDLE)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.stop)
        for host in HOSTS:
            self.periods_until(host, lambda status: status["ownership_active"])

    def periods_until(self, observer: str, holds: Callable[[dict], bool]) -> int:
        """Return the observer's periods until its status satisfies a condition."""
        begun = self.fleet.status(observer)["periods"]
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < end:
            status = self.fleet.status(observer)
            if holds(status):
                return status["periods"] - begun
            time.sleep(0.05)
        raise AssertionError(f"{observer}: {status}")

    def state(self, status: dict, host: str) -> str:
        return next(m["state"] for m in status["members"] if m["host"] == host)

    def assert_seen(self, host: str, states: tuple, observer: str, periods: int):
        taken = self.periods_until(
            observer, lambda status: self.state(status, host) in states
        )
        self.assertLessEqual(taken, periods + POLL_PERIODS)


class FailureTest(FleetTestCase):
    def test_killed_frozen_and_leaving_nodes_are_detected(self):
        fleet = self.fleet
        fleet.node("a").kill()
        self.assert_seen("a", ("dead",), "d", DETECTION_PERIODS)
        self.assert_seen("a", ("dead",), "e", DETECTION_PERIODS + SPREAD_PERIODS)

        before = fleet.status("b")["incarnation"]
        fleet.node("b").send(signal.SIGSTOP)
        self.assert_seen("b", ("dead",), "d", DETECTION_PERIODS)
        fleet.node("b").send(signal.SIGCONT)
        self.assert_seen("b", ("live",), "d", SPREAD_PERIODS)
        self.periods_until("b", lambda status: status["ownership_active"])
        self.assertGreater(fleet.status("b")["incarnation"], before)

        fleet.node("c").send(signal.SIGTERM)
        self.assert_seen("c", ("leaving", "dead"), "d", LEAVE_PERIODS)
        self.assert_seen("c", ("leaving", "dead"), "e", SPREAD_PERIODS)

    def test_without_platform_members_stay_and_deaths_are_detected(self):
        fleet = self.fleet
        fleet.processes["platform"].kill()
        begun = fleet.status("d")["periods"]
        self.periods_until("d", lambda status: status["periods"] >= begun + 20)
        for host in HOSTS:
            status = fleet.status(host)
            self.assertTrue(status["ownership_active"])
            self.assertEqual({"live"}, {m["state"] for m in status["members"]})
        fleet.node("a").kill()
        self.assert_seen("a", ("dead",), "d", DETECTION_PERIODS)

    def test_unlisted_host_stays_a_member_while_it_answers(self):
        self.fleet.publish_hosts(b="gone")
        begun = self.fleet.status("d")["periods"]
        self.periods_until("d", lambda status: status["periods"] >= begun + 20)
        self.assertEqual("live", self.state(self.fleet.status("d"), "b"))
