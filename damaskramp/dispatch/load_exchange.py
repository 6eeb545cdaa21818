"""Loads of servers that hosts tell each other on messages that they send anyway.

A host learns the load of a server from the outcomes of its own requests, and this
knowledge expires after a second. With each ping a host says which services it uses and
what the load of its own server is; the answer holds the freshest loads that the other
host knows of servers of these services. Only servers that state their pace take part.
"""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from damaskramp.core.ids import ServiceName
from damaskramp.dispatch.load import Load
from damaskramp.fleet.model import BackendServer, ServerId

__all__ = ["ExchangeSettings", "KnownLoad", "LoadExchange"]


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Settings of the exchange.

    Attributes
    ----------
    max_services : int
        Most services that a host asks about at once; of more, some drawn at random.
    max_loads : int
        Most loads in one answer, each of some 20 bytes.
    max_age_seconds : float
        Age from which a load is not told any more. It expires at a second.
    interest_seconds : float
        Time for which a host asks about a service after a server of it has answered.
    """

    max_services: int = 4
    max_loads: int = 8
    max_age_seconds: float = 0.6
    interest_seconds: float = 5.0


class KnownLoad(NamedTuple):
    """Load of a server at a clock time.

    Attributes
    ----------
    in_flight : int
        Requests that run or wait there.
    pace : float
        Stated pace as a multiple of the usual.
    stated_at : float
        Clock time of the load in seconds.
    """

    server: ServerId
    in_flight: int
    limit: int
    pace: float
    stated_at: float


class LoadExchange:
    """Loads of servers that one host knows and tells.

    Parameters
    ----------
    servers_of : callable
        Returns the servers of a service.
    """

    def __init__(
        self,
        settings: ExchangeSettings,
        servers_of: Callable[[ServiceName], Collection[BackendServer]],
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._servers_of = servers_of
        self._random = random_source
        self._known: dict[ServerId, KnownLoad] = {}
        self._used_at: dict[ServiceName, float] = {}

    def record_answer(self, server: BackendServer, load: Load, now: float) -> None:
        """Record the load that came with the outcome of a request."""
        if load.pace:
            self._used_at[server.service] = now
            in_flight = load.running + load.waiting
            self._known[server.id] = KnownLoad(
                server.id, in_flight, load.limit, load.pace, now
            )

    def record_told(self, loads: Iterable[KnownLoad]) -> list[KnownLoad]:
        """Record loads that another host has told; return those that are news."""
        news = []
        for load in loads:
            known = self._known.get(load.server)
            if known is None or load.stated_at > known.stated_at:
                self._known[load.server] = load
                news.append(load)
        return news

    def services(self, now: float) -> list[ServiceName]:
        """Services to ask about."""
        settings = self._settings
        oldest = now - settings.interest_seconds
        for service in [name for name, at in self._used_at.items() if at < oldest]:
            del self._used_at[service]
        used = list(self._used_at)
        return self._random.sample(used, min(settings.max_services, len(used)))

    def collect(self, services: Iterable[ServiceName], now: float) -> list[KnownLoad]:
        """Freshest known loads of servers of some services, for another host."""
        settings = self._settings
        if not self._known:
            return []
        oldest = now - settings.max_age_seconds
        found = [
            load
            for service in list(services)[: settings.max_services]
            for server in self._servers_of(service)
            if (load := self._known.get(server.id)) is not None
            and load.stated_at > oldest
        ]
        found.sort(key=lambda load: load.stated_at, reverse=True)
        return found[: settings.max_loads]

    def retain(self, known: Collection[ServerId]) -> None:
        """Forget the loads of all other servers."""
        if len(self._known) > len(known):
            self._known = {
                name: load for name, load in self._known.items() if name in known
            }
