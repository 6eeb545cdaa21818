"""Connections at the address for other nodes, before their first message.

A connection becomes a link only once it has sent something. Connections that stay
silent are closed, the oldest first if there are many.
"""

import asyncio
from collections.abc import Callable

from damaskramp.relay.shedding import Shedding, SheddingLog, client_address

__all__ = ["LinkGate"]

MAX_SILENT_LINKS = 64
"""Most connections without a message. Nodes send one as soon as they are connected."""

SILENT_SECONDS = 2.0
"""Longest time, in seconds, until the first bytes: several times the silence after
which a link counts as broken."""


class LinkGate:
    """Gate in front of the links that other nodes open.

    Parameters
    ----------
    connect : callable
        Creates the protocol of a link.
    open_links : callable
        Returns the number of links.
    max_connections : int
        Most connections, silent ones and links together.
    """

    def __init__(
        self,
        connect: Callable[[], asyncio.Protocol],
        open_links: Callable[[], int],
        max_connections: int,
        clock: Callable[[], float],
        log: SheddingLog,
    ) -> None:
        self._connect = connect
        self._open_links = open_links
        self._max_connections = max_connections
        self._clock = clock
        self._log = log
        self._silent: dict[_SilentLink, float] = {}

    def connect(self) -> asyncio.Protocol:
        """Create the protocol of a new connection."""
        return _SilentLink(self)

    def enter(self, link: "_SilentLink") -> None:
        """Register a connection, and close the oldest silent one if there are many."""
        self._silent[link] = self._clock()
        silent = len(self._silent)
        total = self._open_links() + silent
        if silent > MAX_SILENT_LINKS or total > self._max_connections:
            self._close(next(iter(self._silent)))

    def admit(self, link: "_SilentLink") -> asyncio.Protocol | None:
        """Create the link of a connection that has sent something, if it may stay."""
        if self._silent.pop(link, None) is None:
            return None
        return self._connect()

    def leave(self, link: "_SilentLink") -> None:
        """Forget a connection that has ended without a message."""
        self._silent.pop(link, None)

    def sweep(self) -> None:
        """Close connections that stay silent."""
        now = self._clock()
        for link, since in list(self._silent.items()):
            if now - since <= SILENT_SECONDS:
                break
            self._close(link)

    def abort(self) -> None:
        """Close all silent connections."""
        for link in list(self._silent):
            self.leave(link)
            link.close()

    def _close(self, link: "_SilentLink") -> None:
        self._log.record(Shedding.LINKS, link.client, 0)
        self.leave(link)
        link.close()


class _SilentLink(asyncio.Protocol):
    """Connection that has sent nothing yet."""

    def __init__(self, gate: LinkGate) -> None:
        self._gate = gate
        self._transport: asyncio.Transport | None = None

    @property
    def client(self) -> str:
        return client_address(self._transport)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._gate.enter(self)

    def data_received(self, data: bytes) -> None:
        link = self._gate.admit(self)
        if link is None:
            return
        transport = self._transport
        transport.set_protocol(link)
        link.connection_made(transport)
        link.data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._gate.leave(self)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
