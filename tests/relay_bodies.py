"""Fleet in which one node has its calls run beside another, with large bodies."""

import asyncio

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, request_bytes, route
from tests.slow_link import slow_link

MIB = 1024 * 1024
SERVICES = ("svc", "far")
LONG_SECONDS = 15
LONG = {
    "timeout": f"{LONG_SECONDS}s",
    "target-latency": f"{LONG_SECONDS}s",
    "max-attempts": 1,
}
FAR = configuration(
    1,
    [
        route("far", "/up/", kind="upload", **LONG),
        route("far", "/once/", kind="non_idempotent", **LONG),
        route("far", "/", **LONG),
        route("svc", "/here/", **LONG),
    ],
    CLUBS,
)
FAR["limits"]["max-body-bytes"] = 64 * MIB


def pattern(size):
    """Return bytes in which a lost or exchanged fragment shows."""
    return b"".join(n.to_bytes(4, "big") for n in range(size // 4))


def body_of(request):
    return request.partition(b"\r\n\r\n")[2]


def memory_in_use(fleet):
    """Return the bytes that the nodes hold for bodies, by node."""
    budgets = [
        (
            node._listener._memory.bodies.share,
            node._executor._memory,
            node._executor._connections.memory.budget,
        )
        for node in fleet.nodes
    ]
    return [sum(budget.used for budget in one) for one in budgets]


async def send_request(fleet, path, request_id="q1"):
    """Send a request without reading its answer."""
    reader, writer = await fleet.connect()
    writer.write(request_bytes(path, request_id=request_id))
    return reader, writer


def start_upload(fleet):
    """Start to ask with a body that takes seconds on a slow link; return the task."""
    return asyncio.ensure_future(fleet.ask("/up/a", method="POST", body=b"x" * 4 * MIB))


class LinkTestCase(RelayTestCase):
    def run_far(self, scenario, script=None, rate=None, **options):
        """Run a scenario in which node 0 has its calls run beside node 1.

        With a rate, the link between them is that slow, and is passed as well.
        """

        async def with_link(fleet):
            if rate is None:
                return await scenario(fleet)
            async with slow_link(fleet, rate) as link:
                return await scenario(fleet, link)

        return self.run_scenario(
            with_link, SERVICES, FAR, scripts=[None, script], **options
        )
