"""Processor time of the questions that a call asks of ownership.

A node of a zone of 8, 44 or 175 members asks about 128 things in turn, on a virtual
clock that stands still, and about things never asked about before. Members
are heard of between questions as membership would tell of them: one sign of life for
each ten questions. The lowest of the repeats is reported, in processor time.
"""

import itertools
import time
from collections.abc import Callable

from absl import app, flags

from damaskramp.core import HostId, Incarnation, VirtualTimers
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings
from damaskramp.ownership.messages import Ask

FLAGS = flags.FLAGS
flags.DEFINE_integer("questions", 2000, "Questions of a repeat.")
flags.DEFINE_integer("repeats", 3, "Repeats.")

SIZES = (8, 44, 175)
RESOURCES = tuple(f"quota/team-{number}" for number in range(128))
QUESTIONS_PER_SIGN = 10
MICROSECONDS = 1e6


def zone_member(size: int) -> tuple[AcknowledgedOwnership, list[Owner]]:
    """An active node that ranks `size - 1` others."""
    timers = VirtualTimers()
    owners = [
        Owner(HostId(f"host-{number}"), Incarnation(number + 1), f"10.0.0.{number}:1")
        for number in range(size)
    ]
    settings = OwnershipSettings()
    node = AcknowledgedOwnership(settings, timers, owners[0])
    node.receive_list([(owners[0].host, owners[0].peer)])
    while not node.active:
        timers.advance(1.0)
        node.receive_list([(owners[0].host, owners[0].peer)])
    for owner in owners[1:]:
        node.receive_ask(Ask(owner.host, owner.incarnation, owner.peer, 0, 0.0))
    return node, owners


def microseconds(
    ask: Callable[[str], object],
    resources: itertools.cycle,
    hear: Callable[[], None],
) -> float:
    """Lowest mean processor time of a question."""
    best = float("inf")
    for _ in range(FLAGS.repeats):
        begin = time.process_time()
        for number in range(FLAGS.questions):
            if number % QUESTIONS_PER_SIGN == 0:
                hear()
            ask(next(resources))
        best = min(best, time.process_time() - begin)
    return best / FLAGS.questions * MICROSECONDS


def report(size: int) -> None:
    """Print one line a question."""
    node, owners = zone_member(size)
    signs = itertools.cycle(owners[1:])

    def hear() -> None:
        owner = next(signs)
        node.receive_heartbeat(owner.host, owner.incarnation)

    def release(resource: str) -> bool:
        return node.may_release(resource, owners[1])

    questions = {
        "owner": node.owner,
        "owns": node.owns,
        "may_release": release,
        "successors(3)": lambda resource: node.successors(resource, 3),
    }
    for name, ask in questions.items():
        known = microseconds(ask, itertools.cycle(RESOURCES), hear)
        print(f"{size:4d} members  {name:14s} {known:8.2f} us")
    fresh = (f"request/{number}" for number in itertools.count())
    new = microseconds(node.owner, fresh, hear)
    print(f"{size:4d} members  {'owner, new':14s} {new:8.2f} us")


def main(_: list[str]) -> None:
    """Report each size."""
    for size in SIZES:
        report(size)


if __name__ == "__main__":
    app.run(main)
