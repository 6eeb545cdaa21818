"""Node with peers under a virtual clock."""

import asyncio
import random

from damaskramp.core import Counters
from damaskramp.fleet import SourceChanges
from damaskramp.fleet.model import Revision, StorePosition
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH, MetadataStore
from damaskramp.relay import peer_link
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings

from .node_access import Clock, Links, Transport, replace_time
from .platform_data import EPOCH, address_of, configuration_document, server_of

__all__ = ["Bench"]

MAX_GOSSIP_LINKS = 75
"""Links in each direction with which the activities run. Gossip alone keeps as many if
it asks 2.5 peers a second that are drawn from all hosts, and calls keep others."""


class Bench:
    """A node with peers, whose activities run one by one."""

    def __init__(self, hosts, most_links=MAX_GOSSIP_LINKS):
        self.hosts = hosts
        self.clock = Clock()
        replace_time(self.clock)
        peer_link.PeerLink.open = lambda link: None
        own = address_of(0)
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
        self.peer_links = Links(self.peers)
        self.position = StorePosition(EPOCH, Revision(10 + hosts))
        self.servers = [server_of(n, hosts) for n in range(hosts)]
        self.view.adopt_configuration(self.source.decode(configuration_document(1)))
        self.view.directory.replace(self.servers, self.position)
        self.view.freshness.confirm(self.view.freshness.now)
        self.revision = self.position.revision
        count = min(hosts - 1, most_links)
        self.links = [self.peer_links.open(address_of(n + 1)) for n in range(count)]
        for link in self.links:
            link.connection_made(Transport())
            link.last_used_at = 1e18
        self.incoming = [self.node._links.connect() for _ in range(count)]
        for link in self.incoming:
            link.connection_made(Transport())
        self.random = random.Random(1)

    def advance(self, seconds):
        """Let seconds pass."""
        self.clock.now += seconds

    async def ping_bytes(self):
        """Return a ping of this node, as it is written on a link."""
        link = self.links[0]
        self.peers._ping(link)
        await asyncio.sleep(0)
        return link._transport.written

    def change(self):
        """Merge one new description, as a reader does."""
        self.revision += 1
        n = self.random.randrange(1, self.hosts)
        server = server_of(n, self.hosts, self.revision)
        position = StorePosition(EPOCH, Revision(self.revision))
        self.view.directory.merge([server], (), position)
        return SourceChanges(None, (server,), (), position)
