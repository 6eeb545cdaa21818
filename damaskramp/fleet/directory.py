"""Which backend servers there are, merged from the platform and from peers.

Each description carries the revision of the store at which it was written, so views
merge in any order: the later revision wins. Deletions leave a marker with their
revision for as long as a peer may still hold the deleted description.

Descriptions may lapse while the platform is out of reach, though their servers live.
After its return deletions are therefore held back until the time is over in which
such servers describe themselves again.
"""

from collections.abc import Callable, Iterable

from damaskramp.core.ids import ServiceName, ZoneName
from damaskramp.fleet.model import BackendServer, Revision, ServerId

__all__ = ["Directory"]

TOMBSTONE_SECONDS = 60.0
"""Time for which a deletion is remembered; longer than a peer may be cut off and
still hand on the old description with traffic going on."""

HOST_RETENTION_SECONDS = 20.0
"""Time for which a host counts after its server was last listed. Two of the longest
windows that rates are counted over, so that a shrinking list raises no share early."""


HOSTS_CACHE_SECONDS = 1.0
"""Time for which the list of hosts is kept, so that asking for it many times a second
costs the same at any size; a small part of the memory of hosts."""


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
        self._hosts: tuple[float, int, list[tuple[str, ZoneName]]] = (0.0, -1, [])

    @property
    def revision(self) -> Revision:
        """Revision of the store up to which the view is complete."""
        return self._revision

    @property
    def generation(self) -> int:
        """Counter that grows with each change of the view."""
        return self._generation

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All backend servers that are listed."""
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
        """Latest lifetime of the service's backend server at an address."""
        found = [s for s in self.of_service(service) if s.address == address]
        return max(found, key=lambda s: (s.started, s.revision), default=None)

    def is_listed(self, server: ServerId) -> bool:
        """Whether a server is listed."""
        return server in self._servers

    def was_removed(self, server: ServerId) -> bool:
        """Whether a server's description has been deleted."""
        return server in self._removed

    def defer_removals(self, until: float) -> None:
        """Hold deletions back until a time of the clock."""
        self._defer_until = max(self._defer_until, until)

    def apply_deferred_removals(self) -> bool:
        """Carry out what was held back, once its time is over."""
        if not self._deferred or self._clock() < self._defer_until:
            return False
        deferred, self._deferred = self._deferred, {}
        return self.merge((), deferred.items())

    def hosts(self) -> list[tuple[str, ZoneName]]:
        """Hosts that are listed or were a short time ago, with their zone.

        The list is the same object until it has changed, or for a second.
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
        """Take in descriptions and deletions; return whether the view changed.

        Parameters
        ----------
        complete_to : Revision or None
            Revision up to which the sender's view, together with this one, is
            complete.
        """
        return self._merge(
            (server for server in servers if not self._is_known_deleted(server)),
            removed,
            complete_to,
        )

    def _is_known_deleted(self, server: BackendServer) -> bool:
        """Whether a description is one that this view is known to lack rightly.

        A process that has just started has no markers of what was deleted before.
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
        """Take a snapshot: what it lacks and is not newer is gone.

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
        # What the store lists is there, whatever peers have told.
        return self._merge(servers, missing, revision)

    def _add_server(self, server: BackendServer) -> bool:
        known = self._servers.get(server.id)
        if known is not None and known.revision >= server.revision:
            return False
        tombstone = self._removed.get(server.id)
        if tombstone is not None and tombstone[0] >= server.revision:
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
