"""Node that relays requests beside one backend server: start, stop and reload."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from damaskramp.core import Counters
from damaskramp.fleet import FleetConfiguration, FleetSource
from damaskramp.relay.headers import HeaderNames
from damaskramp.relay.node_pages import NodePages, NodeState
from damaskramp.relay.node_parts import NodeParts
from damaskramp.relay.part_settings import (
    key_max_age,
    retry_budget_settings,
    with_fixed_settings,
)
from damaskramp.relay.periodic_work import PeriodicWork
from damaskramp.relay.settings import RelaySettings
from damaskramp.relay.shutdown import Shutdown

__all__ = ["RelayNode"]

LOGGER = logging.getLogger(__name__)

MAX_LOGGED_FINDINGS = 20
"""Most findings of one configuration that are logged; the status page shows more."""


class RelayNode:
    """Node that relays requests beside one backend server.

    Parameters
    ----------
    source : FleetSource
        Source of the fleet's configuration and backend servers.
    header_names : HeaderNames
        Names of the header fields of this installation.
    readiness_path : bytes
        URL path of the readiness check.
    """

    def __init__(
        self,
        settings: RelaySettings,
        source: FleetSource,
        header_names: HeaderNames,
        readiness_path: bytes,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._source = source
        self._counters = counters
        parts = self._parts = NodeParts(settings, source, header_names, counters)
        self._fleet_view = parts.fleet_view
        self._executor = parts.executor
        self._forwarder = parts.forwarder
        self._listener = parts.listener
        self._peers = parts.peers
        self._links = parts.links
        self._pages = NodePages(parts, readiness_path)
        self._periodic_work = PeriodicWork(parts, self._pages)
        self._shutdown = Shutdown(
            parts.timers,
            parts.executor,
            parts.peers,
            parts.listener,
            parts.forwarder,
            parts.links,
            self._stop_listening,
        )
        self._servers: list[asyncio.Server] = []
        self._caller_server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []

    @property
    def ready(self) -> bool:
        """Whether the node is ready for callers."""
        return self._pages.state is NodeState.SERVING

    async def start(self) -> None:
        """Listen for connections and begin to read the platform.

        Raises
        ------
        OSError
            If an address can't be used.
        """
        try:
            await self._listen_to_all()
        except OSError:
            for server in self._servers:
                server.close()
            raise
        self._fleet_view.subscribe_configuration(self._on_configuration)
        self._spawn(self._parts.watcher.run())
        self._periodic_work.start()
        LOGGER.info("node started", extra={"host": self._settings.host})

    async def stop(self) -> bool:
        """Stop without breaking off a request; return whether that was possible."""
        self._pages.is_stopping = True
        LOGGER.info("node is stopping", extra={"open": self._listener.unanswered})
        cut = await self._shutdown.run(self._settings.grace_seconds)
        LOGGER.info("node stopped", extra={"cut": cut})
        for task in self._tasks:
            task.cancel()
        self._source.close()
        return not cut

    async def abort(self) -> None:
        """Stop at once, for embedders and tests; open requests are broken off."""
        for task in self._tasks:
            task.cancel()
        self._periodic_work.stop()
        for server in self._servers:
            server.close()
        self._listener.abort()
        self._parts.link_gate.abort()
        self._links.abort()
        self._peers.close()
        self._executor.close()
        await asyncio.sleep(0)
        self._source.close()

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that may change while the node runs: bounds and times.

        Addresses, host and service keep the values of the start.
        """
        kept = with_fixed_settings(settings, self._settings)
        if kept != settings:
            LOGGER.warning("some changed settings take effect only at the next start")
        self._settings = kept
        self._fleet_view.set_key_max_age(key_max_age(kept))
        self._parts.retry_budget.reconfigure(retry_budget_settings(kept))
        LOGGER.info("settings read again", extra={"host": kept.host})

    async def _listen_to_all(self) -> None:
        settings, pages = self._settings, self._pages
        peers = settings.bind_peers or settings.peers
        await self._listen(peers, self._parts.link_gate.connect)
        await self._listen(settings.readiness, pages.readiness_server.connect)
        await self._listen(settings.metrics, pages.metrics_server.connect)
        self._caller_server = await self._listen(
            settings.callers, self._listener.connect
        )

    async def _listen(
        self, address: str, protocol: Callable[[], asyncio.Protocol]
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(protocol, host, int(port), backlog=1024)
        self._servers.append(server)
        return server

    def _stop_listening(self) -> None:
        self._caller_server.close()

    def _spawn(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def _on_configuration(self, configuration: FleetConfiguration) -> None:
        self._listener.set_limits(configuration.limits)
        self._executor.update_team_rates(
            {team.name: team.rate for team in configuration.teams}
        )
        self._parts.cold_hints.configure(configuration.warmups)
        routes = {route.name for route in configuration.routes}
        self._forwarder.route_times.retain(routes)
        self._forwarder.call_outcomes.retain(routes)
        findings = configuration.findings
        if findings:
            self._counters.add("configuration_findings", len(findings))
        for finding in findings[:MAX_LOGGED_FINDINGS]:
            LOGGER.warning(
                "configuration is not used as published",
                extra={
                    "version": configuration.version,
                    "place": finding.place.key,
                    "severity": finding.severity.value,
                    "reason": finding.message,
                    "findings": len(findings),
                },
            )
