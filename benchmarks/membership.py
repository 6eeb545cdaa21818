"""Cost and detection time of membership.

Bytes and detection time are measured with nodes in one process on a virtual clock;
the bytes that gRPC adds to a call, and processor time, with real sockets and processes.
Run: ``python -m benchmarks.membership [--processes]``.
"""

import asyncio
import sys
import time
import tracemalloc
from pathlib import Path
from tempfile import TemporaryDirectory

import numpy as np
from grpclib.client import Channel
from grpclib.server import Server, Stream

from damaskramp.core import HostId, Incarnation, ServiceName, ZoneName
from damaskramp.membership import ListedMember, MemberState
from damaskramp.membership.tests.network import Network
from damaskramp.node.ownership_codec import encode_ack, encode_ask
from damaskramp.ownership import Ack, Ask, KnownHost, Owner
from damaskramp.wire.membership_grpc import GossiperBase, GossiperStub
from damaskramp.wire.membership_pb2 import Gossip, Update
from examples.fleet import Fleet, HostSpec
from tests.test_membership import BUNDLE

SIZES = (8, 16, 32, 64, 128)
TARGET_SIZE = 175
ZONES = 8
LARGE_ZONE = 16
SETTLE_SECONDS = 40.0
SETTLE_SECONDS_A_NODE = 2.0
WINDOW_SECONDS = 60.0
CALLS = 300
PERIODS = (2.0, 1.0, 0.5)
MEASURE_SECONDS = 15.0
CLOCK_TICKS = 100


class Echo(GossiperBase):
    """Service that answers a probe with the same message."""

    async def Probe(self, stream: Stream) -> None:
        """Send the probe back."""
        await stream.send_message(await stream.recv_message())

    async def ProbeFor(self, stream: Stream) -> None:
        """Not used by the benchmark."""

    async def Sync(self, stream: Stream) -> None:
        """Not used by the benchmark."""

    async def Acknowledge(self, stream: Stream) -> None:
        """Not used by the benchmark."""


async def grpc_overhead() -> float:
    """Measure the bytes that a unary call adds to its two messages, both ways."""
    server = Server([Echo()])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    counted = [0]

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            counted[0] += len(data)
            writer.write(data)

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.gather(pump(reader, back), pump(there, writer))

    front = await asyncio.start_server(relay, "127.0.0.1", 0)
    channel = Channel("127.0.0.1", front.sockets[0].getsockname()[1])
    stub = GossiperStub(channel)
    message = Gossip(sender=Update(host="host-1", zone="zone-1"), digest=1)
    await stub.Probe(message)
    counted[0] = 0
    for _ in range(CALLS):
        await stub.Probe(message)
    total = counted[0] / CALLS
    channel.close()
    await asyncio.sleep(0.1)
    front.close()
    server.close()
    return total - 2 * message.ByteSize()


def settled(nodes: int, zones: int = 1) -> Network:
    """Build a network that knows all members and has no updates left to send."""
    net = Network(zones, nodes)
    net.publish()
    net.timers.advance(SETTLE_SECONDS + SETTLE_SECONDS_A_NODE * nodes * zones)
    return net


def cost(net: Network) -> tuple[float, float, float]:
    """Measure bytes and messages sent, and processor seconds, per node and second."""
    for station in net.stations.values():
        station.sent_bytes = station.messages = 0
    began = time.process_time()
    net.timers.advance(WINDOW_SECONDS)
    spent = time.process_time() - began
    stations = net.stations.values()
    scale = len(net.stations) * WINDOW_SECONDS
    sent = sum(station.sent_bytes for station in stations)
    messages = sum(station.messages for station in stations)
    return sent / scale, messages / scale, spent / scale


def fit(name: str, sizes: tuple, values: list[float], target: int) -> None:
    """Print a linear fit of the values and its extrapolation to the target size."""
    slope, start = np.polyfit(sizes, values, 1)
    residual = np.max(np.abs(np.polyval((slope, start), sizes) - values))
    print(
        f"{name}: {start:.5g} + {slope:.5g} n, greatest residual {residual:.3g}, "
        f"at {target}: {start + slope * target:.5g}"
    )


def detection(nodes: int, trials: int) -> list[tuple[float, float]]:
    """Measure when no node sees a killed member as live, and when all see it as dead.

    Returns
    -------
    list of tuple of float
        Seconds from the kill until each of the two, by trial.
    """
    found = []
    net = settled(nodes)
    for number in range(trials):
        host = f"z0-n{number}"
        net.stations[host].running = False
        began = net.timers.now
        suspected = None
        while net.seen(host) != {MemberState.DEAD}:
            net.timers.advance(0.25)
            if suspected is None and MemberState.LIVE not in net.seen(host):
                suspected = net.timers.now - began
        found.append((suspected, net.timers.now - began))
        net.timers.advance(10.0)
    return found


def print_costs(overhead: float) -> None:
    """Print bytes and processor time by zone size."""
    wire, spent = [], []
    print("nodes  message B/s  messages/s  with gRPC B/s sent  state machine us/s")
    for nodes in SIZES:
        sent, messages, seconds = cost(settled(nodes))
        wire.append(sent + messages * overhead / 2)
        spent.append(seconds * 1e6)
        print(
            f"{nodes:5} {sent:12.1f} {messages:11.2f} {wire[-1]:19.1f} {spent[-1]:.1f}"
        )
    fit("bytes sent a second", SIZES, wire, TARGET_SIZE)
    fit("state machine us/s (quiet)", SIZES, spent, TARGET_SIZE)


