"""Processor time that a relay node spends besides relaying, by activity and fleet size.

Run with ``python -m benchmarks.fleet_background [--hosts 12,83,300,1400]
[--against DIRECTORY] [--turns 5]``. One node runs under a virtual clock, with links
that end in memory and one backend server on each host. Each activity is run alone, some
hundred times; the lowest mean of all turns counts. With ``--against``, another checkout
of this repository takes turns with this one.

The table holds the microseconds of one run, the runs per second at rest where the
activity is periodic, and the processor time that follows, in parts of a thousand of a
core. An activity that an earlier checkout lacks has no figure for it.
"""

import argparse
import asyncio
import base64
import importlib
import json
import operator
import os
import random
import subprocess
import sys
import time
import tracemalloc
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import msgpack
import orjson

from damaskramp.core import Counters, ServiceName
from damaskramp.dispatch import Death, Load
from damaskramp.fleet import BackendServer, ServerId, SourceChanges
from damaskramp.fleet.model import Epoch, Removal, Revision, StorePosition
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH, MetadataStore
from damaskramp.relay import peer_link
from damaskramp.relay.messages import Kind
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings

HOSTS_PER_SERVICE = 15
MAX_ZONES = 8
MAX_GOSSIP_LINKS = 75
"""Links that gossip keeps open: 2.5 random peers a second, each kept for 30 s."""

EPOCH = Epoch(1)
GOSSIP_SECONDS, CHECK_SECONDS, EXECUTOR_SECONDS, SWEEP_SECONDS = 0.4, 0.1, 0.05, 0.5
CHOICE_SIZES = (3, 30, 300)
ROUTES, TEAMS, SERVICES = 300, 100, 96


class _Clock:
    """Virtual clock of a node."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class _Transport:
    """Transport that keeps the bytes of the last write."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written = bytes(data)

    def get_extra_info(self, name, default=None):
        return default

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def abort(self):
        pass


def _first(root, *paths):
    """Attribute at the first of the dotted paths that this checkout has."""
    for path in paths:
        try:
            return operator.attrgetter(path)(root)
        except AttributeError:
            continue
    raise AttributeError(paths[0])


def _replace_time(clock):
    """Replace the clock of a node in the module that assembles its parts."""
    try:
        module = importlib.import_module("damaskramp.relay.node_parts")
    except ModuleNotFoundError:
        module = importlib.import_module("damaskramp.relay.node")
    module.time = SimpleNamespace(monotonic=clock)


class _Links:
    """Links of a node to its peers, under the names that this checkout has."""

    def __init__(self, peers):
        self._owner = getattr(peers, "links", peers)
        self._open = _first(peers, "links._open", "_open_link")
        self.retry_at = _first(peers, "links._retry_at", "_retry_at")
        self.unreachable = _first(peers, "hosts.unreachable", "_unreachable")

    @property
    def by_host(self):
        return _first(self._owner, "by_host", "_links")

    def open(self, host):
        return self._open(host)

    def replace(self, find):
        """Let a function find the link to a host."""
        name = "get" if hasattr(self._owner, "get") else "_link"
        setattr(self._owner, name, find)


def _address(n):
    return f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"


