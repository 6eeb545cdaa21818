"""Measures all activities for one number of hosts, and prints them as JSON."""

import asyncio
import json
import sys
import time
import tracemalloc

from .activities import ACTIVITIES
from .bench import Bench
from .link_activities import GOSSIP_SECONDS
from .node_access import Transport, first_of
from .state_activities import prepare_choice

SETTLE_ROUNDS, COUNTED_ROUNDS = 250, 500
"""Rounds of gossip before its links are counted, and while they are."""

CHOICE_SIZES = (3, 30, 300)


def _count_links(hosts):
    """Run rounds of gossip; return the mean number of links, and those opened."""
    bench = Bench(hosts, 0)
    opened, kept = 0, 0
    links = bench.peer_links
    open_link = links.open

    def count(host):
        nonlocal opened
        opened += 1
        link = open_link(host)
        link.connection_made(Transport())
        return link

    links.replace_open(count)
    gossip = first_of(bench.node, "_periodic_work._gossip", "_gossip")
    for number in range(SETTLE_ROUNDS + COUNTED_ROUNDS):
        if number == SETTLE_ROUNDS:
            opened = 0
        bench.advance(GOSSIP_SECONDS)
        gossip()
        kept += len(links.by_host) if number >= SETTLE_ROUNDS else 0
    return kept / COUNTED_ROUNDS, opened / (COUNTED_ROUNDS * GOSSIP_SECONDS)


async def _time(run, runs):
    """Return the mean microseconds of a run with an empty iteration of the loop."""
    begin = time.process_time()
    for _ in range(runs):
        run()
        await asyncio.sleep(0)
    return (time.process_time() - begin) / runs * 1e6


async def _measure(hosts):
    found = {}
    for name, activity in ACTIVITIES.items():
        bench = Bench(hosts)
        try:
            run = activity.prepare(bench)
            if asyncio.iscoroutine(run):
                run = await run
            run()
            found[name] = await _time(run, activity.runs)
        except (AttributeError, ValueError):
            # An earlier checkout lacks the activity or can't repeat it.
            continue
    for count in CHOICE_SIZES:
        for label, fields in (("", {}), (", paced", {"paced": True})):
            try:
                run = prepare_choice(Bench(count), count, **fields)
            except TypeError:
                continue
            found[f"choice of {count}{label}"] = await _time(run, 3000 // count)
        run = prepare_choice(Bench(count), count, away=True)
        found[f"choice of {count}, a host lost"] = await _time(run, 3000 // count)
    links, opened = _count_links(hosts)
    found["links that gossip keeps"] = links
    found["links opened in 100 s"] = 100 * opened
    tracemalloc.start()
    bench = Bench(hosts, 0)
    bench.view.directory.hosts()
    found["state without links, KB"] = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    return found


if __name__ == "__main__":
    print(json.dumps(asyncio.run(_measure(int(sys.argv[1])))))