def print_zones(overhead: float) -> None:
    """Print bytes by number of zones."""
    counts = (1, 2, 4, 8)
    wire = []
    for zones in counts:
        sent, messages, _ = cost(settled(8, zones))
        wire.append(sent + messages * overhead / 2)
        print(f"{zones} zones of 8: {wire[-1]:.1f} B/s sent a node")
    net = settled(LARGE_ZONE, ZONES)
    sent, messages, seconds = cost(net)
    wire_bytes = sent + messages * overhead / 2
    print(
        f"{ZONES} zones of {LARGE_ZONE}: {wire_bytes:.1f} B/s sent a node, "
        f"{seconds * 1e6:.1f} us/s"
    )


def print_detection() -> None:
    """Print the distribution of the detection time."""
    for nodes in (8, 64, 175):
        found = np.array(detection(nodes, 7 if nodes == 8 else 25))
        for name, column in (("suspected", 0), ("dead", 1)):
            p50, p90, most = np.percentile(found[:, column], (50, 90, 100))
            print(
                f"{nodes} nodes, {name} at all: p50 {p50:.2f} s, p90 {p90:.2f} s, "
                f"max {most:.2f} s of {len(found)}"
            )


def print_restarts(overhead: float) -> None:
    """Print the bytes that a restart of one member costs each other node."""
    net = settled(64)
    base = cost(net)[0]
    net.stations["z0-n1"].protocol.roster.leave()
    net.timers.advance(1.0)
    net.stations["z0-n1"].running = False
    net.timers.advance(1.0)
    station = net.add("z0-n1", "z0", incarnation=2)
    listed = [
        ListedMember(HostId(m.host), ZoneName("z0"), m.peer, ServiceName("s"))
        for m in net.listed
    ]
    station.protocol.roster.receive_list(listed)
    more = (cost(net)[0] - base) * WINDOW_SECONDS
    print(f"one restart among 64: {more:.0f} B of messages a node")


def print_activation(overhead: float) -> None:
    """Print the bytes of activating an incarnation in a zone of the target size."""
    own = Owner(HostId("host-1000"), Incarnation(1_700_000_000_000_000), "10.0.0.1:90")
    ask = Ask(own.host, own.incarnation, own.peer, 2**63, 1e6)
    view = tuple(
        KnownHost(HostId(f"host-{number}"), f"10.0.{number}.1:9090", 1.0)
        for number in range(1000, 1000 + TARGET_SIZE - 1)
    )
    for name, known_hosts in (("same views", ()), ("views differ", view)):
        ack = Ack(
            own.host,
            own.incarnation,
            own.peer,
            True,
            True,
            own.incarnation,
            1e6,
            known_hosts,
        )
        size = encode_ask(ask).ByteSize() + encode_ack(ack).ByteSize() + overhead
        print(f"activation, {name}: {size:.0f} B a member asked")


def print_memory() -> None:
    """Print the memory of a node's records at the target size, with updates for all."""
    net = Network(ZONES, 1)
    roster = net.stations["z0-n0"].protocol.roster
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(TARGET_SIZE * ZONES):
        zone = f"z{number % ZONES}"
        update = Update(host=f"host-{number}", zone=zone, peer=f"10.0.0.1:{number}")
        update.incarnation = 1
        roster.receive(update)
    roster.changed_table()
    spent = tracemalloc.get_traced_memory()[0] - before
    print(f"records of {TARGET_SIZE * ZONES} members: {spent / 1024:.0f} KiB")


def processor_seconds(fleet: Fleet, host: str) -> float:
    """Return the processor time of a node's process in seconds."""
    text = Path(f"/proc/{fleet.node(host).pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def print_processes() -> None:
    """Print the processor time of real nodes by the length of the period."""
    spent = []
    for period in PERIODS:
        silence = 16 * period
        times = (
            f"[membership]\nperiod_seconds = {period}\nsilence_seconds = {silence}\n"
        )
        hosts = [
            HostSpec(f"h{n}", f"z{n % 2 + 1}", "desk", settings=times) for n in range(6)
        ]
        with TemporaryDirectory() as name, Fleet(Path(name), hosts, BUNDLE) as fleet:
            time.sleep(20 * period)
            began = {h.host: processor_seconds(fleet, h.host) for h in hosts}
            time.sleep(MEASURE_SECONDS)
            more = [processor_seconds(fleet, h) - at for h, at in began.items()]
        spent.append(sum(more) / len(more) / MEASURE_SECONDS * 100)
        print(f"period {period} s: {spent[-1]:.2f} % of a core a node, all idle work")
    fit("% of a core by periods a second", tuple(1 / p for p in PERIODS), spent, 1)


def main() -> None:
    """Print all measurements."""
    if "--processes" in sys.argv:
        print_processes()
        return
    overhead = asyncio.run(grpc_overhead())
    print(f"gRPC adds {overhead:.1f} B to a call, both ways")
    print_costs(overhead)
    print_zones(overhead)
    print_restarts(overhead)
    print_activation(overhead)
    print_memory()
    print_detection()


if __name__ == "__main__":
    main()
