"""Directory of backend servers, merged from the platform and from peers.

Each description carries the revision of the store at which it was written. Views
therefore merge in any order, because the later revision wins. A deletion leaves a
tombstone with its revision for as long as a peer may still have the deleted
description.

While the platform is unreachable, descriptions may expire although their servers are
alive. After its return, removals are therefore deferred until such servers have had
time to describe themselves again.
"""

from collections.abc import Callable, Iterable

from damaskramp.core.ids import ServiceName, ZoneName
from damaskramp.fleet.model import BackendServer, Revision, ServerId

__all__ = ["Directory"]

TOMBSTONE_SECONDS = 60.0
"""Time for which a deletion is remembered. A peer that still serves traffic can be cut
off only for less than this time before it hands on the old description."""

HOST_RETENTION_SECONDS = 20.0
"""Time for which a host still counts after its server was last listed. It is twice the
longest window over which rates are counted, so that the shares of the remaining hosts
do not rise early when the list shrinks."""


HOSTS_CACHE_SECONDS = 1.0
"""Time for which the list of hosts is cached, so that reading it many times a second
costs the same for a fleet of any size. It is a small part of `HOST_RETENTION_SECONDS`.
"""


class Directory:
    """Descriptions of backend servers by id.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._servers: dict[ServerId, BackendServer] = {}
        self._removed: dict[ServerId, tuple[Revision, float]] = {}
        self._by_service: dict[ServiceName, list[BackendServer]] = {}
        self._hosts_last_listed: dict[str, tuple[float, ZoneName]] = {}
        self._deferred: dict[ServerId, Revision] = {}
        self._defer_until = float("-inf")
        self._revision = Revision(0)
        self._generation = 0
        self._outdated = 0
        self._hosts: tuple[float, int, list[tuple[str, ZoneName]]] = (0.0, -1, [])

    @property
    def revision(self) -> Revision:
        """Revision of the store up to which the directory is complete."""
        return self._revision

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
        return tuple(self._servers.values())

    @property
    def removed(self) -> tuple[tuple[ServerId, Revision], ...]:
        """Deletions that are still remembered."""
        return tuple((name, entry[0]) for name, entry in self._removed.items())

    def of_service(self, service: ServiceName) -> list[BackendServer]:
        """Backend servers of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def find_by_address(
        self, address: str, service: ServiceName
    ) -> BackendServer | None:
        """Backend server of a service at an address; None if there is none.

        Of several lifetimes of the server, the latest is returned.
        """
        found = [s for s in self.of_service(service) if s.address == address]
        return max(found, key=lambda s: (s.started, s.revision), default=None)

    def find(self, server: ServerId) -> BackendServer | None:
        """Description of a server; None if it is not listed."""
        return self._servers.get(server)

    def is_listed(self, server: ServerId) -> bool:
        """Whether a server is listed."""
        return server in self._servers

    def was_removed(self, server: ServerId) -> bool:
        """Whether the deletion of a server's description is still remembered."""
        return server in self._removed

    def defer_removals(self, until: float) -> None:
        """Defer removals until a clock time in seconds."""
        self._defer_until = max(self._defer_until, until)

    def apply_deferred_removals(self) -> bool:
        """Apply deferred removals if their time is over.

        The return value tells whether the directory changed.
        """
        if not self._deferred or self._clock() < self._defer_until:
            return False
        deferred, self._deferred = self._deferred, {}
        return self.merge((), deferred.items())

    def hosts(self) -> list[tuple[str, ZoneName]]:
        """Hosts that are listed or were listed a short time ago, each with its zone.

        The same list object is returned until the directory changes, for a second at
        most.
        """
        now = self._clock()
        cached_at, generation, hosts = self._hosts
        if generation == self._generation and now - cached_at < HOSTS_CACHE_SECONDS:
            return hosts
        for server in self._servers.values():
            self._hosts_last_listed[server.host] = (now, server.zone)
        for host, (last_listed, _) in list(self._hosts_last_listed.items()):
            if now - last_listed > HOST_RETENTION_SECONDS:
                del self._hosts_last_listed[host]
        hosts = [
            (host, zone) for host, (_, zone) in sorted(self._hosts_last_listed.items())
        ]
        self._hosts = (now, self._generation, hosts)
        return hosts

    def merge(
        self,
        servers: Iterable[BackendServer],
        removed: Iterable[tuple[ServerId, Revision]] = (),
        complete_to: Revision | None = None,
    ) -> bool:
        """Merge descriptions and deletions; return whether the directory changed.

        Parameters
        ----------
        removed : iterable of (ServerId, Revision)
            Deleted descriptions and the revisions of their deletion.
        complete_to : Revision or None
            Revision up to which the sender's view, together with this directory, is
            complete.
        """
        return self._merge(
            (server for server in servers if not self._is_known_deleted(server)),
            removed,
            complete_to,
        )

    def _is_known_deleted(self, server: BackendServer) -> bool:
        """Whether a description must have been deleted, as this directory lacks it.

        The directory is complete up to its revision, so an older description that it
        lacks was deleted. A process that has just started needs this check, because it
        has no tombstones of earlier deletions.
        """
        return server.id not in self._servers and server.revision <= self._revision

    def _merge(
        self,
        servers: Iterable[BackendServer],
        removed: Iterable[tuple[ServerId, Revision]],
        complete_to: Revision | None,
    ) -> bool:
        changed = False
        for server in servers:
            changed |= self._add_server(server)
        for name, revision in removed:
            changed |= self._remove_server(name, revision)
        if complete_to is not None and complete_to > self._revision:
            self._revision = complete_to
        if changed:
            self._rebuild()
        return changed

    def replace(self, servers: tuple[BackendServer, ...], revision: Revision) -> bool:
        """Apply a snapshot of the store; return whether the directory changed.

        Descriptions that the snapshot lacks are removed unless they are newer.

        Parameters
        ----------
        revision : Revision
            Revision of the store before the first page of the snapshot was read.
        """
        listed = {server.id for server in servers}
        missing = [
            (name, revision)
            for name, server in self._servers.items()
            if name not in listed and server.revision <= revision
        ]
        # Servers that the store lists exist, whatever peers have reported, so they
        # skip the check for known deletions.
        return self._merge(servers, missing, revision)

    def _add_server(self, server: BackendServer) -> bool:
        known = self._servers.get(server.id)
        if known is not None and known.revision >= server.revision:
            self._outdated += known != server
            return False
        tombstone = self._removed.get(server.id)
        if tombstone is not None and tombstone[0] >= server.revision:
            self._outdated += 1
            return False
        self._removed.pop(server.id, None)
        self._servers[server.id] = server
        return True

    def _remove_server(self, name: ServerId, revision: Revision) -> bool:
        known = self._servers.get(name)
        if known is not None and known.revision > revision:
            return False
        if known is not None and self._clock() < self._defer_until:
            self._deferred[name] = revision
            return False
        tombstone = self._removed.get(name)
        if tombstone is not None and tombstone[0] >= revision:
            return False
        self._removed[name] = (revision, self._clock())
        if known is None:
            return False
        self._hosts_last_listed[known.host] = (self._clock(), known.zone)
        del self._servers[name]
        return True

    def _rebuild(self) -> None:
        now = self._clock()
        self._generation += 1
        self._by_service = {}
        for server in self._servers.values():
            self._by_service.setdefault(server.service, []).append(server)
        for name, (_, deleted_at) in list(self._removed.items()):
            if now - deleted_at > TOMBSTONE_SECONDS:
                del self._removed[name]
