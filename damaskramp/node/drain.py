"""Graceful stop of a node, which finishes running calls and accepts no new ones.

The node first continues to serve for a lame duck period: it answers callers, asks
them to close their connections, and tells other nodes on each answer that it is
leaving. Then it waits until the calls of other nodes have ended and other nodes
have stopped sending calls. Finally it stops listening, waits for the running calls
of its callers and closes.
"""

import asyncio

from damaskramp.config import LimitSettings
from damaskramp.core import TimerService
from damaskramp.http import HttpServer
from damaskramp.node.peer_server import PeerService

__all__ = ["GracefulDrain"]

POLL_INTERVAL_SECONDS = 0.02


class GracefulDrain:
    """Graceful stop of a node.

    Parameters
    ----------
    settings : LimitSettings
        Durations of the steps.
    timers : TimerService
        Clock and timers.
    http : HttpServer
        Server for callers and for the backend server of this host.
    peers : PeerService
        Service for calls from other nodes.
    """

    def __init__(
        self,
        settings: LimitSettings,
        timers: TimerService,
        http: HttpServer,
        peers: PeerService,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._http = http
        self._peers = peers

    async def run(self) -> bool:
        """Drain the node; return False if time ran out while calls were running."""
        self._http.announce_close()
        await asyncio.sleep(self._settings.lame_duck_seconds)
        # Calls from other nodes must end first, because their nested calls enter over
        # HTTP.
        end = self._timers.now + self._settings.drain_seconds
        while not self._peers_done() and self._timers.now < end:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finished = self._peers_done()
        remaining = max(0.0, end - self._timers.now)
        return await self._http.drain(remaining) and finished

    def _peers_done(self) -> bool:
        is_quiet = self._peers.quiet_seconds >= self._settings.quiet_seconds
        return is_quiet and self._peers.active == 0
