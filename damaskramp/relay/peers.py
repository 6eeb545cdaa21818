"""Links to other nodes, and the gossip that keeps their fleet views up to date.

Several times a second, each node asks a few others for their fleet views. The answer
carries the age of the other node's proof and the data that the asking node lacks, and
nothing else. Changes therefore also reach nodes that the platform refuses. A node that
starts without knowing any other learns of the others when they ask it.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters, Reason
from damaskramp.dispatch import Death
from damaskramp.fleet import (
    BackendServer,
    DirectoryUpdate,
    EvacuationState,
    FleetConfiguration,
    FleetSource,
    Freshness,
    Removal,
    SourceChanges,
    SourceError,
)
from damaskramp.relay.evacuation_messages import pack_evacuations, unpack_evacuations
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.gossip_view import GossipView
from damaskramp.relay.load_sharing import LoadSharing
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.messages import (
    Call,
    Kind,
    check_host,
    pack_document,
    pack_removal,
    pack_server,
    unpack_document,
    unpack_position,
    unpack_removal,
    unpack_server,
)
from damaskramp.relay.outcome_sink import Cancel, OutcomeSink
from damaskramp.relay.peer_link import LinkState, LoanCallback, PeerLink

__all__ = ["Peers"]

LOGGER = logging.getLogger(__name__)

GOSSIP_FANOUT = 1
"""Peers asked in each round besides a reader of the own zone. Data that no reader has
reaches all hosts in about log(hosts) rounds."""

BROADCAST_FANOUT = 6
"""Peers of the own zone to which each reader sends a change at once."""

CONSULTED_PEERS = 6
"""Peers that a node asks at once when it starts. Some may be out of reach, or may have
just started themselves."""

RECONNECT_DELAY_SECONDS = 0.25
"""Delay before a broken link is opened again, in seconds."""

PROBES_PER_CHECK = 8
"""Most lost hosts that are tried at each check of the links, ten times a second. Up to
24 lost hosts, or 35 that are silent, are tried each time that their delay ends. A zone
of 175 hosts would otherwise take 6 % of a core while it is lost."""

LINK_IDLE_SECONDS = 30.0
"""Idle time after which a link is closed, in seconds."""

LEAVING_SECONDS = 8.0
"""Time, in seconds, for which a node that has announced that it is leaving gets no
calls: a little more than a stop may take. A node that has started again says so."""

MAX_PROOF_AGE_SECONDS = 1e6
"""Age in seconds above which there is no proof."""

MAX_SERVERS_PER_PONG = 2000
"""Most backend servers in one answer to a ping, about 200 KB."""


class Peers:
    """Links to the nodes of other hosts.

    Parameters
    ----------
    port : int
        Port on which nodes listen for each other.
    memory : ByteBudget
        Budget for the bodies of answers that arrive on the links.

    Attributes
    ----------
    load_sharing : LoadSharing or None
        Sharing of the loads of servers in pings and pongs; None for none.
    """

    def __init__(
        self,
        port: int,
        fleet_view: FleetView,
        source: FleetSource,
        clock: Callable[[], float],
        counters: Counters,
        random_source: random.Random,
        memory: ByteBudget,
    ) -> None:
        self._port = port
        self._memory = MemoryQueue(memory)
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
        self._gossip_hosts: tuple[object, list[str], int] = (None, [], 0)
        self._view = GossipView(random_source)
        self._packed_version = 0
        self._packed_document = b""
        self._informed = asyncio.Event()
        self.leaving = False
        self.load_sharing: LoadSharing | None = None

    @property
    def arriving_answers(self) -> int:
        """Number of answers whose bodies are arriving on the links."""
        return sum(link.arriving_answers for link in self._links.values())

    def call(self, host: str, call: Call, reply: OutcomeSink) -> Cancel:
        """Send a call to another node; return a function that cancels it."""
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
        """Ask another node for permits; `done` gets those lent and those left there."""
        link = self._link(host)
        if link is None:
            done(0.0, 0.0)
        else:
            link.borrow(team, min_permits, max_permits, done)

    def return_permits(self, host: str, team: str, amount: float) -> None:
        """Return permits to a share host, which can use them."""
        link = self._link(host)
        if link is not None:
            link.send((Kind.GIVE_BACK, team, amount))

    def state_of(self, host: str) -> str:
        """State of another host's node: unreachable, leaving or live."""
        if host in self._unreachable:
            return "unreachable"
        return "leaving" if host in self._leaving else "live"

    def reachable(self, hosts: list[str]) -> list[str]:
        """Select the other hosts that can be reached."""
        own = self._fleet_view.host
        return [h for h in hosts if h != own and h not in self._unreachable]

    def in_own_zone(self, hosts: list[str]) -> set[str]:
        """Select the hosts in this node's availability zone."""
        zones = self._fleet_view.host_zones
        return {host for host in hosts if zones.get(host) == self._fleet_view.zone}

    def gossip(self) -> None:
        """Ask some peers for their fleet views, and close idle links."""
        for host in self._gossip_targets():
            link = self._link(host)
            if link is not None:
                self._ping(link)
        now = self._clock()
        for link in list(self._links.values()):
            if not link.open_calls and now - link.last_used_at > LINK_IDLE_SECONDS:
                del self._links[link.host]
                link.close()

    async def consult(self, seconds: float) -> None:
        """Ask peers; wait until one has answered that has proof, for a time at most."""
        hosts = [host for host, _ in self._fleet_view.directory.hosts()]
        hosts = self.reachable(hosts)
        self._informed.clear()
        for host in self._random.sample(hosts, min(CONSULTED_PEERS, len(hosts))):
            link = self._link(host)
            if link is not None:
                self._ping(link)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._informed.wait()

    def _gossip_targets(self) -> list[str]:
        """Choose a reader of the own zone, which has the newest proof, and others."""
        hosts = self._known_hosts()
        own = self._fleet_view.host
        near = [
            host
            for host in self._fleet_view.readers
            if host != own and host not in self._unreachable
        ]
        asked = self._random.sample(near, min(1, len(near)))
        count = GOSSIP_FANOUT + 1 - len(asked)
        return asked + self._view.choose(hosts, self._unreachable, asked, count)

    def _known_hosts(self) -> list[str]:
        """Hosts other than this one, computed once for each list of hosts."""
        hosts, introduced = self._fleet_view.directory.hosts(), len(self._introduced)
        listed, known, count = self._gossip_hosts
        if listed is not hosts or count != introduced:
            names = self._introduced | {host for host, _ in hosts}
            names.discard(self._fleet_view.host)
            known = sorted(names)
            self._gossip_hosts = (hosts, known, introduced)
        return known

    def check_links(self) -> None:
        """Break silent links, and try to reach lost hosts again."""
        for link in list(self._links.values()):
            if link.check():
                self._ping(link)
        self._probe_unreachable()

    def announce_leaving(self) -> None:
        """Tell all linked peers at once that this node is leaving."""
        self.leaving = True
        for link in list(self._links.values()):
            if link.state is LinkState.UP:
                self._ping(link)

    def broadcast_changes(self, changes: SourceChanges) -> None:
        """Send changes at once to peers of the own zone; the others ask for them."""
        document = b""
        if changes.configuration is not None:
            document = self._packed(changes.configuration)
        update = (
            Kind.UPDATE,
            self._fleet_view.version,
            document,
            [pack_server(server) for server in changes.servers],
            [pack_removal(self._known_removal(one)) for one in changes.removed],
            pack_evacuations(self._fleet_view.evacuations),
        )
        links = {self._link(host) for host in self._broadcast_targets()}
        if changes.evacuations:
            # Evacuations are rare, and each second before they take effect has a cost.
            links |= {
                link for link in self._links.values() if link.state is LinkState.UP
            }
        for link in links:
            if link is not None:
                link.send(update)

    def _known_removal(self, removal: Removal) -> Removal:
        """Complete a removal with the server's report, which the store doesn't say."""
        known = self._fleet_view.directory.removal_of(removal.server)
        same = known is not None and known[:3] == removal[:3]
        return known if same else removal

    def _broadcast_targets(self) -> list[str]:
        """Choose some hosts of the own zone; other zones have readers of their own."""
        fleet_view = self._fleet_view
        hosts = [
            host
            for host, zone in fleet_view.directory.hosts()
            if zone == fleet_view.zone and host != fleet_view.host
        ]
        return self._random.sample(hosts, min(BROADCAST_FANOUT, len(hosts)))

    def _packed(self, configuration: FleetConfiguration) -> bytes:
        """Packed document of a configuration for other nodes, cached by version."""
        if self._packed_version != configuration.version:
            self._packed_version = configuration.version
            self._packed_document = pack_document(configuration.document)
        return self._packed_document

    def receive_update(self, message: list) -> None:
        """Apply changes that a peer has read from the platform."""
        _, version, document, servers, removed, evacuations = message
        state = unpack_evacuations(evacuations)
        # No request may be sent on the way that a configuration opens before the
        # evacuated zones are known.
        self._merge_evacuations(state, self._fleet_view.freshness.now)
        if version > self._fleet_view.version:
            self._adopt_document(document)
        self._fleet_view.directory.merge(
            [unpack_server(server) for server in servers],
            [unpack_removal(removal) for removal in removed],
        )

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def answer_ping(self, ping: list) -> tuple:
        """Record the sender of a ping; return the fields of the answer."""
        _, asked_at, host, version, epoch, revision, leaving, evacuations, loads = ping
        known = unpack_position([epoch, revision])
        state = unpack_evacuations(evacuations)
        self._record_peer(host, leaving)
        if host in self._unreachable and host not in self._links:
            # Its ping says that it can be reached again, so it need not wait its turn.
            self._ping(self._open_link(host))
        fleet_view = self._fleet_view
        self._merge_evacuations(state, fleet_view.freshness.now)
        configuration = fleet_view.configuration
        document = b""
        if configuration is not None and configuration.version > version:
            document = self._packed(configuration)
        update = fleet_view.directory.update_for(known)
        servers = update.servers[:MAX_SERVERS_PER_PONG]
        fits = len(servers) == len(update.servers)
        deaths = fleet_view.suspects.recent_deaths(self._clock())
        return (
            asked_at,
            fleet_view.version,
            _packed_age(fleet_view.freshness),
            document,
            [pack_server(server) for server in servers],
            [pack_removal(removal) for removal in update.removed],
            update.position.epoch,
            _packed_age(fleet_view.epoch_freshness),
            update.position.revision if fits else 0,
            update.is_whole and fits,
            [(death.fingerprint, death.server, death.age) for death in deaths],
            self.leaving,
            pack_evacuations(fleet_view.evacuations),
            self.load_sharing.pong_fields(loads) if self.load_sharing else [],
        )

    def usable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Select the servers that stay and whose nodes can be reached and stay."""
        announcements = self._fleet_view.leaving_announcements
        if announcements:
            servers = [
                server
                for server in servers
                if not announcements.holds(server.id, server.started)
            ]
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
            epoch,
            epoch_age,
            revision,
            is_whole,
            deaths,
            leaving,
            evacuations,
            loads,
        ) = message
        state = unpack_evacuations(evacuations)
        self._record_peer(host, leaving)
        if host in self._unreachable:
            self._unreachable.discard(host)
            LOGGER.info("link to node regained", extra={"host": host})
        fleet_view = self._fleet_view
        update = DirectoryUpdate(
            [unpack_server(server) for server in servers],
            [unpack_removal(removal) for removal in removed],
            unpack_position([epoch, revision]),
            is_whole,
        )
        stated_at = asked_at - epoch_age if epoch_age >= 0 else float("-inf")
        self._apply_update(update, stated_at)
        self._merge_evacuations(state, asked_at)
        if version > fleet_view.version:
            self._adopt_document(document)
        # The peer's proof holds for the peer's version. Of a newer one the document may
        # be missing; an older one may come from a store that was restored from a copy.
        if age >= 0 and version and fleet_view.version >= version:
            if fleet_view.version == version:
                fleet_view.freshness.confirm_by_peer(asked_at, age)
            self._informed.set()
        fleet_view.suspects.record_deaths(
            (Death(*death) for death in deaths), self._clock()
        )
        if self.load_sharing is not None:
            took = fleet_view.freshness.now - asked_at
            self.load_sharing.receive_pong(host, loads, took)

    def _apply_update(self, update: DirectoryUpdate, stated_at: float) -> None:
        """Apply a peer's update; the store stated the peer's epoch at a given time."""
        fleet_view = self._fleet_view
        directory, before = fleet_view.directory, fleet_view.directory.position
        is_later = fleet_view.states_later_epoch(update.position.epoch, stated_at)
        directory.apply_update(update, is_later)
        if directory.epoch != before.epoch:
            LOGGER.info(
                "platform's data restored, says a node",
                extra={
                    "epoch": directory.epoch,
                    "revision": directory.revision,
                    "previous_epoch": before.epoch,
                    "previous_revision": before.revision,
                },
            )
        if update.position.epoch == directory.epoch:
            fleet_view.epoch_freshness.confirm(stated_at)

    def _merge_evacuations(
        self, state: EvacuationState | None, asked_at: float
    ) -> None:
        """Merge a peer's evacuations, unless it knows no complete list of them."""
        fleet_view = self._fleet_view
        if fleet_view.evacuations is not None and state is not None:
            fleet_view.evacuations.merge(state, fleet_view.directory.epoch, asked_at)

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
        """Try to reach lost hosts; they get calls again once they answer a ping.

        A connection alone proves nothing: the kernel accepts it for a process that is
        frozen. The other node closes one on which it receives nothing.
        """
        now = self._clock()
        due = []
        for host in self._unreachable:
            link = self._links.get(host)
            if link is None and self._retry_at.get(host, 0.0) <= now:
                due.append(host)
            elif link is not None and not link.is_awaiting:
                self._ping(link)
        due.sort(key=lambda host: self._retry_at.get(host, 0.0))
        for host in due[:PROBES_PER_CHECK]:
            self._ping(self._open_link(host))

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
            *fleet_view.directory.position,
            self.leaving,
            pack_evacuations(fleet_view.evacuations),
            self.load_sharing.ping_fields() if self.load_sharing else [[], []],
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
            self._memory,
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
            # The host answers: its node may have ended, or only the connection has.
            self._counters.add("peer_links", reason="reset")
            self._ping(self._open_link(host))
            return
        if host not in self._unreachable:
            fields = {"host": host, "cause": cause, "open_calls": open_calls}
            LOGGER.info("link to node lost", extra=fields)
        self._retry_at[host] = self._clock() + RECONNECT_DELAY_SECONDS
        self._unreachable.add(host)
        if host not in self._fleet_view.host_zones:
            self._introduced.discard(host)
            self._gossip_hosts = (None, [], 0)
            self._unreachable.discard(host)


def _packed_age(proof: Freshness) -> float:
    """Age of a proof in seconds for a message; -1 if there is none."""
    return proof.age if proof.age < MAX_PROOF_AGE_SECONDS else -1.0


def _cancel_unsent() -> bool:
    """Cancel a call that was not sent."""
    return True
