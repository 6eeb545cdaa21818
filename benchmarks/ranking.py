"""Processor time of the ownership queries that a call makes.

A node in a zone of 8, 44 or 175 members queries the ownership of 128 resources in
turn, and of resources not queried before. The virtual clock does not advance. Between
queries the node receives heartbeats of members as from membership, one per ten
queries. The lowest mean of all repeats is reported, in processor time.
"""

import itertools
import time
from collections.abc import Callable

from absl import app, flags

from damaskramp.core import HostId, Incarnation, VirtualTimers
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings
from damaskramp.ownership.messages import Ask

FLAGS = flags.FLAGS
flags.DEFINE_integer("questions", 2000, "Queries per repeat.")
flags.DEFINE_integer("repeats", 3, "Repeats.")

SIZES = (8, 44, 175)
RESOURCES = tuple(f"quota/team-{number}" for number in range(128))
QUERIES_PER_HEARTBEAT = 10
MICROSECONDS = 1e6


def zone_member(size: int) -> tuple[AcknowledgedOwnership, list[Owner]]:
    """Return an active node that ranks `size - 1` others, and all owners."""
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
    query: Callable[[str], object],
    resources: itertools.cycle,
    receive_heartbeat: Callable[[], None],
) -> float:
    """Return the lowest mean processor time of a query in microseconds."""
    best = float("inf")
    for _ in range(FLAGS.repeats):
        begin = time.process_time()
        for number in range(FLAGS.questions):
            if number % QUERIES_PER_HEARTBEAT == 0:
                receive_heartbeat()
            query(next(resources))
        best = min(best, time.process_time() - begin)
    return best / FLAGS.questions * MICROSECONDS


def report(size: int) -> None:
    """Print one row for each kind of query."""
    node, owners = zone_member(size)
    heartbeat_owners = itertools.cycle(owners[1:])

    def receive_heartbeat() -> None:
        owner = next(heartbeat_owners)
        node.receive_heartbeat(owner.host, owner.incarnation)

    def release(resource: str) -> bool:
        return node.may_release(resource, owners[1])

    queries = {
        "owner": node.owner,
        "owns": node.owns,
        "may_release": release,
        "successors(3)": lambda resource: node.successors(resource, 3),
    }
    for name, query in queries.items():
        known = microseconds(query, itertools.cycle(RESOURCES), receive_heartbeat)
        print(f"{size:4d} members  {name:14s} {known:8.2f} us")
    new_resources = (f"request/{number}" for number in itertools.count())
    new = microseconds(node.owner, new_resources, receive_heartbeat)
    print(f"{size:4d} members  {'owner, new':14s} {new:8.2f} us")


def main(_: list[str]) -> None:
    """Measure each zone size."""
    for size in SIZES:
        report(size)


if __name__ == "__main__":
    app.run(main)
