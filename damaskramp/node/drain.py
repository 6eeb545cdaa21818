"""Graceful stop of a node: nothing that runs is cut, nothing new is taken.

The node first goes on as a lame duck: callers are answered and asked to close
their connections, other nodes are told on each answer that it is leaving. Then it
listens no more, waits for running calls, and closes once other nodes have ceased
to send calls.
"""

import asyncio

from damaskramp.config import LimitSettings
from damaskramp.core import TimerService
from damaskramp.http import HttpServer
from damaskramp.node.peer_server import PeerService

__all__ = ["GracefulDrain"]

POLL_SECONDS = 0.02


class GracefulDrain:
    """One graceful stop.

    Parameters
    ----------
    settings : LimitSettings
        How long each step may take.
    timers : TimerService
        Time.
    http : HttpServer
        Server of callers and of the backend server of this host.
    peers : PeerService
        Service for calls of other nodes.
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
        """Drain; False when time ran out with calls running."""
        self._http.announce_close()
        await asyncio.sleep(self._settings.lame_duck_seconds)
        # Calls of other nodes come first: their nested calls enter by HTTP.
        end = self._timers.now + self._settings.drain_seconds
        while not self._peers_done() and self._timers.now < end:
            await asyncio.sleep(POLL_SECONDS)
        finished = self._peers_done()
        remaining = max(0.0, end - self._timers.now)
        return await self._http.drain(remaining) and finished

    def _peers_done(self) -> bool:
        quiet = self._peers.quiet_seconds >= self._settings.quiet_seconds
        return quiet and self._peers.active == 0
