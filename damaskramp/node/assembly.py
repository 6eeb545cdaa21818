"""Assembly of a node from its settings, and its start and stop."""

import asyncio
import contextlib
import logging
from collections.abc import Coroutine

from grpclib.server import Server as GrpcServer

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import Blackboard, FindingsError, LoopTimers, TimerService
from damaskramp.http import HttpServer, HttpServerSettings
from damaskramp.node.admin import Admin
from damaskramp.node.call_path import CallPath
from damaskramp.node.control import ControlPlane
from damaskramp.node.drain import GracefulDrain
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.responses import refuse_unreadable
from damaskramp.node.runtime import Runtime, split_address
from damaskramp.node.status import status_document

__all__ = ["Node"]

LOGGER = logging.getLogger(__name__)

MAX_ADMIN_CONNECTIONS = 64
QUARANTINE_EXPIRY_INTERVAL_SECONDS = 30.0
PEER_CLOSE_SECONDS = 0.5
"""Longest wait, in seconds, for the handlers of other nodes' calls to end. From Python
3.12 on it also covers the other nodes' connections, which they keep open."""

GAUGE_INTERVAL_SECONDS = 5.0


class Node:
    """Node process that runs beside one backend server.

    Parameters
    ----------
    settings : NodeSettings
        All settings of the node.
    timers : TimerService, optional
        Clock and timers; those of the running event loop by default.
    """

    def __init__(
        self, settings: NodeSettings, timers: TimerService | None = None
    ) -> None:
        self._settings = settings
        self._runtime = Runtime.build(settings, timers or LoopTimers())
        self._control = ControlPlane(self._runtime)
        self._path = CallPath(self._runtime, self._control)
        self._tasks: list[asyncio.Task] = []
        self._build_servers()
        self._runtime.bundle.subscribe(self._apply_bundle)

    @property
    def settings(self) -> NodeSettings:
        """All settings."""
        return self._settings

    @property
    def blackboard(self) -> Blackboard:
        """Blackboard with the state that the controllers share."""
        return self._runtime.board

    @property
    def state(self) -> Lifecycle:
        """Lifecycle state of the process."""
        return self._runtime.lifecycle.value

    def _build_servers(self) -> None:
        limits = self._settings.limits
        server_settings = HttpServerSettings(
            limits.connections,
            limits.body_bytes,
            limits.header_bytes,
            limits.header_seconds,
            limits.idle_seconds,
        )
        entry = self._path.entry
        self._http = HttpServer(server_settings, entry.handle, refuse_unreadable)
        runtime = self._runtime
        admin = Admin(runtime.telemetry, self.status, runtime.objectives.document)
        self._admin = HttpServer(
            HttpServerSettings(connections=MAX_ADMIN_CONNECTIONS), admin.handle
        )
        self._peer = GrpcServer([*self._path.services, *self._control.services])

    async def start(self) -> None:
        """Listen on all addresses and start to watch the platform.

        Raises
        ------
        OSError
            If an address is in use.
        FindingsError
            If a TLS certificate can't be read.
        """
        runtime = self._runtime
        listen = self._settings.listen
        loaded = runtime.tls.load("settings")
        if loaded.is_error():
            raise FindingsError(loaded.error)
        await self._admin.start(*split_address(listen.admin))
        await self._peer.start(*split_address(listen.peer), ssl=runtime.tls.peer_server)
        await self._http.start(*split_address(listen.http), runtime.tls.caller_server)
        runtime.tls.watch_files(runtime.timers, runtime.telemetry.event)
        self._spawn(self._control.bundles.run())
        self._spawn(self._control.host_watch.run())
        self._spawn(self._control.gossip.run())
        self._control.quota.start()
        runtime.timers.every(
            QUARANTINE_EXPIRY_INTERVAL_SECONDS, self._path.quarantine.expire
        )
        runtime.timers.every(GAUGE_INTERVAL_SECONDS, self._path.publish)
        fields = {"host": runtime.host, "incarnation": runtime.incarnation}
        LOGGER.info("started", extra=fields)

    async def stop(self) -> bool:
        """Drain running calls, then close all servers and clients.

        Returns
        -------
        bool
            False if calls were still running when the drain time was over.
        """
        self._runtime.lifecycle.replace(Lifecycle.LEAVING)
        LOGGER.info("leaving", extra={"running": self._path.executor.running})
        finished = await self._leave()
        self._control.quota.stop()
        self._peer.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_CLOSE_SECONDS):
                await self._peer.wait_closed()
        await self._admin.drain(0.0)
        self._path.home.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.gossip.close()
        self._runtime.close()
        LOGGER.info("stopped", extra={"finished": finished})
        return finished

    async def _leave(self) -> bool:
        """Announce the leaving, hand over the owned teams, and drain.

        The time of the handover counts from the announcement, and it runs beside the
        drain: after a later handover, the successor could already issue leases.
        """
        limits, timers = self._settings.limits, self._runtime.timers
        quota = self._control.quota
        quota.leave()
        handover_at = timers.now + self._settings.membership.retire_seconds
        await self._control.gossip.leave()
        handover = asyncio.ensure_future(quota.hand_over(handover_at))
        drain = GracefulDrain(limits, timers, self._http, self._path.peer_service)
        finished = await drain.run()
        await self._path.home.drain(limits.drain_seconds)
        await handover
        return finished

    def status(self) -> dict:
        """State of the node for ``damaskramp-status``."""
        return status_document(self._runtime, self._control, self._path)

    def _apply_bundle(self, view: BundleView) -> None:
        self._control.set_bundle(view)
        self._path.set_bundle(view)
        self._runtime.classes.replace(view.contents.bundle.classes)
        if self.state is Lifecycle.STARTING:
            self._runtime.lifecycle.replace(Lifecycle.SERVING)

    def _spawn(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))
