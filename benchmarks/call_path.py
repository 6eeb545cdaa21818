"""Processor time per call of early refusal and of choosing a backend server.

The virtual clock does not advance. Early refusal knows the load reports of 15 hosts;
the balancer chooses among 15 or 45 members in three zones. The lowest mean of all
repeats is reported.
"""

import time
from collections.abc import Callable

import numpy as np
from absl import app, flags

from damaskramp.admission import EarlyRefusal, Load, TrafficClass
from damaskramp.balancing import ObservedBalancer
from damaskramp.config import AdmissionSettings, BalancingSettings
from damaskramp.core import HostId, ServiceName, TeamId, VirtualTimers, ZoneName
from damaskramp.membership import Member

FLAGS = flags.FLAGS
flags.DEFINE_integer("calls", 2000, "Calls per repeat.")
flags.DEFINE_integer("repeats", 5, "Repeats.")

TRAFFIC_CLASS = TrafficClass(ServiceName("board"), "/board", TeamId("clubs"))
REPORTING_HOSTS = 15
MEMBERS = (15, 45)
CLASSES = 4
SHED_LEVEL = 2.5
RANK = 1.0
MICROSECONDS = 1e6


def report(name: str, act: Callable[[], object]) -> None:
    """Print the lowest mean processor time per call."""
    best = float("inf")
    for _ in range(FLAGS.repeats):
        begin = time.process_time()
        for _ in range(FLAGS.calls):
            act()
        best = min(best, time.process_time() - begin)
    print(f"{name:28s} {best / FLAGS.calls * MICROSECONDS:8.2f} us")


def report_early_refusal() -> None:
    """Measure early refusal before and after the receipt of load reports."""
    random = np.random.default_rng(1)
    early = EarlyRefusal(AdmissionSettings(), VirtualTimers(), random)
    early.configure(CLASSES)
    load = Load(shed_level=SHED_LEVEL)
    report("check, nothing heard", lambda: early.check(TRAFFIC_CLASS, RANK))
    for number in range(REPORTING_HOSTS):
        early.record_load(TRAFFIC_CLASS, HostId(f"host-{number}"), load)
    report(
        f"check, {REPORTING_HOSTS} hosts heard",
        lambda: early.check(TRAFFIC_CLASS, RANK),
    )
    report("hear", lambda: early.record_load(TRAFFIC_CLASS, HostId("host-1"), load))


def report_choice(count: int) -> None:
    """Measure the choice among `count` members."""
    balancer = ObservedBalancer(
        BalancingSettings(), VirtualTimers(), HostId("own"), ZoneName("zone-0")
    )
    members = [
        Member(
            HostId(f"host-{number}"),
            ZoneName(f"zone-{number % 3}"),
            f"10.0.0.{number}:1",
            TRAFFIC_CLASS.service,
        )
        for number in range(count)
    ]
    report(f"choose, {count} members", lambda: balancer.choose(members, ()))


def main(_: list[str]) -> None:
    """Run all measurements."""
    report_early_refusal()
    for count in MEMBERS:
        report_choice(count)


if __name__ == "__main__":
    app.run(main)
