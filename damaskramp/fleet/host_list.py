"""Hosts of the fleet, which count for a while after their servers were listed."""

from collections.abc import Callable, Iterable

from damaskramp.core.ids import ZoneName
from damaskramp.fleet.model import BackendServer

__all__ = ["HostList"]

HOST_RETENTION_SECONDS = 20.0
"""Time for which a host still counts after its server was last listed. It is twice the
longest window over which rates are counted, so that the shares of the remaining hosts
do not rise early when the list shrinks."""


class HostList:
    """Hosts that are listed or were listed a short time ago, each with its zone.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._left: dict[str, tuple[float, ZoneName]] = {}
        self._hosts: list[tuple[str, ZoneName]] = []
        self._is_outdated = True
        self._valid_until = float("-inf")

    def hosts(self, servers: Iterable[BackendServer]) -> list[tuple[str, ZoneName]]:
        """Hosts with their zones; the same list object until one of them changes.

        Parameters
        ----------
        servers : iterable of BackendServer
            Servers that are listed now, all changes of which have been recorded.
        """
        now = self._clock()
        if not self._is_outdated and now <= self._valid_until:
            return self._hosts
        found = {server.host: server.zone for server in servers}
        self._valid_until = float("inf")
        for host, (left_at, zone) in list(self._left.items()):
            retained_until = left_at + HOST_RETENTION_SECONDS
            if host in found or now > retained_until:
                del self._left[host]
            else:
                found[host] = zone
                self._valid_until = min(self._valid_until, retained_until)
        self._is_outdated = False
        hosts = sorted(found.items())
        if hosts != self._hosts:
            self._hosts = hosts
        return self._hosts

    def record_listed(self, server: BackendServer, known: BackendServer | None) -> None:
        """Record that a server is listed, with its description until now if any."""
        if known is None:
            self._is_outdated = True
        elif (known.host, known.zone) != (server.host, server.zone):
            self.record_left(known)

    def record_left(self, server: BackendServer) -> None:
        """Record that a server has been listed on its host until now."""
        self._left[server.host] = (self._clock(), server.zone)
        self._is_outdated = True
