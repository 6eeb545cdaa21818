"""A planned stop cuts requests that wait, unrun, at the servers of other hosts."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    CALLERS,
    Fleet,
    Server,
    read_answer,
    request_head,
    route,
    run_script,
)

SLOTS = 16
WORK_SECONDS = 0.92
BUDGET_SECONDS = 10.0
AIM = "5046ms"
URGENT_PER_SECOND = 41.0
READS_PER_SECOND = 7.5
STEADY_SECONDS = 8.0
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2


class SlotServer(Server):
    """Backend server that runs as many requests at once as it has slots."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, run_seconds=WORK_SECONDS, **options)
        self._slots = asyncio.Semaphore(SLOTS)
        self.arrived = {}

    async def answer(self, head, writer):
        """Run one request when a slot is free."""
        name = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        self.arrived[name] = self._record.now
        async with self._slots:
            await super().answer(head, writer)


class Request:
    """One request of a caller and its end."""

    def __init__(self, name, node, sent_at):
        self.name = name
        self.node = node
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = None


async def send(fleet, node, name, path, requests):
    """Send one request on a connection of its own and record its end."""
    record = fleet.record
    try:
        reader, writer = await asyncio.open_connection(node.ip, fleet.ports[CALLERS])
    except OSError:
        record.write(f"{name} to {node.name}: no connection")
        return
    request = Request(name, node, record.now)
    requests.append(request)
    writer.write(request_head(path, name, "GET", int(BUDGET_SECONDS * 1000)))
    try:
        async with asyncio.timeout(BUDGET_SECONDS):
            request.status, _, _ = await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError):
        request.status = 0
    except TimeoutError:
        pass
    request.ended_at = record.now
    record.write(
        f"{name} to {node.name}: sent at {request.sent_at:.3f}, status {request.status}"
    )
    writer.close()


async def traffic(fleet, nodes, kind, path, per_second, requests):
    """Send requests at a constant rate, to some nodes in turn."""
    tasks, number = set(), 0
    loop = asyncio.get_running_loop()
    due = loop.time()
    try:
        while True:
            node = nodes[number % len(nodes)]
            number += 1
            work = send(fleet, node, f"{kind}-{number}", path, requests)
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1 / per_second
            await asyncio.sleep(max(0.0, due - loop.time()))
    finally:
        for task in tasks:
            task.cancel()


async def main(record, trouble):
    """Return 1 if the planned stop of a node has cut a request that waited."""
    fleet = Fleet(["notebook"] * 3, record, SlotServer, slots=SLOTS)
    requests, tasks = [], []
    try:
        fields = {"timeout": "10001ms", "target-latency": AIM}
        await fleet.start(
            {
                "urgent": route("/urgent/", "notebook", priority=0, **fields),
                "reads": route("/notes/", "notebook", priority=2, **fields),
            }
        )
        record.write("all nodes are ready")
        for kind, path, rate, nodes in (
            ("urgent", "/urgent/x", URGENT_PER_SECOND, fleet.nodes),
            ("read", "/notes/x", READS_PER_SECOND, fleet.nodes[:1]),
        ):
            work = traffic(fleet, nodes, kind, path, rate, requests)
            tasks.append(asyncio.create_task(work))
        await asyncio.sleep(STEADY_SECONDS)
        node = fleet.nodes[0]
        stopped_at = record.now
        if trouble:
            node.is_wanted = False
            node.process.send_signal(signal.SIGTERM)
            record.write(f"SIGTERM to {node.name}")
        await asyncio.sleep(GRACE_SECONDS + 1.0)
        record.write(f"{node.name} has ended: {not node.is_running}")
        for task in tasks:
            task.cancel()
        return int(bool(find_lost(fleet, node, stopped_at, requests)))
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


def find_lost(fleet, node, stopped_at, requests):
    """Requests that the stop has cut while no server was at work on them."""
    record = fleet.record
    lost = []
    for request in requests:
        if request.node is not node or request.status != 0:
            continue
        lasted = request.ended_at - request.sent_at
        arrivals = [
            server.id for server in fleet.servers if request.name in server.arrived
        ]
        record.write(
            f"{request.name}: sent {request.sent_at - stopped_at:.2f} s after the "
            f"SIGTERM, cut after {lasted:.2f} s, arrived at {arrivals}"
        )
        if lasted > LOSS_SLACK_SECONDS and not arrivals:
            lost.append(request)
    answered = sum(1 for request in requests if request.status == 200)
    refused = sum(1 for request in requests if request.status == 503)
    record.write(
        f"{len(requests)} requests: {answered} served, {refused} refused, "
        f"{len(lost)} cut by the stop without having reached a server"
    )
    return lost


if __name__ == "__main__":
    run_script(main)
