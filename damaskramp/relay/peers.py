"""Links to other nodes, and what nodes tell each other of their beliefs.

Nodes ask a few others, several times a second, for their beliefs. The answer carries
the age of the other's proof, what it has that the asker lacks, and nothing else. News
therefore reaches nodes that the platform turns away; and a node that starts knowing
nobody learns of others when they ask it.
"""

import logging
import random
from collections.abc import Callable

from damaskramp.core import Counters, Reason
from damaskramp.dispatch import Death
from damaskramp.fleet import (
    BackendServer,
    FleetConfiguration,
    FleetSource,
    SourceChanges,
    SourceError,
)
from damaskramp.relay.execution import Cancel, OutcomeSink
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import (
    Call,
    Kind,
    check_host,
    pack_document,
    pack_server,
    unpack_document,
    unpack_removals,
    unpack_server,
)
from damaskramp.relay.peer_link import LinkState, LoanCallback, PeerLink

__all__ = ["Peers"]

LOGGER = logging.getLogger(__name__)

GOSSIP_FANOUT = 1
"""Peers asked in each round besides a reader of the own zone; what no reader has
reaches all in about log(hosts) rounds."""

BROADCAST_FANOUT = 6
"""Peers of the own zone told of a change at once by each of its readers."""

RECONNECT_DELAY_SECONDS = 0.25
"""Pause before a link that broke is opened again."""

LINK_IDLE_SECONDS = 30.0
"""Time after which an unused link is closed."""

LEAVING_SECONDS = 8.0
"""Time for which a node that has told that it is leaving gets no calls: a little more
than a stop may take. One that starts again says so itself."""

MAX_SERVERS_PER_PONG = 2000
"""Backend servers told in one answer; about 200 KB."""


