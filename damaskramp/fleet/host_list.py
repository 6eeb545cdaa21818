"""Hosts of the fleet, which count for a while after their servers were listed."""

from collections.abc import Callable, Iterable

from damaskramp.core.ids import ZoneName
from damaskramp.fleet.model import BackendServer

__all__ = ["HostList"]

HOST_RETENTION_SECONDS = 20.0
"""Time for which a host still counts after its server was last listed. It is twice the
longest window over which rates are counted, so that the shares of the remaining hosts
do not rise early when the list shrinks."""

HOSTS_CACHE_SECONDS = 1.0
"""Time for which the list of hosts is cached, so that reading it many times a second
costs the same for a fleet of any size. It is a small part of `HOST_RETENTION_SECONDS`.
"""


class HostList:
    """Hosts that are listed or were listed a short time ago, each with its zone.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_listed: dict[str, tuple[float, ZoneName]] = {}
        self._cached_at = 0.0
        self._cached_generation = -1
        self._hosts: list[tuple[str, ZoneName]] = []
        self._zones: dict[str, ZoneName] | None = None

    def hosts(
        self, servers: Iterable[BackendServer], generation: int
    ) -> list[tuple[str, ZoneName]]:
        """Hosts with their zones; the same list object until it may have changed.

        Parameters
        ----------
        servers : iterable of BackendServer
            Servers that are listed now.
        generation : int
            Number that grows with each change of the servers.
        """
        now = self._clock()
        is_same = generation == self._cached_generation
        if is_same and now - self._cached_at < HOSTS_CACHE_SECONDS:
            return self._hosts
        for server in servers:
            self._last_listed[server.host] = (now, server.zone)
        for host, (last_listed, _) in list(self._last_listed.items()):
            if now - last_listed > HOST_RETENTION_SECONDS:
                del self._last_listed[host]
        self._hosts = [
            (host, zone) for host, (_, zone) in sorted(self._last_listed.items())
        ]
        self._zones = None
        self._cached_at, self._cached_generation = now, generation
        return self._hosts

    def zone_of(self, host: str) -> ZoneName | None:
        """Zone of a host in the latest list; None if it is not there."""
        if self._zones is None:
            self._zones = dict(self._hosts)
        return self._zones.get(host)

    def record_removed(self, server: BackendServer) -> None:
        """Record that a server has been listed until now."""
        self._last_listed[server.host] = (self._clock(), server.zone)
