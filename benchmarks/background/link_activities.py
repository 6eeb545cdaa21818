"""Activities on links between nodes: rounds, checks, sweeps and messages.

Each function prepares an activity of a `Bench` and returns what runs it once.
"""

import asyncio

import msgpack

from damaskramp.dispatch import Death
from damaskramp.relay.messages import Kind

from .node_access import Transport, first_of
from .platform_data import address_of

GOSSIP_SECONDS, CHECK_SECONDS, EXECUTOR_SECONDS, SWEEP_SECONDS = 0.4, 0.1, 0.05, 0.5


def prepare_gossip(bench):
    """A round of gossip with random peers."""
    bench.peer_links.replace(lambda host: bench.random.choice(bench.links))
    gossip = first_of(bench.node, "_periodic_work._gossip", "_gossip")

    def run():
        bench.advance(GOSSIP_SECONDS)
        gossip()

    return run


def prepare_check_links(bench):
    """A check of the outgoing links."""

    def run():
        bench.advance(CHECK_SECONDS)
        bench.peers.check_links()

    return run


def prepare_sweep_links(bench):
    """A sweep of the incoming links."""
    sweep = bench.node._links.sweep

    def run():
        bench.advance(CHECK_SECONDS)
        sweep()

    return run


def prepare_executor(bench):
    """A sweep of the executor."""

    def run():
        bench.advance(EXECUTOR_SECONDS)
        bench.node._executor.sweep()

    return run


def prepare_sweep(bench):
    """A sweep of callers' connections and the status addresses."""
    sweep = first_of(bench.node, "_periodic_work._sweep", "_sweep", "_listener.sweep")

    def run():
        bench.advance(SWEEP_SECONDS)
        sweep()

    return run


async def prepare_ping(bench):
    """A ping that is sent."""
    return lambda: bench.peers._ping(bench.links[0])


async def prepare_answer(bench):
    """A ping that is received and answered."""
    ping = await bench.ping_bytes()
    return lambda: bench.incoming[0].data_received(ping)


async def prepare_answer_deaths(bench):
    """An answer after a day on which 2,000 requests were running as servers died.

    As many more have died a moment ago, as when a zone loses its servers.
    """
    ping = await bench.ping_bytes()
    suspects = bench.view.suspects
    suspects.record_deaths((Death(n, f"i-{n}/1") for n in range(2000)), 0.0)
    recent = (Death(n, f"i-{n}/1") for n in range(10_000, 12_000))
    suspects.record_deaths(recent, bench.clock.now)
    return lambda: bench.incoming[0].data_received(ping)


async def prepare_pong(bench):
    """An answer to a ping that is received."""
    bench.incoming[0].data_received(await bench.ping_bytes())
    await asyncio.sleep(0)
    pong = bench.incoming[0]._transport.written
    return lambda: bench.links[0].data_received(pong)


def _ping_of(ping, version, revision):
    """Return a ping with the version and revision of another peer."""
    fields = msgpack.unpackb(ping)
    fields[3], fields[5] = version, revision
    return msgpack.packb(fields)


async def prepare_answer_news(bench):
    """An answer to a peer that lacks one change."""
    ping = await bench.ping_bytes()
    bench.change()
    ping = _ping_of(ping, 1, bench.position.revision)
    return lambda: bench.incoming[0].data_received(ping)


async def prepare_answer_whole(bench):
    """An answer to a peer that knows nothing."""
    ping = _ping_of(await bench.ping_bytes(), 0, 0)
    return lambda: bench.incoming[0].data_received(ping)


def prepare_broadcast(bench):
    """A change that is sent to other hosts."""
    changes = bench.change()
    bench.peer_links.replace(lambda host: bench.random.choice(bench.links))
    return lambda: bench.peers.broadcast_changes(changes)


async def prepare_update(bench):
    """A change that is received again."""
    changes = bench.change()
    bench.peer_links.replace(lambda host: bench.links[0])
    bench.peers.broadcast_changes(changes)
    await asyncio.sleep(0)
    update = bench.links[0]._transport.written
    first = msgpack.Unpacker()
    first.feed(update)
    update = msgpack.packb(next(one for one in first if one[0] == Kind.UPDATE))
    return lambda: bench.incoming[0].data_received(update)


def prepare_reconnect(bench):
    """A link that is lost by a reset and opened again."""
    link = bench.links[0]

    def run():
        bench.advance(1.0)
        current = bench.peer_links.by_host[link.host]
        current.connection_lost(None)
        bench.peer_links.by_host[link.host].connection_made(Transport())

    return run


def prepare_unreachable(bench):
    """A check of links while an eighth of the hosts is out of reach."""
    lost = [address_of(n) for n in range(1, bench.hosts, 8)]
    bench.peer_links.unreachable.update(lost)
    bench.peer_links.retry_at.update(dict.fromkeys(lost, 1e18))
    for host in lost:
        bench.peer_links.by_host.pop(host, None)

    def run():
        bench.advance(CHECK_SECONDS)
        bench.peers.check_links()

    return run