def _zones(hosts):
    return max(3, min(MAX_ZONES, hosts // 25))


def _server(n, hosts, revision=None, service=None):
    return BackendServer(
        ServerId(f"i-{n}"),
        ServiceName(service or f"svc-{n // HOSTS_PER_SERVICE}"),
        f"{_address(n)}:8105",
        f"z{n % _zones(hosts)}",
        8,
        False,
        0.0,
        1_700_000_000_000 + n,
        Revision(revision or 10 + n),
        1,
        EPOCH,
    )


def _document(version):
    return orjson.dumps(
        {
            "version": f"r{version}",
            "routes": {
                f"route-{n}": {
                    "host": f"h{n % 10}.example",
                    "path-prefix": f"/p{n}/",
                    "service": f"svc-{n % SERVICES}",
                    "kind": "idempotent",
                    "timeout": "2s",
                    "target-latency": "300ms",
                    "max-attempts": 2,
                    "priority": n % 3,
                }
                for n in range(ROUTES)
            },
            "tenants": {
                f"team-{n}": {
                    "api-keys": [f"key-{n}-{i}" for i in range(3)],
                    "rate-per-s": 50.0,
                    "burst": 100.0,
                }
                for n in range(TEAMS)
            },
            "services": {f"svc-{n}": {"max-connections": 64} for n in range(SERVICES)},
        }
    )


class _Bench:
    """A node with peers, whose activities run one by one."""

    def __init__(self, hosts, most_links=MAX_GOSSIP_LINKS):
        self.hosts = hosts
        self.clock = _Clock()
        _replace_time(self.clock)
        peer_link.PeerLink.open = lambda link: None
        own = _address(0)
        settings = RelaySettings(
            host="host-0",
            zone="z0",
            callers=f"{own}:8101",
            peers=f"{own}:8102",
            readiness=f"{own}:8103",
            metrics=f"{own}:8104",
            backend_service="svc-0",
            backend_address=f"{own}:8105",
            platform_address="127.0.0.1:1",
        )
        counters = Counters()
        self.source = MetadataStore("127.0.0.1:1", counters)
        self.node = RelayNode(
            settings, self.source, PLATFORM_HEADERS, READINESS_PATH, counters
        )
        self.view = self.node._fleet_view
        self.peers = self.node._peers
        self.peer_links = _Links(self.peers)
        self.position = StorePosition(EPOCH, Revision(10 + hosts))
        self.servers = [_server(n, hosts) for n in range(hosts)]
        self.view.adopt_configuration(self.source.decode(_document(1)))
        self.view.directory.replace(self.servers, self.position)
        self.view.freshness.confirm(self.view.freshness.now)
        self.revision = self.position.revision
        count = min(hosts - 1, most_links)
        self.links = [self.peer_links.open(_address(n + 1)) for n in range(count)]
        for link in self.links:
            link.connection_made(_Transport())
            link.last_used_at = 1e18
        self.incoming = [self.node._links.connect() for _ in range(count)]
        for link in self.incoming:
            link.connection_made(_Transport())
        self._random = random.Random(1)

    def advance(self, seconds):
        self.clock.now += seconds

    def gossip(self):
        self.advance(GOSSIP_SECONDS)
        self._gossip()

    def prepare_gossip(self):
        self.peer_links.replace(lambda host: self._random.choice(self.links))
        self._gossip = _first(self.node, "_periodic_work._gossip", "_gossip")
        return self.gossip

    def prepare_check_links(self):
        def run():
            self.advance(CHECK_SECONDS)
            self.peers.check_links()

        return run

    def prepare_sweep_links(self):
        sweep = self.node._links.sweep

        def run():
            self.advance(CHECK_SECONDS)
            sweep()

        return run

    def prepare_executor(self):
        def run():
            self.advance(EXECUTOR_SECONDS)
            self.node._executor.sweep()

        return run

    def prepare_sweep(self):
        sweep = _first(self.node, "_periodic_work._sweep", "_sweep", "_listener.sweep")

        def run():
            self.advance(SWEEP_SECONDS)
            sweep()

        return run

    async def _ping_bytes(self):
        link = self.links[0]
        self.peers._ping(link)
        await asyncio.sleep(0)
        return link._transport.written

    async def prepare_ping(self):
        return lambda: self.peers._ping(self.links[0])

    async def prepare_answer(self):
        ping = await self._ping_bytes()
        return lambda: self.incoming[0].data_received(ping)

    async def prepare_answer_deaths(self):
        """An answer after a day on which 2,000 requests were running as servers died.

        As many more have died a moment ago, as when a zone loses its servers.
        """
        ping = await self._ping_bytes()
        suspects = self.view.suspects
        suspects.record_deaths((Death(n, f"i-{n}/1") for n in range(2000)), 0.0)
        recent = (Death(n, f"i-{n}/1") for n in range(10_000, 12_000))
        suspects.record_deaths(recent, self.clock.now)
        return lambda: self.incoming[0].data_received(ping)

    async def prepare_pong(self):
        self.incoming[0].data_received(await self._ping_bytes())
        await asyncio.sleep(0)
        pong = self.incoming[0]._transport.written
        return lambda: self.links[0].data_received(pong)

    def _ping_of(self, version, revision):
        fields = msgpack.unpackb(self._last_ping)
        fields[3], fields[5] = version, revision
        return msgpack.packb(fields)

    async def prepare_answer_news(self):
        self._last_ping = await self._ping_bytes()
        self._change()
        ping = self._ping_of(1, self.position.revision)
        return lambda: self.incoming[0].data_received(ping)

    async def prepare_answer_whole(self):
        self._last_ping = await self._ping_bytes()
        ping = self._ping_of(0, 0)
        return lambda: self.incoming[0].data_received(ping)

    def _change(self):
        """Merge one new description, as a reader does."""
        self.revision += 1
        n = self._random.randrange(1, self.hosts)
        server = _server(n, self.hosts, self.revision)
        position = StorePosition(EPOCH, Revision(self.revision))
        self.view.directory.merge([server], (), position)
        return SourceChanges(None, (server,), (), position)

    def prepare_change(self):
        """A change of a server, with what the next round and request compute anew."""
        permits = _first(self.node, "_parts.permits", "_permits")

        def run():
            self.advance(0.15)
            self._change()
            self.view.directory.hosts()
            _ = self.view.readers, self.view.own_server
            permits._update()

        return run

    def prepare_removal(self):
        def run():
            self.advance(0.15)
            self.revision += 1
            n = self._random.randrange(1, self.hosts)
            position = StorePosition(EPOCH, Revision(self.revision))
            removal = Removal(ServerId(f"i-{n}"), position.revision, EPOCH)
            self.view.directory.merge([], [removal], position)
            self._change()
            self.view.directory.hosts()
            _ = self.view.readers

        return run

    def prepare_host(self):
        """A host that joins or has left, with what the next request computes anew."""
        permits = _first(self.node, "_parts.permits", "_permits")
        extra = [replace(s, id=f"x-{s.id}") for s in self.servers[:1]]
        extra = [replace(s, address=f"{_address(1 << 20)}:8105") for s in extra]

        def run():
            self.advance(30.0)
            self.revision += 1
            position = StorePosition(EPOCH, Revision(self.revision))
            listed = self.view.directory.is_listed(extra[0].id)
            removed = [Removal(extra[0].id, position.revision, EPOCH)] * listed
            added = [replace(s, revision=position.revision) for s in extra]
            self.view.directory.merge([] if listed else added, removed, position)
            self.advance(30.0)
            self.view.directory.hosts()
            _ = self.view.readers, self.view.own_server
            permits._update()

        return run

    def prepare_broadcast(self):
        changes = self._change()
        self.peer_links.replace(lambda host: self._random.choice(self.links))
        return lambda: self.peers.broadcast_changes(changes)

    async def prepare_update(self):
        changes = self._change()
        self.peer_links.replace(lambda host: self.links[0])
        self.peers.broadcast_changes(changes)
        await asyncio.sleep(0)
        update = self.links[0]._transport.written
        first = msgpack.Unpacker()
        first.feed(update)
        update = msgpack.packb(next(one for one in first if one[0] == Kind.UPDATE))
        return lambda: self.incoming[0].data_received(update)

    def prepare_configuration(self):
        """A document that is read again, as by a watch and a poll of one change."""
        value = base64.b64encode(_document(2)).decode()
        item = {"key": "op/config", "value": value, "revision": 5}

        def run():
            found, _ = self.source._decode_configuration_entry(item)
            self.view.adopt_configuration(found)

        return run

    def prepare_new_configuration(self):
        versions = iter(range(2, 1_000_000))

        def run():
            self.view.adopt_configuration(self.source.decode(_document(next(versions))))

        return run

    def prepare_snapshot(self):
        """The entries of all servers, decoded and compared with those known."""
        items = []
        for server in self.servers:
            entry = {
                "service": server.service,
                "address": server.address,
                "zone": server.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "warmup-left": "0ms",
                "sequence": 1,
                "born": server.started,
            }
            value = base64.b64encode(orjson.dumps(entry)).decode()
            key = f"servers/{server.id}"
            items.append({"key": key, "value": value, "revision": server.revision})

        def run():
            found = [self.source._decode_server_entry(item, EPOCH) for item in items]
            self.view.directory.replace(found, self.position)

        return run

    def prepare_metrics(self):
        metrics = _first(self.node, "_pages.metrics", "_metrics")

        def run():
            self.advance(1.0)
            metrics()

        return run

    def prepare_status(self):
        return _first(self.node, "_pages.status", "_status")

    def prepare_reconnect(self):
        """A link that is lost by a reset and opened again."""
        link = self.links[0]

        def run():
            self.advance(1.0)
            current = self.peer_links.by_host[link.host]
            current.connection_lost(None)
            self.peer_links.by_host[link.host].connection_made(_Transport())

        return run

    def prepare_unreachable(self):
        """A check of links while an eighth of the hosts is out of reach."""
        lost = [_address(n) for n in range(1, self.hosts, 8)]
        self.peer_links.unreachable.update(lost)
        self.peer_links.retry_at.update(dict.fromkeys(lost, 1e18))
        for host in lost:
            self.peer_links.by_host.pop(host, None)

        def run():
            self.advance(CHECK_SECONDS)
            self.peers.check_links()

        return run

    def prepare_choice(self, count, paced=False, away=False):
        servers = [_server(n, self.hosts, service="many") for n in range(count)]
        directory = self.view.directory
        selector = _first(self.node, "_parts.selector", "_selector")
        position = StorePosition(EPOCH, Revision(self.revision + 1))
        servers = [replace(s, revision=position.revision) for s in servers]
        directory.merge(servers, (), position)
        servers = directory.of_service(ServiceName("many"))
        load = Load(3, 0, 8, 0.02)
        if paced:
            load = Load(3, 0, 8, 0.02, pace=1.1, run_time=0.02, queue_wait=0.001)
        now = self.clock.now
        for server in servers:
            selector.record_load(server, load, now)
        if away:
            self.peer_links.unreachable.add(_address(10_000))

        def run():
            selector.choose(self.peers.usable(servers), (), 1, now + 0.1)

        return run


ACTIVITIES = {
    "gossip round": ("prepare_gossip", 2.5, 40),
    "check of links": ("prepare_check_links", 10, 100),
    "sweep of incoming links": ("prepare_sweep_links", 10, 100),
    "sweep of the executor": ("prepare_executor", 20, 200),
    "sweep of callers, status": ("prepare_sweep", 2, 100),
    "ping sent": ("prepare_ping", 5, 200),
    "ping answered": ("prepare_answer", 5, 200),
    "pong taken": ("prepare_pong", 5, 200),
    "answer to a peer behind": ("prepare_answer_news", 0, 100),
    "answer to a new peer": ("prepare_answer_whole", 0, 5),
    "answer after many deaths": ("prepare_answer_deaths", 0, 20),
    "change of a server": ("prepare_change", 0, 30),
    "removal and return": ("prepare_removal", 0, 30),
    "host joins or is gone": ("prepare_host", 0, 20),
    "broadcast of a change": ("prepare_broadcast", 0, 50),
    "update taken again": ("prepare_update", 0, 100),
    "configuration read again": ("prepare_configuration", 0, 4),
    "new configuration": ("prepare_new_configuration", 0, 4),
    "snapshot read again": ("prepare_snapshot", 0, 2),
    "page of metrics": ("prepare_metrics", 0, 10),
    "page of status": ("prepare_status", 0, 10),
    "link reset, opened again": ("prepare_reconnect", 0, 50),
    "check, 1 in 8 hosts lost": ("prepare_unreachable", 0, 50),
}
"""Method that prepares each activity, its runs a second at rest (0 if it follows an
event), and the runs of one turn."""


async def _time(run, runs):
    begin = time.process_time()
    for _ in range(runs):
        run()
        await asyncio.sleep(0)
    return (time.process_time() - begin) / runs * 1e6


async def _measure(hosts):
    found = {}
    for name, (prepare, _, runs) in ACTIVITIES.items():
        bench = _Bench(hosts)
        try:
            run = getattr(bench, prepare)()
            if asyncio.iscoroutine(run):
                run = await run
            run()
            found[name] = await _time(run, runs)
        except (AttributeError, ValueError):
            # An earlier checkout lacks the activity or can't repeat it.
            continue
    for count in CHOICE_SIZES:
        for label, fields in (("", {}), (", paced", {"paced": True})):
            try:
                run = _Bench(count).prepare_choice(count, **fields)
            except TypeError:
                continue
            found[f"choice of {count}{label}"] = await _time(run, 3000 // count)
        run = _Bench(count).prepare_choice(count, away=True)
        found[f"choice of {count}, a host lost"] = await _time(run, 3000 // count)
    tracemalloc.start()
    bench = _Bench(hosts, 0)
    bench.view.directory.hosts()
    found["state without links, KB"] = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    return found


def _worker(hosts):
    # The empty loop iteration is part of each run.
    print(json.dumps(asyncio.run(_measure(hosts))))


def _run_worker(directory, hosts):
    environment = {**os.environ, "PYTHONPATH": str(directory)}
    done = subprocess.run(
        [sys.executable, __file__, "--worker", str(hosts)],
        cwd=directory,
        env=environment,
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(done.stdout)


def _lowest(turns):
    return {name: min(one[name] for one in turns) for name in turns[0]}


def _print(hosts, ours, theirs, only):
    print(f"{hosts} hosts")
    total = dict.fromkeys(("ours", "theirs"), 0.0)
    for name, value in ours.items():
        before = theirs.get(name)
        rate = ACTIVITIES.get(name, ("", 0, 0))[1]
        total["ours"] += rate * value
        total["theirs"] += rate * (before or 0.0)
        if only not in name:
            continue
        shares = f"{rate:5.1f}/s {rate * value / 1000:7.3f}" if rate else ""
        compared = f"{before:10.1f}" if before is not None else f"{'-':>10}"
        print(f"  {name:28} {value:10.1f} {compared}  {shares}")
    sums = [f"{total[name] / 1000:10.2f}" for name in ("ours", "theirs")]
    print(f"  {'at rest, 1/1000 of a core':28} {' '.join(sums)}", flush=True)


def main():
    """Measure each fleet size, in turns with the other checkout if there is one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", default="12,83,300,1400")
    parser.add_argument("--against", type=Path, default=None)
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--only", default="", help="text in the names to print")
    parser.add_argument("--worker", type=int, default=0)
    flags = parser.parse_args()
    if flags.worker:
        _worker(flags.worker)
        return
    here = Path(__file__).resolve().parents[1]
    print("microseconds a run: this checkout, the other; runs and 1/1000 of a core")
    for hosts in map(int, flags.hosts.split(",")):
        ours, theirs = [], []
        for _ in range(flags.turns):
            ours.append(_run_worker(here, hosts))
            if flags.against is not None:
                theirs.append(_run_worker(flags.against.resolve(), hosts))
        found = _lowest(ours), _lowest(theirs) if theirs else {}
        _print(hosts, *found, flags.only)


if __name__ == "__main__":
    main()
