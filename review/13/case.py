"""A request that crashes each server that runs it comes again, with little traffic."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins_3 as stand_ins

POISON = "/svc/report?id=17"
SERVERS = 6
RETRIES = 18
RETRY_SECONDS = 1.5
DOWN_SECONDS = 3.0
BACKGROUND_PER_SECOND = 0.03
STABLE_WINDOW_SECONDS = 3.0
MAX_LATE_RETRIES = 3
KEY = "key-1"


def work_of(fleet, server, crashes):
    """Return the work of a server, which crashes while it runs the request."""

    def work(path):
        fleet.record.write("run", server.name, path)
        if path != POISON or not stand_ins.trouble():
            return 0.05, 16
        crashes.append(stand_ins.now())
        fleet.record.write("crash", len(crashes), server.name)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, server.crash, DOWN_SECONDS)
        return 1.0, 16

    return work


async def send(fleet, node, path, request_id):
    """Send one request and record its answer."""
    fleet.record.write("sent", request_id, path, "at", node.host)
    try:
        answer = await stand_ins.request(
            node.host, fleet.ports[0], path, "GET", KEY, 3000, request_id, timeout=4.0
        )
        status = answer.status
    except (OSError, EOFError, TimeoutError) as error:
        status = repr(error)
    fleet.record.write("answered", request_id, status)


async def send_background(fleet):
    """Send other requests now and then, each with a path of its own."""
    while True:
        await asyncio.sleep(random.expovariate(BACKGROUND_PER_SECOND))
        request_id = stand_ins.new_id()
        node = random.choice(fleet.nodes)
        await send(fleet, node, f"/svc/page?id={request_id}", request_id)


async def case(fleet):
    """Return whether at most three late retries reached servers."""
    await fleet.start(
        ["svc"] * SERVERS,
        {"r-1": stand_ins.route("svc", "/svc/")},
        {"t-1": {"api-keys": [KEY], "rate-per-s": 0, "burst": 0}},
    )
    crashes, sent_at = [], {}
    for server in fleet.servers:
        server.work = work_of(fleet, server, crashes)
    background = asyncio.create_task(send_background(fleet))
    await asyncio.sleep(STABLE_WINDOW_SECONDS)
    for number in range(RETRIES):
        request_id = stand_ins.new_id()
        sent_at[request_id] = stand_ins.now()
        await send(fleet, fleet.nodes[number % SERVERS], POISON, request_id)
        await asyncio.sleep(RETRY_SECONDS)
    background.cancel()
    reached = {run.request_id for server in fleet.servers for run in server.runs}
    bound = float("inf")
    if len(crashes) >= 3:
        bound = crashes[2] + STABLE_WINDOW_SECONDS
    late = [name for name, at in sent_at.items() if at > bound]
    late_reached = [name for name in late if name in reached]
    fleet.record.say(
        f"{len(crashes)} crashes; of {len(late)} retries sent more than 3 s after the",
        f"third one, {len(late_reached)} reached servers;",
        f"{MAX_LATE_RETRIES} are allowed",
    )
    return len(late_reached) <= MAX_LATE_RETRIES


if __name__ == "__main__":
    stand_ins.main(Path(__file__).resolve().parent, case)
