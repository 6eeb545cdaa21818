"""Pages that a relay node serves to operators: readiness, status and metrics."""

import time
from enum import Enum

from damaskramp.relay.metrics_page import metrics_page
from damaskramp.relay.node_parts import NodeParts
from damaskramp.relay.status_page import NO_OBJECTIVES, status_page
from damaskramp.relay.status_server import StatusServer

__all__ = ["NodePages", "NodeState"]

METRICS_CACHE_SECONDS = 0.05
"""Time, in seconds, for which a page of metrics is served again. A page takes several
milliseconds, so that readers who ask without pause would take all of the time."""


class NodeState(Enum):
    """State of a node as its status page shows it."""

    NOT_READY = "not ready"
    SERVING = "serving"
    DRAINING = "draining"


class NodePages:
    """Pages of a relay node, and the servers for their readers.

    Parameters
    ----------
    readiness_path : bytes
        URL path of the readiness check.

    Attributes
    ----------
    is_stopping : bool
        Whether the node has begun to stop, and is no longer ready.
    readiness_server, metrics_server : StatusServer
        Servers for the two addresses; both serve every page.
    """

    def __init__(self, parts: NodeParts, readiness_path: bytes) -> None:
        self._parts = parts
        self._readiness_path = readiness_path
        self._metrics_cache: tuple[float, bytes] | None = None
        self.is_stopping = False
        self.readiness_server = self._server("readiness")
        self.metrics_server = self._server("metrics")

    @property
    def state(self) -> NodeState:
        """State of the node."""
        if self.is_stopping:
            return NodeState.DRAINING
        fleet_view = self._parts.fleet_view
        is_informed = fleet_view.keys_usable and fleet_view.evacuations_known
        return NodeState.SERVING if is_informed else NodeState.NOT_READY

    def sweep(self) -> None:
        """Close connections of readers that are idle or slow."""
        self.readiness_server.sweep()
        self.metrics_server.sweep()

    def readiness(self) -> tuple[int, bytes]:
        """Status and body of the answer to a readiness check."""
        if self.state is NodeState.SERVING:
            return 200, b"ready\n"
        return 503, b"not ready\n"

    def status(self) -> tuple[int, bytes]:
        """Status and body of the page that ``damaskramp-status`` reads."""
        parts = self._parts
        return 200, status_page(
            parts.fleet_view, parts.executor, parts.peers, self.state.value
        )

    def metrics(self) -> tuple[int, bytes]:
        """Status and body of the page of metrics."""
        now, cache = self._parts.timers.now, self._metrics_cache
        if cache is not None and now - cache[0] < METRICS_CACHE_SECONDS:
            return 200, cache[1]
        page = metrics_page(self._parts.counters, self._gauges())
        self._metrics_cache = (now, page)
        return 200, page

    def _server(self, address: str) -> StatusServer:
        pages = {
            self._readiness_path: self.readiness,
            b"/metrics": self.metrics,
            b"/status": self.status,
            b"/slo": lambda: (404, NO_OBJECTIVES),
        }
        shares = self._parts.budgets.status_shares(address)
        return StatusServer(pages, time.monotonic, *shares, self._parts.shedding_log)

    def _gauges(self) -> dict[str, float]:
        parts = self._parts
        load, budgets = parts.executor.own_load(), parts.budgets
        return {
            **self._fleet_gauges(),
            "running": float(load.running),
            "waiting": float(load.waiting),
            "limit": float(load.limit),
            "server_rate_limit": load.rate_limit,
            "teams_waiting": float(parts.executor.waiting_teams),
            **({"server_pace": load.pace} if load.pace else {}),
            **parts.evacuation_observer.gauges(),
            **parts.executor.warmup.gauges(),
            "link_uploads": float(parts.links.uploads),
            "link_answers": float(parts.peers.links.arriving_answers),
            "call_body_bytes": float(budgets.calls.used),
            "answer_body_bytes": float(budgets.passing_answers.used),
            **self._account_gauges(),
        }

    def _fleet_gauges(self) -> dict[str, float]:
        fleet_view = self._parts.fleet_view
        configuration, directory = fleet_view.configuration, fleet_view.directory
        return {
            "configuration_version": float(fleet_view.version),
            "belief_age_seconds": fleet_view.freshness.age,
            "configuration_findings": float(
                len(configuration.findings) if configuration else 0
            ),
            "backend_servers": float(len(directory.servers)),
            "descriptions_outdated": float(directory.outdated),
            "store_revision": float(directory.revision),
            "store_epoch": float(directory.epoch),
        }

    def _account_gauges(self) -> dict[str, float]:
        budgets, gauges = self._parts.budgets, {}
        for account, unit in (
            (budgets.memory, "memory_bytes"),
            (budgets.descriptors, "descriptors"),
        ):
            gauges[f"{unit}_limit"] = float(account.limit)
            for name, share in account.shares.items():
                gauges[f"{unit}_{name}"] = float(share.used)
        return gauges
