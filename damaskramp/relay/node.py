"""Assembly of a node that relays requests beside one backend server."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace

from damaskramp.core import (
    Counters,
    LoopTimers,
    ServiceName,
    TimerHandle,
    ZoneName,
)
from damaskramp.dispatch import (
    ColdHints,
    ColdServer,
    Eligibility,
    ExchangeSettings,
    LoadExchange,
    RegionSettings,
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    SharedRateSettings,
    SlotQueue,
    SlotSettings,
    Suspects,
    SuspectSettings,
    WarmupSettings,
    ZoneDistances,
)
from damaskramp.fleet import (
    Evacuations,
    EvacuationTerms,
    FleetConfiguration,
    FleetSource,
)
from damaskramp.relay.backend_connection import ServerConnections
from damaskramp.relay.budgets import NodeBudgets, descriptor_limit
from damaskramp.relay.caller_listener import CallerListener
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.evacuation_observer import EvacuationObserver
from damaskramp.relay.execution import Executor
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.forwarding import Forwarder
from damaskramp.relay.headers import HeaderNames, ReservedNames
from damaskramp.relay.health_check import HealthCheck
from damaskramp.relay.link_gate import LinkGate
from damaskramp.relay.link_service import LinkService
from damaskramp.relay.load_sharing import LoadSharing
from damaskramp.relay.metrics_page import metrics_page
from damaskramp.relay.peers import Peers
from damaskramp.relay.permits import Permits
from damaskramp.relay.server_warmup import ServerWarmup
from damaskramp.relay.settings import RelaySettings
from damaskramp.relay.shedding import SheddingLog
from damaskramp.relay.status_page import NO_OBJECTIVES, status_page
from damaskramp.relay.status_server import StatusServer
from damaskramp.relay.watcher import Watcher, WatcherSettings

__all__ = ["RelayNode"]

LOGGER = logging.getLogger(__name__)

KEY_REVOCATION_MARGIN_SECONDS = 1.5
"""Margin, in seconds, of the time within which a withdrawn key must stop working. A
watch may report a change one second late; the rest covers clocks and the way to the
server."""

MIN_KEY_MAX_AGE_SECONDS = 0.5
"""Lower bound, in seconds, on the longest age of the configuration at which keys are
honoured. Below this bound, no key would ever work."""

FIXED_SETTINGS = (
    "host",
    "zone",
    "callers",
    "peers",
    "bind_peers",
    "readiness",
    "metrics",
    "backend_service",
    "backend_address",
    "platform_address",
    "warmup_overshoot",
    "warmup_slack",
    "log_lines_per_second",
    "region",
    "zone_regions",
    "evacuation_seconds",
    "chain_control",
)
"""Settings that take effect only when a node starts."""

POLL_INTERVAL_SHARE = 0.4
"""Interval between a reader's polls, as a part of the longest age of the configuration
at which keys are honoured. The proofs of a zone's readers reach its hosts within one
gossip round, so one poll may be lost."""

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

METRICS_CACHE_SECONDS = 0.05
"""Time, in seconds, for which a page of metrics is served again. A page takes several
milliseconds, so that readers who ask without pause would take all of the time."""

LINK_SWEEP_INTERVAL_SECONDS = 0.1
"""Interval between checks for bodies on links that nobody waits for, in seconds: a part
of the shortest deadlines."""

DEFAULT_SLOTS = 16
"""Number of slots of a backend server that is not listed yet."""

ACCEPT_CALLERS_SECONDS = 3.5
"""Time after the start of a stop, in seconds, in which callers may still connect:
readiness is checked once a second, and two missed checks count."""

ACCEPT_CALLS_SECONDS = 2.0
"""Time after the start of a stop, in seconds, in which the backend server still gets
calls. Calls that run after it have the rest of the grace time."""

START_REQUESTS_SECONDS = 3.0
"""Time after the start of a stop, in seconds, in which requests are passed on however
long they may run. Later ones that may outlast the stop are refused unrun, since a cut
request has an unknown outcome."""

ACCEPT_CALLS_SHARE, ACCEPT_CALLERS_SHARE = 0.35, 0.6
"""Bounds on ``ACCEPT_CALLS_SECONDS``, and on ``ACCEPT_CALLERS_SECONDS`` and
``START_REQUESTS_SECONDS``, as parts of a short grace time. The rest of the grace time
is for the requests that run."""

FINAL_READ_SECONDS = 0.1
"""Time, in seconds, between closing the listener and closing idle connections."""

STOP_MARGIN_SECONDS = 0.5
"""Margin at the end of the grace time, in seconds."""

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
        self._counters = counters
        self._timers = LoopTimers()
        clock = time.monotonic
        random_source = random.Random()
        names = ReservedNames(header_names)
        host = settings.peers.rpartition(":")[0]
        key_max_age = _key_max_age(settings)
        self._source = source
        self._fleet_view = FleetView(
            host,
            ZoneName(settings.zone),
            ServiceName(settings.backend_service),
            settings.backend_address,
            key_max_age,
            clock,
            Suspects(SuspectSettings()),
            _evacuations(settings),
        )
        self._evacuation_observer = EvacuationObserver(self._fleet_view, counters)
        eligibility = Eligibility(
            RegionSettings(settings.region, settings.zone_regions),
            self._fleet_view.zone,
            self._fleet_view.evacuations,
            clock,
        )
        budgets = self._budgets = NodeBudgets(settings, descriptor_limit())
        self._shedding_log = SheddingLog(counters)
        log = DecisionLog(settings.log_lines_per_second, clock, counters)
        cold = ColdServer(
            WarmupSettings(settings.warmup_overshoot, settings.warmup_slack), clock()
        )
        call_memory, answer_memory = budgets.calls, budgets.passing_answers
        self._executor = Executor(
            self._fleet_view,
            SlotQueue(SlotSettings(), DEFAULT_SLOTS, cold),
            ServerWarmup(
                cold,
                self._fleet_view,
                HealthCheck(settings.backend_address, header_names),
                clock,
                counters,
            ),
            ServerConnections(
                settings.backend_address, names, clock, counters, answer_memory
            ),
            header_names,
            clock,
            counters,
            log,
            call_memory,
            eligibility,
        )
        self._evacuation_observer.on_own_zone_returned = lambda: (
            self._executor.warmup.assume_cold(clock())
        )
        peers_port = int(settings.peers.rpartition(":")[2])
        self._peers = Peers(
            peers_port,
            self._fleet_view,
            source,
            clock,
            counters,
            random_source,
            answer_memory,
        )
        self._permits = Permits(
            SharedRateSettings(),
            self._fleet_view,
            self._peers,
            self._timers,
            counters,
            random_source,
        )
        self._cold_hints = ColdHints(
            self._fleet_view.directory.warmup_left, random_source
        )
        distances = ZoneDistances()
        self._selector = ServerSelector(
            SelectionSettings(),
            self._fleet_view.zone,
            random_source,
            self._cold_hints if settings.limits_cold_servers else None,
            distances.round_trip,
        )
        loads = LoadExchange(
            ExchangeSettings(), self._fleet_view.directory.of_service, random_source
        )
        self._peers.load_sharing = LoadSharing(
            self._fleet_view,
            loads,
            self._selector,
            distances,
            self._executor.own_load,
            clock,
        )
        self._budget = RetryBudget(_budget_settings(settings), random_source.random())
        self._forwarder = Forwarder(
            self._fleet_view,
            self._selector,
            self._budget,
            self._permits,
            self._executor,
            self._peers,
            header_names,
            clock,
            counters,
            log,
            random_source,
            eligibility,
            loads,
        )
        if settings.chain_control:
            self._forwarder.use_chain_control()
        self._listener = CallerListener(
            self._forwarder, names, clock, counters, budgets.callers, self._shedding_log
        )
        self._links = LinkService(
            self._executor,
            self._peers.answer_ping,
            self._permits.lend,
            self._permits.receive_returned,
            self._peers.receive_update,
            clock,
            counters,
            call_memory,
            budgets.partial_messages,
        )
        self._link_gate = LinkGate(
            self._links.connect,
            lambda: len(self._links.links),
            budgets.max_links,
            clock,
            self._shedding_log,
        )
        self._watcher = Watcher(
            _watcher_settings(settings),
            source,
            self._fleet_view,
            self._timers,
            counters,
            random_source,
            self._peers.broadcast_changes,
            self._peers.consult,
        )
        self._readiness_path = readiness_path
        self._readiness_server = self._status_server("readiness")
        self._metrics_server = self._status_server("metrics")
        self._metrics_cache: tuple[float, bytes] | None = None
        self._forgot_generation = -1
        self._forgot_at = float("-inf")
        self._stopping = False
        self._servers: list[asyncio.Server] = []
        self._caller_server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._periodic_timers: list[TimerHandle] = []

    @property
    def ready(self) -> bool:
        """Whether the node is ready for callers."""
        fleet_view = self._fleet_view
        is_informed = fleet_view.keys_usable and fleet_view.evacuations_known
        return is_informed and not self._stopping

    async def start(self) -> None:
        """Listen for connections and begin to read the platform.

        Raises
        ------
        OSError
            If an address can't be used.
        """
        settings = self._settings
        peers = settings.bind_peers or settings.peers
        await self._listen(peers, self._link_gate.connect)
        await self._listen(settings.readiness, self._readiness_server.connect)
        await self._listen(settings.metrics, self._metrics_server.connect)
        self._caller_server = await self._listen(
            settings.callers, self._listener.connect
        )
        self._fleet_view.subscribe_configuration(self._on_configuration)
        self._spawn(self._watcher.run())
        self._periodic_timers = [
            self._timers.every(GOSSIP_INTERVAL_SECONDS, self._gossip),
            self._timers.every(LINK_CHECK_INTERVAL_SECONDS, self._peers.check_links),
            self._timers.every(LINK_SWEEP_INTERVAL_SECONDS, self._links.sweep),
            self._timers.every(EXECUTOR_SWEEP_INTERVAL_SECONDS, self._executor.sweep),
            self._timers.every(CALLER_SWEEP_INTERVAL_SECONDS, self._sweep),
        ]
        LOGGER.info("node started", extra={"host": settings.host})

    async def stop(self) -> bool:
        """Stop without breaking off a request; return whether that was possible."""
        started_at = self._timers.now
        stop_by = started_at + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        self._stopping = True
        LOGGER.info("node is stopping", extra={"open": self._listener.unanswered})
        # The backend server still runs; the fleet loses its slots as soon as it gets no
        # calls.
        grace = self._settings.grace_seconds
        await self._timers.sleep(min(ACCEPT_CALLS_SECONDS, ACCEPT_CALLS_SHARE * grace))
        self._executor.leaving = True
        self._peers.announce_leaving()
        self._listener.announce_close()
        accept_until = started_at + min(
            ACCEPT_CALLERS_SECONDS, ACCEPT_CALLERS_SHARE * grace
        )
        start_until = min(started_at + START_REQUESTS_SECONDS, accept_until)
        await self._timers.sleep(start_until - self._timers.now)
        self._forwarder.announce_stop(stop_by)
        await self._timers.sleep(accept_until - self._timers.now)
        self._caller_server.close()
        # Requests that arrived on open connections are read before these are closed.
        await self._timers.sleep(FINAL_READ_SECONDS)
        self._listener.close_idle()
        while self._timers.now < stop_by and self._open_work():
            await self._timers.sleep(0.02)
        cut = self._open_work()
        LOGGER.info("node stopped", extra={"cut": cut})
        for task in self._tasks:
            task.cancel()
        self._source.close()
        return not cut

    async def abort(self) -> None:
        """Stop at once, for embedders and tests; open requests are broken off."""
        for task in self._tasks:
            task.cancel()
        for timer in self._periodic_timers:
            timer.cancel()
        for server in self._servers:
            server.close()
        self._listener.abort()
        self._link_gate.abort()
        self._links.abort()
        self._peers.close()
        self._executor.close()
        await asyncio.sleep(0)
        self._source.close()

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that may change while the node runs: bounds and times.

        Addresses, host and service keep the values of the start.
        """
        kept = replace(
            settings,
            **{name: getattr(self._settings, name) for name in FIXED_SETTINGS},
        )
        if kept != settings:
            LOGGER.warning("some changed settings take effect only at the next start")
        self._settings = kept
        self._fleet_view.set_key_max_age(_key_max_age(kept))
        self._budget.reconfigure(_budget_settings(kept))
        LOGGER.info("settings read again", extra={"host": kept.host})

    def _open_work(self) -> int:
        """Number of requests and answers that a stop waits for."""
        listener, links = self._listener, self._links
        own = listener.unanswered + listener.unsent
        return own + self._executor.running + links.unsent

    async def _listen(
        self, address: str, protocol: Callable[[], asyncio.Protocol]
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(protocol, host, int(port), backlog=1024)
        self._servers.append(server)
        return server

    def _status_server(self, address: str) -> StatusServer:
        pages = {
            self._readiness_path: self._readiness,
            b"/metrics": self._metrics,
            b"/status": self._status,
            b"/slo": lambda: (404, NO_OBJECTIVES),
        }
        shares = self._budgets.status_shares(address)
        return StatusServer(pages, time.monotonic, *shares, self._shedding_log)

    def _sweep(self) -> None:
        self._listener.sweep()
        self._readiness_server.sweep()
        self._metrics_server.sweep()
        self._link_gate.sweep()
        self._shedding_log.flush(self._timers.now)

    def _readiness(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _status(self) -> tuple[int, bytes]:
        state = "serving" if self.ready else "not ready"
        if self._stopping:
            state = "draining"
        return 200, status_page(self._fleet_view, self._executor, self._peers, state)

    def _metrics(self) -> tuple[int, bytes]:
        now, cache = self._timers.now, self._metrics_cache
        if cache is not None and now - cache[0] < METRICS_CACHE_SECONDS:
            return 200, cache[1]
        page = metrics_page(self._counters, self._gauges())
        self._metrics_cache = (now, page)
        return 200, page

    def _gauges(self) -> dict[str, float]:
        fleet_view, load = self._fleet_view, self._executor.own_load()
        gauges = {
            "configuration_version": float(fleet_view.version),
            "belief_age_seconds": fleet_view.freshness.age,
            "configuration_findings": float(
                len(fleet_view.configuration.findings)
                if fleet_view.configuration
                else 0
            ),
            "backend_servers": float(len(fleet_view.directory.servers)),
            "descriptions_outdated": float(fleet_view.directory.outdated),
            "store_revision": float(fleet_view.directory.revision),
            "store_epoch": float(fleet_view.directory.epoch),
            "running": float(load.running),
            "waiting": float(load.waiting),
            "limit": float(load.limit),
            "server_rate_limit": load.rate_limit,
            "teams_waiting": float(self._executor.waiting_teams),
            **({"server_pace": load.pace} if load.pace else {}),
            **self._evacuation_observer.gauges(),
            **self._executor.warmup.gauges(),
            "link_uploads": float(self._links.uploads),
            "link_answers": float(self._peers.arriving_answers),
            "call_body_bytes": float(self._budgets.calls.used),
            "answer_body_bytes": float(self._budgets.passing_answers.used),
        }
        for account, unit in (
            (self._budgets.memory, "memory_bytes"),
            (self._budgets.descriptors, "descriptors"),
        ):
            gauges[f"{unit}_limit"] = float(account.limit)
            for name, share in account.shares.items():
                gauges[f"{unit}_{name}"] = float(share.used)
        return gauges

    def _spawn(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def _on_configuration(self, configuration: FleetConfiguration) -> None:
        self._listener.limits = configuration.limits
        self._executor.update_team_rates(
            {team.name: team.rate for team in configuration.teams}
        )
        self._cold_hints.configure(configuration.warmups)
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

    def _gossip(self) -> None:
        directory = self._fleet_view.directory
        self._executor.update_depth()
        directory.apply_deferred()
        self._evacuation_observer.update()
        self._fleet_view.leaving_announcements.forget_old()
        self._budget.resize(len(directory.hosts()))
        self._cold_hints.resize(len(directory.hosts()))
        self._forget_servers()
        self._peers.gossip()

    def _forget_servers(self) -> None:
        """Drop what is kept of servers that are not listed any more."""
        generation, now = self._fleet_view.directory.generation, self._timers.now
        is_due = now - self._forgot_at >= FORGET_INTERVAL_SECONDS
        if generation == self._forgot_generation and not is_due:
            return
        self._forgot_generation, self._forgot_at = generation, now
        known = {server.id for server in self._fleet_view.directory.servers}
        self._selector.retain(known)
        self._peers.load_sharing.retain(known)


def _key_max_age(settings: RelaySettings) -> float:
    return max(
        MIN_KEY_MAX_AGE_SECONDS, settings.revoke_seconds - KEY_REVOCATION_MARGIN_SECONDS
    )


def _evacuations(settings: RelaySettings) -> Evacuations | None:
    if settings.evacuation_seconds is None:
        return None
    return Evacuations(EvacuationTerms(settings.evacuation_seconds))


def _watcher_settings(settings: RelaySettings) -> WatcherSettings:
    key_max_age = _key_max_age(settings)
    # Evacuations must take effect in time also where a watch is silent.
    in_time = min(key_max_age, settings.evacuation_seconds or key_max_age)
    return WatcherSettings(in_time * POLL_INTERVAL_SHARE, in_time / 2)


def _budget_settings(settings: RelaySettings) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        settings.retry_ratio, settings.retry_window, settings.retry_allowance
    )
