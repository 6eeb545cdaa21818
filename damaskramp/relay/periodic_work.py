"""Periodic work of a relay node: gossip, checks of links, and sweeps."""

from damaskramp.core import TimerHandle
from damaskramp.relay.node_pages import NodePages
from damaskramp.relay.node_parts import NodeParts

__all__ = ["PeriodicWork"]

GOSSIP_INTERVAL_SECONDS = 0.4
"""Interval between gossip rounds, in seconds. Changes are broadcast at once; the rounds
spread the age of proofs and missed changes, through a fleet of a thousand hosts in
fewer than ten rounds."""

FORGET_INTERVAL_SECONDS = 10.0
"""Interval at which records of servers that are gone are dropped although the list has
not changed, in seconds: those that had a request in flight when their server left."""

LINK_CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks for silent links, in seconds: a part of the silence after
which a link is broken."""

EXECUTOR_SWEEP_INTERVAL_SECONDS = 0.05
"""Interval between checks of the calls that wait at the backend server, in seconds: a
part of the shortest latency targets."""

CALLER_SWEEP_INTERVAL_SECONDS = 0.5
"""Interval between checks for idle and slow callers, in seconds. Their timeouts are
seconds long."""

LINK_SWEEP_INTERVAL_SECONDS = 0.1
"""Interval between checks for bodies on links that nobody waits for, in seconds: a part
of the shortest deadlines."""


class PeriodicWork:
    """Timers of a node, each with the work that it repeats."""

    def __init__(self, parts: NodeParts, pages: NodePages) -> None:
        self._parts = parts
        self._pages = pages
        self._timers: list[TimerHandle] = []
        self._forgot_generation = -1
        self._forgot_at = float("-inf")

    def start(self) -> None:
        """Start all timers."""
        parts = self._parts
        every = parts.timers.every
        self._timers = [
            every(GOSSIP_INTERVAL_SECONDS, self._gossip),
            every(LINK_CHECK_INTERVAL_SECONDS, parts.peers.check_links),
            every(LINK_SWEEP_INTERVAL_SECONDS, parts.links.sweep),
            every(EXECUTOR_SWEEP_INTERVAL_SECONDS, parts.executor.sweep),
            every(CALLER_SWEEP_INTERVAL_SECONDS, self._sweep),
        ]

    def stop(self) -> None:
        """Cancel all timers."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _gossip(self) -> None:
        parts = self._parts
        directory = parts.fleet_view.directory
        parts.executor.update_depth()
        directory.apply_deferred()
        parts.evacuation_observer.update()
        parts.fleet_view.leaving_announcements.forget_old()
        parts.retry_budget.resize(len(directory.hosts()))
        parts.cold_hints.resize(len(directory.hosts()))
        self._forget_servers()
        parts.peers.gossip()

    def _forget_servers(self) -> None:
        """Drop what is kept of servers that are not listed any more."""
        parts = self._parts
        directory, now = parts.fleet_view.directory, parts.timers.now
        is_due = now - self._forgot_at >= FORGET_INTERVAL_SECONDS
        if directory.generation == self._forgot_generation and not is_due:
            return
        self._forgot_generation, self._forgot_at = directory.generation, now
        known = {server.id for server in directory.servers}
        parts.selector.retain(known)
        parts.peers.exchange.load_sharing.retain(known)

    def _sweep(self) -> None:
        parts = self._parts
        parts.listener.sweep()
        self._pages.sweep()
        parts.link_gate.sweep()
        parts.shedding_log.flush(parts.timers.now)