class Peers:
    """Links to the nodes of other hosts.

    Parameters
    ----------
    port : int
        Port on which nodes listen for each other.
    """

    def __init__(
        self,
        port: int,
        fleet_view: FleetView,
        source: FleetSource,
        clock: Callable[[], float],
        counters: Counters,
        random_source: random.Random,
    ) -> None:
        self._port = port
        self._fleet_view = fleet_view
        self._source = source
        self._clock = clock
        self._counters = counters
        self._random = random_source
        self._links: dict[str, PeerLink] = {}
        self._retry_at: dict[str, float] = {}
        self._leaving: dict[str, float] = {}
        self._unreachable: set[str] = set()
        self._introduced: set[str] = set()
        self._packed_version = 0
        self._packed_document = b""
        self.leaving = False

    def call(self, host: str, call: Call, reply: OutcomeSink) -> Cancel:
        """Send a call to another node; return how to cancel it."""
        link = self._link(host)
        if link is None:
            reply.refused(Reason.CONNECT_FAILED, 0.0, False, None)
            return _cancel_unsent
        return link.call(call, reply)

    def borrow(
        self,
        host: str,
        team: str,
        min_permits: float,
        max_permits: float,
        done: LoanCallback,
    ) -> None:
        """Ask another node for permits; `done` gets how many, and how many are left."""
        link = self._link(host)
        if link is None:
            done(0.0, 0.0)
        else:
            link.borrow(team, min_permits, max_permits, done)

    def return_permits(self, host: str, team: str, amount: float) -> None:
        """Give permits to a keeper that can use them."""
        link = self._link(host)
        if link is not None:
            link.send((Kind.GIVE_BACK, team, amount))

    def state_of(self, host: str) -> str:
        """What is known of another host's node, in a word."""
        if host in self._unreachable:
            return "unreachable"
        return "leaving" if host in self._leaving else "live"

    def reachable(self, hosts: list[str]) -> list[str]:
        """Other hosts among these that can be reached."""
        own = self._fleet_view.host
        return [h for h in hosts if h != own and h not in self._unreachable]

    def in_own_zone(self, hosts: list[str]) -> set[str]:
        """Those hosts that are in this node's availability zone."""
        zones = dict(self._fleet_view.directory.hosts())
        return {host for host in hosts if zones.get(host) == self._fleet_view.zone}

    def gossip(self) -> None:
        """Ask some peers for their beliefs."""
        hosts = {host for host, _ in self._fleet_view.directory.hosts()}
        hosts |= self._introduced
        hosts.discard(self._fleet_view.host)
        for host in self._gossip_targets(hosts):
            link = self._link(host)
            if link is not None:
                self._ping(link)
        now = self._clock()
        for link in list(self._links.values()):
            if not link.open_calls and now - link.last_used_at > LINK_IDLE_SECONDS:
                del self._links[link.host]
                link.close()

    def _gossip_targets(self, hosts: set[str]) -> list[str]:
        """A reader of the own zone, which has the youngest proof, and others."""
        readers = set(self._fleet_view.readers)
        near = sorted((readers & hosts) - self._unreachable)
        asked = self._random.sample(near, min(1, len(near)))
        rest = sorted(hosts - set(asked))
        count = GOSSIP_FANOUT + 1 - len(asked)
        return asked + self._random.sample(rest, min(count, len(rest)))

    def check_links(self) -> None:
        """Break silent links, and try those that are broken."""
        for link in list(self._links.values()):
            if link.check():
                self._ping(link)
        self._probe_unreachable()

    def announce_leaving(self) -> None:
        """Tell all peers at once that this node is leaving."""
        self.leaving = True
        for link in list(self._links.values()):
            if link.state is LinkState.UP:
                self._ping(link)

    def broadcast_changes(self, changes: SourceChanges) -> None:
        """Tell peers of the own zone of changes at once; the others ask for them."""
        document = b""
        if changes.configuration is not None:
            document = self._packed(changes.configuration)
        update = (
            Kind.UPDATE,
            self._fleet_view.version,
            document,
            [pack_server(server) for server in changes.servers],
            list(changes.removed),
        )
        for host in self._broadcast_targets():
            link = self._link(host)
            if link is not None:
                link.send(update)

    def _broadcast_targets(self) -> list[str]:
        """Some hosts of the own zone; the others have readers of their own."""
        fleet_view = self._fleet_view
        hosts = [
            host
            for host, zone in fleet_view.directory.hosts()
            if zone == fleet_view.zone and host != fleet_view.host
        ]
        return self._random.sample(hosts, min(BROADCAST_FANOUT, len(hosts)))

    def _packed(self, configuration: FleetConfiguration) -> bytes:
        """Document of a configuration as it is handed on; packed once."""
        if self._packed_version != configuration.version:
            self._packed_version = configuration.version
            self._packed_document = pack_document(configuration.document)
        return self._packed_document

    def receive_update(self, message: list) -> None:
        """Take changes that a peer has read."""
        _, version, document, servers, removed = message
        if version > self._fleet_view.version:
            self._adopt_document(document)
        self._fleet_view.directory.merge(
            [unpack_server(server) for server in servers], unpack_removals(removed)
        )

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def answer_ping(self, ping: list) -> tuple:
        """Fields of the answer to a ping."""
        _, asked_at, host, version, revision, leaving = ping
        self._record_peer(host, leaving)
        fleet_view = self._fleet_view
        configuration = fleet_view.configuration
        document = b""
        if configuration is not None and configuration.version > version:
            document = self._packed(configuration)
        directory = fleet_view.directory
        servers: list[tuple] = []
        removed: list[tuple] = []
        if directory.revision > revision or version == 0:
            servers = [
                pack_server(s) for s in directory.servers if s.revision > revision
            ]
            removed = [(n, r) for n, r in directory.removed if r > revision]
        age = fleet_view.freshness.age
        deaths = fleet_view.suspects.recent_deaths(self._clock())
        return (
            asked_at,
            fleet_view.version,
            age if age < 1e6 else -1.0,
            document,
            servers[:MAX_SERVERS_PER_PONG],
            removed,
            directory.revision if len(servers) <= MAX_SERVERS_PER_PONG else 0,
            [(death.fingerprint, death.server) for death in deaths],
            self.leaving,
        )

    def usable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Those backend servers whose nodes can be reached and are not leaving."""
        if not self._leaving and not self._unreachable:
            return servers
        now = self._clock()
        for host in [host for host, until in self._leaving.items() if until < now]:
            del self._leaving[host]
        return [
            server
            for server in servers
            if server.host not in self._leaving and server.host not in self._unreachable
        ]

    def _receive_pong(self, host: str, message: list) -> None:
        (
            _,
            asked_at,
            version,
            age,
            document,
            servers,
            removed,
            revision,
            deaths,
            leaving,
        ) = message
        self._record_peer(host, leaving)
        fleet_view = self._fleet_view
        if version > fleet_view.version:
            self._adopt_document(document)
        # The other's proof is one of its version; it proves this node's belief only
        # if that is no older.
        if age >= 0 and fleet_view.version >= version:
            fleet_view.freshness.confirm_by_peer(asked_at, age)
        if servers or removed or revision:
            fleet_view.directory.merge(
                [unpack_server(server) for server in servers],
                unpack_removals(removed),
                revision or None,
            )
        fleet_view.suspects.record_deaths(
            (Death(*death) for death in deaths), self._clock()
        )

    def _adopt_document(self, document: bytes) -> None:
        if not document:
            return
        try:
            if self._fleet_view.adopt_configuration(
                self._source.decode(unpack_document(document))
            ):
                self._counters.add("configurations", reason="peer")
        except (SourceError, ValueError) as error:
            self._counters.add("peer_documents_unreadable")
            LOGGER.warning(
                "document of a peer unreadable", extra={"reason": str(error)}
            )

    def _probe_unreachable(self) -> None:
        """Try to reach the hosts that were lost; calls go there once that succeeds."""
        for host in list(self._unreachable):
            link = self._link(host)
            if link is not None and link.state is LinkState.UP:
                self._unreachable.discard(host)
                LOGGER.info("link to node regained", extra={"host": host})

    def _record_peer(self, host: str, leaving: bool) -> None:
        if host not in self._introduced:
            check_host(host)
            self._introduced.add(host)
        if leaving:
            self._leaving[host] = self._clock() + LEAVING_SECONDS
        else:
            self._leaving.pop(host, None)

    def _ping(self, link: PeerLink) -> None:
        fleet_view = self._fleet_view
        link.ping(
            fleet_view.freshness.now,
            fleet_view.host,
            fleet_view.version,
            fleet_view.directory.revision,
            self.leaving,
        )

    def _link(self, host: str) -> PeerLink | None:
        link = self._links.get(host)
        if link is not None:
            return link
        if self._clock() < self._retry_at.get(host, 0.0):
            return None
        return self._open_link(host)

    def _open_link(self, host: str) -> PeerLink:
        link = PeerLink(
            host,
            self._port,
            self._clock,
            self._counters,
            self._receive_pong,
            self._on_link_down,
        )
        self._links[host] = link
        link.open()
        return link

    def _on_link_down(
        self, host: str, cause: str, open_calls: int, was_reset: bool
    ) -> None:
        self._links.pop(host, None)
        if was_reset and host not in self._unreachable:
            # The host answers: its node may have ended, or the connection alone has.
            self._counters.add("peer_links", reason="reset")
            self._open_link(host)
            return
        if host not in self._unreachable:
            fields = {"host": host, "cause": cause, "open_calls": open_calls}
            LOGGER.info("link to node lost", extra=fields)
        self._retry_at[host] = self._clock() + RECONNECT_DELAY_SECONDS
        self._unreachable.add(host)
        known = {name for name, _ in self._fleet_view.directory.hosts()}
        if host not in known:
            self._introduced.discard(host)
            self._unreachable.discard(host)


def _cancel_unsent() -> bool:
    """Cancel of a call that was not sent."""
    return True
