"""Other hosts as this node knows them: introduced, leaving or unreachable."""

import logging
from collections.abc import Callable

from damaskramp.fleet import BackendServer
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import check_host

__all__ = ["PeerHosts"]

LOGGER = logging.getLogger(__name__)

LEAVING_SECONDS = 8.0
"""Time, in seconds, for which a node that has announced that it is leaving gets no
calls: a little more than a stop may take. A node that has started again says so."""


class PeerHosts:
    """States of the nodes of other hosts.

    Attributes
    ----------
    introduced : set of str
        Hosts whose nodes have sent a message to this one, listed or not.
    unreachable : set of str
        Hosts to which the last link was lost and that have not answered since.
    """

    def __init__(self, fleet_view: FleetView, clock: Callable[[], float]) -> None:
        self._fleet_view = fleet_view
        self._clock = clock
        self._leaving: dict[str, float] = {}
        self._known: tuple[object, int, list[str]] = (None, 0, [])
        self.introduced: set[str] = set()
        self.unreachable: set[str] = set()

    def record(self, host: str, leaving: bool) -> None:
        """Record what a node says of itself.

        Raises
        ------
        ValueError
            If the host is no IP address.
        """
        if host not in self.introduced:
            check_host(host)
            self.introduced.add(host)
        if leaving:
            self._leaving[host] = self._clock() + LEAVING_SECONDS
        else:
            self._leaving.pop(host, None)

    def record_lost(self, host: str) -> bool:
        """Record a lost link; return False for a host that isn't listed any more."""
        if host in self._fleet_view.host_zones:
            self.unreachable.add(host)
            return True
        self.introduced.discard(host)
        self._known = (None, 0, [])
        self.unreachable.discard(host)
        return False

    def record_answered(self, host: str) -> None:
        """Record that a host has answered, so that a lost one gets calls again."""
        if host in self.unreachable:
            self.unreachable.discard(host)
            LOGGER.info("link to node regained", extra={"host": host})

    @property
    def known(self) -> list[str]:
        """Hosts other than this one, listed or introduced; not to be changed.

        They are computed once for each list of hosts.
        """
        listed, introduced = self._fleet_view.directory.hosts(), len(self.introduced)
        if self._known[0] is not listed or self._known[1] != introduced:
            names = self.introduced | {host for host, _ in listed}
            names.discard(self._fleet_view.host)
            self._known = (listed, introduced, sorted(names))
        return self._known[2]

    def forget_old(self) -> None:
        """Forget announcements of nodes that have left."""
        now = self._clock()
        for host in [host for host, until in self._leaving.items() if until < now]:
            del self._leaving[host]

    def state_of(self, host: str) -> str:
        """State of another host's node: unreachable, leaving or live."""
        if host in self.unreachable:
            return "unreachable"
        return "leaving" if host in self._leaving else "live"

    def reachable(self, hosts: list[str]) -> list[str]:
        """Select the other hosts that can be reached."""
        own = self._fleet_view.host
        return [h for h in hosts if h != own and h not in self.unreachable]

    def usable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Select the servers that stay and whose nodes can be reached and stay."""
        announcements = self._fleet_view.leaving_announcements
        if announcements:
            servers = [
                server
                for server in servers
                if not announcements.holds(server.id, server.started)
            ]
        if self._leaving:
            self.forget_old()
        leaving, unreachable = self._leaving, self.unreachable
        if not leaving and not unreachable:
            return servers
        return [
            server
            for server in servers
            if server.host not in leaving and server.host not in unreachable
        ]
