"""Processor time of early refusal and of choosing a backend server, for one call.

On a virtual clock that stands still, with 15 hosts heard of by early refusal, and 15
or 45 members over three zones to choose from. The lowest of the repeats is reported.
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
flags.DEFINE_integer("calls", 2000, "Calls of a repeat.")
flags.DEFINE_integer("repeats", 5, "Repeats.")

PATH = TrafficClass(ServiceName("board"), "/board", TeamId("clubs"))
HOSTS_HEARD = 15
MEMBERS = (15, 45)
CLASSES = 4
SHED_LEVEL = 2.5
RANK = 1.0
MICROSECONDS = 1e6


def report(name: str, act: Callable[[], object]) -> None:
    """Print the lowest mean processor time of a call."""
    best = float("inf")
    for _ in range(FLAGS.repeats):
        begin = time.process_time()
        for _ in range(FLAGS.calls):
            act()
        best = min(best, time.process_time() - begin)
    print(f"{name:28s} {best / FLAGS.calls * MICROSECONDS:8.2f} us")


def report_early() -> None:
    """Early refusal, before and after levels were heard."""
    random = np.random.default_rng(1)
    early = EarlyRefusal(AdmissionSettings(), VirtualTimers(), random)
    early.configure(CLASSES)
    load = Load(shed_level=SHED_LEVEL)
    report("check, nothing heard", lambda: early.check(PATH, RANK))
    for number in range(HOSTS_HEARD):
        early.record_load(PATH, HostId(f"host-{number}"), load)
    report(f"check, {HOSTS_HEARD} hosts heard", lambda: early.check(PATH, RANK))
    report("hear", lambda: early.record_load(PATH, HostId("host-1"), load))


def report_choice(count: int) -> None:
    """Choice among `count` members."""
    balancer = ObservedBalancer(
        BalancingSettings(), VirtualTimers(), HostId("own"), ZoneName("zone-0")
    )
    members = [
        Member(
            HostId(f"host-{number}"),
            ZoneName(f"zone-{number % 3}"),
            f"10.0.0.{number}:1",
            PATH.service,
        )
        for number in range(count)
    ]
    report(f"choose, {count} members", lambda: balancer.choose(members, ()))


def main(_: list[str]) -> None:
    """Report each."""
    report_early()
    for count in MEMBERS:
        report_choice(count)


if __name__ == "__main__":
    app.run(main)
