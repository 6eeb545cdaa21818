"""Kinds of load shedding by memory and descriptors, and the log of what was shed."""

import asyncio
import logging
from collections import Counter
from enum import Enum

from damaskramp.core import Counters

__all__ = ["Shedding", "SheddingLog", "client_address"]

LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS = 1.0
"""Shortest time between two lines of a kind, in seconds."""

MAX_CLIENTS = 1000
"""Most client addresses that are counted between two lines of a kind."""


class Shedding(Enum):
    """What is shed, by the resource that runs out."""

    HEADS = "heads"
    BODIES = "bodies"
    ANSWERS = "answers"
    REQUESTS = "requests"
    DESCRIPTORS = "descriptors"
    STATUS = "status"
    LINKS = "links"


def client_address(transport: asyncio.BaseTransport | None) -> str:
    """Address of the other side of a connection; empty if it is not known."""
    name = transport.get_extra_info("peername") if transport is not None else None
    return name[0] if name else ""


class SheddingLog:
    """Counters, and one line for each kind of shedding at most once a second."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._clients: dict[Shedding, Counter[str]] = {}
        self._bytes: Counter[Shedding] = Counter()
        self._written_at: dict[Shedding, float] = {}

    def record(self, kind: Shedding, client: str, held: int) -> None:
        """Record that something of a client was closed or refused.

        Parameters
        ----------
        client : str
            Address of the client.
        held : int
            Bytes that this has freed; for descriptors, 0.
        """
        self._counters.add("shed", reason=kind.value)
        self._bytes[kind] += held
        clients = self._clients.setdefault(kind, Counter())
        if client in clients or len(clients) < MAX_CLIENTS:
            clients[client] += 1

    def flush(self, now: float) -> None:
        """Write a line for each kind that has occurred since its last line.

        Parameters
        ----------
        now : float
            Clock time in seconds.
        """
        for kind, clients in list(self._clients.items()):
            last = self._written_at.get(kind)
            if last is not None and now - last < LOG_INTERVAL_SECONDS:
                continue
            del self._clients[kind]
            self._written_at[kind] = now
            client, most = clients.most_common(1)[0]
            LOGGER.warning(
                "load shed",
                extra={
                    "kind": kind.value,
                    "shed": clients.total(),
                    "bytes": self._bytes.pop(kind, 0),
                    "clients": len(clients),
                    "client": client,
                    "client_shed": most,
                },
            )
