"""Descriptions of listed backend servers, with the ways in which they are looked up."""

from collections.abc import Callable

from damaskramp.core.ids import ServiceName
from damaskramp.fleet.model import BackendServer, Epoch, ServerId

__all__ = ["ListedServers"]


class ListedServers:
    """Listed servers by id and by service.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    by_id : dict
        Descriptions by the server's id.
    by_service : dict
        Descriptions by service, as of the latest call of `index`.
    earlier : tuple of BackendServer
        Descriptions of other epochs than the followed one, as of that call.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._received_at: dict[ServerId, float] = {}
        self.by_id: dict[ServerId, BackendServer] = {}
        self.by_service: dict[ServiceName, list[BackendServer]] = {}
        self.earlier: tuple[BackendServer, ...] = ()

    def add(self, server: BackendServer, received_at: float) -> None:
        """List a server whose description was received at a clock time in seconds."""
        self.by_id[server.id] = server
        self._received_at[server.id] = received_at

    def remove(self, server: ServerId) -> None:
        """Remove a listed server."""
        del self.by_id[server]
        del self._received_at[server]

    def index(self, epoch: Epoch) -> None:
        """Update what is derived from the descriptions, after changes of these."""
        self.by_service = {}
        for server in self.by_id.values():
            self.by_service.setdefault(server.service, []).append(server)
        self.earlier = tuple(
            server for server in self.by_id.values() if server.epoch != epoch
        )

    def find_by_address(
        self, address: str, service: ServiceName, epoch: Epoch
    ) -> BackendServer | None:
        """Latest lifetime of a service's server at an address; None if there is none.

        Of equal ones, that of the given epoch is preferred.
        """
        listed = self.by_service.get(service, ())
        return max(
            (server for server in listed if server.address == address),
            key=lambda s: (s.started, s.epoch == epoch, s.revision),
            default=None,
        )

    def warmup_left(self, server: BackendServer) -> float:
        """Seconds until a listed server is warm, counted down from its latest entry."""
        received_at = self._received_at.get(server.id)
        if not server.warmup or received_at is None:
            return server.warmup
        return max(0.0, server.warmup - (self._clock() - received_at))
