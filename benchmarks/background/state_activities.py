"""Activities on the state of the fleet: changes, documents, pages and choices.

Each function prepares an activity of a `Bench` and returns what runs it once.
"""

import base64
from dataclasses import replace

import orjson

from damaskramp.core import ServiceName
from damaskramp.dispatch import Load
from damaskramp.fleet import ServerId
from damaskramp.fleet.model import Removal, Revision, StorePosition

from .node_access import first_of
from .platform_data import EPOCH, address_of, configuration_document, server_of


def prepare_change(bench):
    """A change of a server, with what the next round and request compute anew."""
    permits = first_of(bench.node, "_parts.permits", "_permits")

    def run():
        bench.advance(0.15)
        bench.change()
        bench.view.directory.hosts()
        _ = bench.view.readers, bench.view.own_server
        permits._update()

    return run


def prepare_removal(bench):
    """A removal of one server, and a change of one."""

    def run():
        bench.advance(0.15)
        bench.revision += 1
        n = bench.random.randrange(1, bench.hosts)
        position = StorePosition(EPOCH, Revision(bench.revision))
        removal = Removal(ServerId(f"i-{n}"), position.revision, EPOCH)
        bench.view.directory.merge([], [removal], position)
        bench.change()
        bench.view.directory.hosts()
        _ = bench.view.readers

    return run


def prepare_host(bench):
    """A host that joins or has left, with what the next request computes anew."""
    permits = first_of(bench.node, "_parts.permits", "_permits")
    extra = [replace(s, id=f"x-{s.id}") for s in bench.servers[:1]]
    extra = [replace(s, address=f"{address_of(1 << 20)}:8105") for s in extra]

    def run():
        bench.advance(30.0)
        bench.revision += 1
        position = StorePosition(EPOCH, Revision(bench.revision))
        listed = bench.view.directory.is_listed(extra[0].id)
        removed = [Removal(extra[0].id, position.revision, EPOCH)] * listed
        added = [replace(s, revision=position.revision) for s in extra]
        bench.view.directory.merge([] if listed else added, removed, position)
        bench.advance(30.0)
        bench.view.directory.hosts()
        _ = bench.view.readers, bench.view.own_server
        permits._update()

    return run


def prepare_configuration(bench):
    """A document that is read again, as by a watch and a poll of one change."""
    value = base64.b64encode(configuration_document(2)).decode()
    item = {"key": "op/config", "value": value, "revision": 5}

    def run():
        found, _ = bench.source._decode_configuration_entry(item)
        bench.view.adopt_configuration(found)

    return run


def prepare_new_configuration(bench):
    """A configuration of a new version."""
    versions = iter(range(2, 1_000_000))

    def run():
        bench.view.adopt_configuration(
            bench.source.decode(configuration_document(next(versions)))
        )

    return run


def prepare_snapshot(bench):
    """The entries of all servers, decoded and compared with those known."""
    items = []
    for server in bench.servers:
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
        found = [bench.source._decode_server_entry(item, EPOCH) for item in items]
        bench.view.directory.replace(found, bench.position)

    return run


def prepare_metrics(bench):
    """A page of metrics that is made anew each time."""
    pages = bench.node._pages

    def run():
        pages._metrics_cache = None
        pages.metrics()

    return run


def prepare_status(bench):
    """A page of status."""
    return first_of(bench.node, "_pages.status", "_status")


def prepare_choice(bench, count, paced=False, away=False):
    """A choice among servers whose load is known, with a lost host or without."""
    servers = [server_of(n, bench.hosts, service="many") for n in range(count)]
    directory = bench.view.directory
    selector = first_of(bench.node, "_parts.selector", "_selector")
    position = StorePosition(EPOCH, Revision(bench.revision + 1))
    servers = [replace(s, revision=position.revision) for s in servers]
    directory.merge(servers, (), position)
    servers = directory.of_service(ServiceName("many"))
    load = Load(3, 0, 8, 0.02)
    if paced:
        load = Load(3, 0, 8, 0.02, pace=1.1, run_time=0.02, queue_wait=0.001)
    now = bench.clock.now
    for server in servers:
        selector.record_load(server, load, now)
    if away:
        bench.peer_links.unreachable.add(address_of(10_000))

    def run():
        selector.choose(bench.peers.usable(servers), (), 1, now + 0.1)

    return run
