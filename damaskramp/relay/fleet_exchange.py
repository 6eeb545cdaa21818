"""What nodes tell each other of the fleet: pings, their answers, and updates.

The answer to a ping carries the age of the answering node's proof and the data that the
asking node lacks, and nothing else.
"""

import logging
from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import Death
from damaskramp.fleet import (
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
from damaskramp.relay.load_sharing import LoadSharing
from damaskramp.relay.messages import (
    Kind,
    pack_document,
    pack_removal,
    pack_server,
    unpack_document,
    unpack_position,
    unpack_removal,
    unpack_server,
)
from damaskramp.relay.peer_hosts import PeerHosts
from damaskramp.relay.restore_log import log_restore

__all__ = ["FleetExchange"]

LOGGER = logging.getLogger(__name__)

MAX_PROOF_AGE_SECONDS = 1e6
"""Age in seconds above which there is no proof."""

MAX_SERVERS_PER_PONG = 2000
"""Most backend servers in one answer to a ping, about 200 KB."""


class FleetExchange:
    """Messages on the fleet view, and what they say applied to it.

    Attributes
    ----------
    leaving : bool
        Whether this node is leaving, as it tells the others.
    load_sharing : LoadSharing or None
        Sharing of the loads of servers in pings and pongs; None for none.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        hosts: PeerHosts,
        source: FleetSource,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._fleet_view = fleet_view
        self._hosts = hosts
        self._source = source
        self._clock = clock
        self._counters = counters
        self._packed_version = 0
        self._packed_document = b""
        self.leaving = False
        self.load_sharing: LoadSharing | None = None

    def ping_fields(self) -> tuple:
        """Fields of a ping."""
        fleet_view = self._fleet_view
        return (
            fleet_view.freshness.now,
            fleet_view.host,
            fleet_view.version,
            *fleet_view.directory.position,
            self.leaving,
            pack_evacuations(fleet_view.evacuations),
            self.load_sharing.ping_fields() if self.load_sharing else [[], []],
        )

    def answer_ping(self, ping: list) -> tuple:
        """Record the sender of a ping; return the fields of the answer."""
        _, asked_at, host, version, epoch, revision, leaving, evacuations, loads = ping
        known = unpack_position([epoch, revision])
        state = unpack_evacuations(evacuations)
        self._hosts.record(host, leaving)
        fleet_view = self._fleet_view
        self._merge_evacuations(state, fleet_view.freshness.now)
        configuration = fleet_view.configuration
        document = b""
        if configuration is not None and configuration.version > version:
            document = self.packed(configuration)
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

    def receive_pong(self, host: str, message: list) -> bool:
        """Apply an answer to a ping; return whether its sender has proof."""
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
        self._hosts.record(host, leaving)
        self._hosts.record_answered(host)
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
        has_proof = age >= 0 and version > 0 and fleet_view.version >= version
        if has_proof and fleet_view.version == version:
            fleet_view.freshness.confirm_by_peer(asked_at, age)
        fleet_view.suspects.record_deaths(
            (Death(*death) for death in deaths), self._clock()
        )
        if self.load_sharing is not None:
            took = fleet_view.freshness.now - asked_at
            self.load_sharing.receive_pong(host, loads, took)
        return has_proof

    def update_message(self, changes: SourceChanges) -> tuple:
        """Message with changes that this node has read from the platform."""
        document = b""
        if changes.configuration is not None:
            document = self.packed(changes.configuration)
        return (
            Kind.UPDATE,
            self._fleet_view.version,
            document,
            [pack_server(server) for server in changes.servers],
            [pack_removal(self._known_removal(one)) for one in changes.removed],
            pack_evacuations(self._fleet_view.evacuations),
        )

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

    def packed(self, configuration: FleetConfiguration) -> bytes:
        """Packed document of a configuration for other nodes, cached by version."""
        if self._packed_version != configuration.version:
            self._packed_version = configuration.version
            self._packed_document = pack_document(configuration.document)
        return self._packed_document

    def _known_removal(self, removal: Removal) -> Removal:
        """Complete a removal with the server's report, which the store doesn't say."""
        known = self._fleet_view.directory.removal_of(removal.server)
        same = known is not None and known[:3] == removal[:3]
        return known if same else removal

    def _apply_update(self, update: DirectoryUpdate, stated_at: float) -> None:
        """Apply a peer's update; the store stated the peer's epoch at a given time."""
        fleet_view = self._fleet_view
        directory, before = fleet_view.directory, fleet_view.directory.position
        is_later = fleet_view.states_later_epoch(update.position.epoch, stated_at)
        directory.apply_update(update, is_later)
        if directory.epoch != before.epoch:
            message = "platform's data restored, says a node"
            log_restore(LOGGER, message, directory.position, before)
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


def _packed_age(proof: Freshness) -> float:
    """Age of a proof in seconds for a message; -1 if there is none."""
    return proof.age if proof.age < MAX_PROOF_AGE_SECONDS else -1.0
