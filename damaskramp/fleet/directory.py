"""Directory of backend servers, merged from the platform and from peers.

Each description carries the revision of the store at which it was written. Views of
one epoch of the store therefore merge in any order, because the later revision wins. A
deletion leaves a tombstone for as long as a peer may still have the deleted
description.

A store that is restored from a copy begins a new epoch, in which revisions are given
out again and changes may be lost until their writers have made them again
(`epoch_order`). What was known before stands until the store lists something newer or,
for a deletion, until the store would have deleted the server again.

While the platform is unreachable, descriptions may expire although their servers are
alive. After its return, removals are therefore deferred until such servers have had
time to describe themselves again.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from damaskramp.core.ids import ServiceName, ZoneName
from damaskramp.fleet.epoch_order import EpochOrder
from damaskramp.fleet.host_list import HostList
from damaskramp.fleet.listed_servers import ListedServers
from damaskramp.fleet.model import (
    NO_EPOCH,
    BackendServer,
    Epoch,
    Removal,
    Revision,
    ServerId,
    StorePosition,
)
from damaskramp.fleet.removals import Removals

__all__ = ["REREGISTRATION_SECONDS", "Directory", "DirectoryUpdate"]

REREGISTRATION_SECONDS = 2.0
"""Time after the platform's return, in seconds, within which live servers are described
again, according to the platform."""

OVERRIDE_SECONDS = 30.0
"""Time for which a deletion of an earlier epoch stands against a store that lists the
server again. By then the store has deleted a server that is gone: it does so after
three missed heartbeats."""


class DirectoryUpdate(NamedTuple):
    """What one directory tells another.

    Attributes
    ----------
    position : StorePosition
        Position up to which the other directory is complete with this update.
    is_whole : bool
        Whether all servers are listed, so that one that is missing doesn't exist.
    """

    servers: list[BackendServer]
    removed: list[Removal]
    position: StorePosition
    is_whole: bool


class Directory:
    """Descriptions of backend servers by id.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    warmup_left : callable
        `ListedServers.warmup_left`, which is called for many requests.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._listed = ListedServers(clock)
        self.warmup_left = self._listed.warmup_left
        self._removals = Removals(clock)
        self._hosts = HostList(clock)
        self._overridden: dict[ServerId, tuple[BackendServer, float]] = {}
        self._deferred: dict[ServerId, Removal] = {}
        self._defer_until = float("-inf")
        self._position = StorePosition(NO_EPOCH, Revision(0))
        self._order = EpochOrder(NO_EPOCH, Revision(0))
        self._generation = 0
        self._outdated = 0

    @property
    def position(self) -> StorePosition:
        """Position in the store up to which the directory is complete."""
        return self._position

    @property
    def epoch(self) -> Epoch:
        """Epoch of the store that the directory follows."""
        return self._position.epoch

    @property
    def revision(self) -> Revision:
        """Revision of the store up to which the directory is complete."""
        return self._position.revision

    @property
    def generation(self) -> int:
        """Counter that grows with each change of the directory."""
        return self._generation

    @property
    def outdated(self) -> int:
        """Number of descriptions ignored because a newer one was known."""
        return self._outdated

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All listed backend servers."""
        return tuple(self._listed.by_id.values())

    @property
    def removed(self) -> tuple[Removal, ...]:
        """Deletions that are still remembered."""
        return self._removals.all

    def update_for(self, position: StorePosition) -> DirectoryUpdate:
        """Collect what a peer lacks that is complete up to a position.

        The update is whole if the peer follows another epoch, or lacks deletions that
        this directory has never known or has forgotten.
        """
        epoch, revision = position
        if epoch != self.epoch or revision < self._removals.known_after:
            return DirectoryUpdate(
                list(self._listed.by_id.values()),
                list(self.removed),
                self._position,
                True,
            )
        servers, removed = list(self._listed.earlier), self._removals.late
        if self.revision > revision:
            removed += self._removals.after(position)
            servers += [
                server
                for server in self._listed.by_id.values()
                if server.epoch == epoch and server.revision > revision
            ]
        return DirectoryUpdate(servers, removed, self._position, False)

    def apply_update(self, update: DirectoryUpdate, states_later_epoch: bool) -> bool:
        """Apply an update of a peer; return whether the directory changed.

        Parameters
        ----------
        states_later_epoch : bool
            Whether the store stated the peer's epoch later than the one that this
            directory follows.
        """
        servers, removed, position, is_whole = update
        if position.epoch != self.epoch and states_later_epoch:
            return is_whole and self.replace(servers, position, removed)
        if is_whole and position.epoch == self.epoch:
            removed = [*removed, *self._missing_from(servers, position)]
            self._removals.know_after(position.revision)
        return self.merge(servers, removed, position)

    def removal_of(self, server: ServerId) -> Removal | None:
        """Deletion of a server's description; None if none is remembered."""
        return self._removals.of(server)

    def of_service(self, service: ServiceName) -> list[BackendServer]:
        """Backend servers of a service, leaving ones included."""
        return self._listed.by_service.get(service, [])

    def find_by_address(
        self, address: str, service: ServiceName
    ) -> BackendServer | None:
        """Backend server of a service at an address; None if there is none.

        Of several lifetimes of the server, the latest is returned.
        """
        return self._listed.find_by_address(address, service, self.epoch)

    def find(self, server: ServerId) -> BackendServer | None:
        """Description of a server; None if it is not listed."""
        return self._listed.by_id.get(server)

    def is_listed(self, server: ServerId) -> bool:
        """Whether a server is listed."""
        return server in self._listed.by_id

    def was_removed(self, server: ServerId) -> bool:
        """Whether the deletion of a server's description is still remembered."""
        return server in self._removals.by_server

    def defer_removals(self, until: float) -> None:
        """Defer removals until a clock time in seconds."""
        self._defer_until = max(self._defer_until, until)

    def apply_deferred(self) -> bool:
        """Apply deferred removals, and listings that were overridden, in their time.

        The return value tells whether the directory changed.
        """
        now = self._clock()
        self._removals.forget_late()
        changed = self._restore_overridden(now - OVERRIDE_SECONDS)
        if not self._deferred or now < self._defer_until:
            return changed
        deferred, self._deferred = self._deferred, {}
        return self.merge((), deferred.values()) or changed

    def hosts(self) -> list[tuple[str, ZoneName]]:
        """Hosts that are listed or were listed a short time ago, each with its zone.

        The same list object is returned until a host or its zone changes, so that what
        follows from the list is computed once for each of its changes.
        """
        return self._hosts.hosts(self._listed.by_id.values())

    def merge(
        self,
        servers: Iterable[BackendServer],
        removed: Iterable[Removal] = (),
        complete_to: StorePosition | None = None,
    ) -> bool:
        """Merge descriptions and deletions; return whether the directory changed.

        Parameters
        ----------
        complete_to : StorePosition or None
            Position up to which the sender's view, together with this directory, is
            complete. It is ignored if it belongs to another epoch.
        """
        return self._merge(
            (server for server in servers if not self._is_known_deleted(server)),
            removed,
            complete_to,
        )

    def replace(
        self,
        servers: Iterable[BackendServer],
        position: StorePosition,
        removed: Iterable[Removal] = (),
    ) -> bool:
        """Apply a complete list of servers; return whether the directory changed.

        Servers that the list lacks are removed unless their description is newer. If
        the list belongs to another epoch, the directory follows that one from now on.

        Parameters
        ----------
        position : StorePosition
            Position of the store before the first part of the list was read.
        """
        servers = list(servers)
        enters_epoch = position.epoch != self.epoch
        if enters_epoch:
            self._enter_epoch(position)
        missing = self._missing_from(servers, position)
        self._removals.known_after = position.revision
        # Servers that the store lists exist, whatever peers have reported, so they
        # skip the check for known deletions.
        changed = self._merge(servers, [*removed, *missing], position)
        if enters_epoch and not changed:
            self._rebuild()
        return changed or enters_epoch

    def _missing_from(
        self, servers: list[BackendServer], position: StorePosition
    ) -> list[Removal]:
        """Removals of the servers that a complete list lacks."""
        listed = {server.id for server in servers}
        return [
            Removal(name, position.revision, position.epoch, server.report)
            for name, server in self._listed.by_id.items()
            if name not in listed
            and (server.epoch != self.epoch or server.revision <= position.revision)
        ]

    def _enter_epoch(self, position: StorePosition) -> None:
        self._position = position
        self._order = EpochOrder(*position)
        self._overridden.clear()
        if self._listed.by_id:
            self.defer_removals(self._clock() + REREGISTRATION_SECONDS)

    def _is_known_deleted(self, server: BackendServer) -> bool:
        """Whether a description must have been deleted, as this directory lacks it.

        The directory is complete up to its revision, so an older description that it
        lacks was deleted. A process that has just started needs this check, because it
        has no tombstones of earlier deletions.
        """
        if server.id in self._listed.by_id:
            return False
        return server.epoch != self.epoch or server.revision <= self.revision

    def _merge(
        self,
        servers: Iterable[BackendServer],
        removed: Iterable[Removal],
        complete_to: StorePosition | None,
    ) -> bool:
        changed = False
        for server in servers:
            changed |= self._add_server(server)
        for removal in removed:
            changed |= self._remove_server(removal)
        if complete_to is not None and complete_to.epoch == self.epoch:
            self._position = max(self._position, complete_to)
        if changed:
            self._rebuild()
        return changed

    def _add_server(self, server: BackendServer) -> bool:
        known = self._listed.by_id.get(server.id)
        if known is not None and not self._order.is_newer(server, known):
            self._outdated += known != server
            return False
        removal = self.removal_of(server.id)
        if removal is not None and not self._order.is_after_removal(server, removal):
            self._outdated += 1
            if server.epoch == self.epoch and removal.epoch != self.epoch:
                self._overridden.setdefault(server.id, (server, self._clock()))
            return False
        self._removals.forget(server.id)
        self._overridden.pop(server.id, None)
        self._hosts.record_listed(server, known)
        self._listed.add(server, self._clock())
        return True

    def _remove_server(self, removal: Removal) -> bool:
        name = removal.server
        known = self._listed.by_id.get(name)
        if known is not None:
            if not self._order.is_removed_by(known, removal):
                return False
            removal = removal._replace(report=max(known.report, removal.report or ()))
            if self._clock() < self._defer_until:
                self._deferred[name] = removal
                return False
        else:
            remembered = self.removal_of(name)
            if remembered and not self._order.is_later_removal(removal, remembered):
                return False
        self._removals.add(removal, self._position)
        if removal.epoch == self.epoch:
            self._overridden.pop(name, None)
        if known is None:
            return False
        if known.epoch == self.epoch and removal.epoch != self.epoch:
            self._overridden[name] = (known, self._clock())
        self._hosts.record_left(known)
        self._listed.remove(name)
        return True

    def _restore_overridden(self, before: float) -> bool:
        """List servers again that the store has gone on listing since a clock time."""
        restored = [
            (server, since)
            for server, since in self._overridden.values()
            if since <= before
        ]
        for server, since in restored:
            del self._overridden[server.id]
            self._removals.forget(server.id)
            self._hosts.record_listed(server, None)
            self._listed.add(server, since)
        if restored:
            self._rebuild()
        return bool(restored)

    def _rebuild(self) -> None:
        self._generation += 1
        self._listed.index(self.epoch)
        self._removals.forget_old(self.epoch)
