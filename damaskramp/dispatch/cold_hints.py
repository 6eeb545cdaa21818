"""Cold servers as this host knows them before their nodes have reported on them.

A server that has just been listed is idle, so every host would send it the next
request. The requests of all hosts would arrive within a second, most of them to be
refused. Each host therefore waits for a random time before its first request to a cold
server, such that the first requests of all hosts together come at the rate that the
server tolerates. After that, the server's node tells the host when there is room.
"""

import random
from collections.abc import Callable, Collection, Mapping

from damaskramp.core.ids import ServiceName
from damaskramp.fleet.model import BackendServer, ServerId, ServiceWarmup

__all__ = ["ColdHints"]


class ColdHints:
    """First contacts of this host with cold servers.

    Parameters
    ----------
    warmup_left : callable
        Returns the seconds until a listed server is warm, by its entry.

    Examples
    --------
    >>> hints = ColdHints(lambda server: 3.0, random.Random(1))
    >>> hints.is_active
    False
    >>> hints.configure({ServiceName("svc"): ServiceWarmup(5.5, 3.0)})
    >>> hints.is_active
    True
    """

    def __init__(
        self,
        warmup_left: Callable[[BackendServer], float],
        random_source: random.Random,
    ) -> None:
        self._warmup_left = warmup_left
        self._random = random_source
        self._warmups: Mapping[ServiceName, ServiceWarmup] = {}
        self._hosts = 1
        self._first_contacts: dict[ServerId, tuple[int, float]] = {}

    @property
    def is_active(self) -> bool:
        """Whether a service has a limit for its cold servers."""
        return bool(self._warmups)

    def configure(self, warmups: Mapping[ServiceName, ServiceWarmup]) -> None:
        """Set the warm-ups of the services whose cold servers are limited."""
        self._warmups = warmups

    def resize(self, hosts: int) -> None:
        """Set the number of hosts that send requests."""
        self._hosts = max(1, hosts)

    def rate(self, server: BackendServer) -> float:
        """Requests a second that a server tolerates while cold; 0 without a limit."""
        warmup = self._warmups.get(server.service)
        return warmup.rate if warmup is not None else 0.0

    def warmup_left(self, server: BackendServer) -> float:
        """Seconds until a limited server is warm, by its entry; 0 if it is not cold."""
        return self._warmup_left(server) if self.rate(server) else 0.0

    def wait(self, server: BackendServer, now: float) -> float:
        """Seconds until this host should send its first request to a server."""
        rate = self.rate(server)
        if not rate or not server.warmup:
            return 0.0
        known = self._first_contacts.get(server.id)
        if known is None or known[0] != server.started:
            left = self._warmup_left(server)
            spread = min(left, self._hosts / rate)
            known = (server.started, now + self._random.random() * spread)
            self._first_contacts[server.id] = known
        return max(0.0, known[1] - now)

    def retain(self, known: Collection[ServerId]) -> None:
        """Forget the servers that are not in `known`."""
        for name in [name for name in self._first_contacts if name not in known]:
            del self._first_contacts[name]
