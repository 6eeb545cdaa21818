"""Assembly of the parts of a relay node."""

import random
import time

from damaskramp.core import Counters, LoopTimers, ServiceName, ZoneName
from damaskramp.dispatch import (
    ColdHints,
    ColdServer,
    Eligibility,
    ExchangeSettings,
    LoadExchange,
    RegionSettings,
    RetryBudget,
    SelectionSettings,
    ServerSelector,
    SharedRateSettings,
    SlotQueue,
    SlotSettings,
    Suspects,
    SuspectSettings,
    ZoneDistances,
)
from damaskramp.fleet import FleetSource
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
from damaskramp.relay.part_settings import (
    evacuations_of,
    key_max_age,
    retry_budget_settings,
    warmup_settings,
    watcher_settings,
)
from damaskramp.relay.peers import Peers
from damaskramp.relay.permits import Permits
from damaskramp.relay.server_warmup import ServerWarmup
from damaskramp.relay.settings import RelaySettings
from damaskramp.relay.shedding import SheddingLog
from damaskramp.relay.watcher import Watcher

__all__ = ["NodeParts"]

DEFAULT_SLOTS = 16
"""Number of slots of a backend server that is not listed yet."""


class NodeParts:
    """Parts of a relay node, connected to each other.

    Attributes
    ----------
    timers : LoopTimers
        Clock and timers of all parts.
    fleet_view : FleetView
        Configuration, backend servers and other hosts.
    executor : Executor
        Requests at the backend server of this host.
    peers : Peers
        Links that this node opens to others.
    forwarder : Forwarder
        Requests of callers, with `selector`, `cold_hints` and `retry_budget`.
    listener : CallerListener
        Connections of callers.
    links : LinkService
        Links that other nodes open, behind `link_gate`.
    watcher : Watcher
        Reader of the platform.
    """

    def __init__(
        self,
        settings: RelaySettings,
        source: FleetSource,
        header_names: HeaderNames,
        counters: Counters,
    ) -> None:
        self.timers = LoopTimers()
        self.counters = counters
        self.budgets = NodeBudgets(settings, descriptor_limit())
        self.shedding_log = SheddingLog(counters)
        self._settings = settings
        self._source = source
        self._header_names = header_names
        self._names = ReservedNames(header_names)
        self._clock = time.monotonic
        self._random = random.Random()
        self._log = DecisionLog(settings.log_lines_per_second, self._clock, counters)
        self._build_fleet_view()
        self._build_executor()
        self._build_peers()
        self._build_forwarder()
        self._build_listeners()

    def _build_fleet_view(self) -> None:
        settings, clock = self._settings, self._clock
        self.fleet_view = FleetView(
            settings.peers.rpartition(":")[0],
            ZoneName(settings.zone),
            ServiceName(settings.backend_service),
            settings.backend_address,
            key_max_age(settings),
            clock,
            Suspects(SuspectSettings()),
            evacuations_of(settings),
        )
        self.evacuation_observer = EvacuationObserver(self.fleet_view, self.counters)
        self._eligibility = Eligibility(
            RegionSettings(settings.region, settings.zone_regions),
            self.fleet_view.zone,
            self.fleet_view.evacuations,
            clock,
        )

    def _build_executor(self) -> None:
        settings, clock, counters = self._settings, self._clock, self.counters
        cold = ColdServer(warmup_settings(settings), clock())
        health_check = HealthCheck(settings.backend_address, self._header_names)
        warmup = ServerWarmup(cold, self.fleet_view, health_check, clock, counters)
        self.executor = Executor(
            self.fleet_view,
            SlotQueue(SlotSettings(), DEFAULT_SLOTS, cold),
            warmup,
            ServerConnections(
                settings.backend_address,
                self._names,
                clock,
                counters,
                self.budgets.passing_answers,
            ),
            self._header_names,
            clock,
            counters,
            self._log,
            self.budgets.calls,
            self._eligibility,
        )
        self.evacuation_observer.on_own_zone_returned = lambda: warmup.assume_cold(
            clock()
        )

    def _build_peers(self) -> None:
        self.peers = Peers(
            int(self._settings.peers.rpartition(":")[2]),
            self.fleet_view,
            self._source,
            self._clock,
            self.counters,
            self._random,
            self.budgets.passing_answers,
        )
        self.permits = Permits(
            SharedRateSettings(),
            self.fleet_view,
            self.peers,
            self.timers,
            self.counters,
            self._random,
        )
        self.watcher = Watcher(
            watcher_settings(self._settings),
            self._source,
            self.fleet_view,
            self.timers,
            self.counters,
            self._random,
            self.peers.broadcast_changes,
            self.peers.consult,
        )

    def _build_forwarder(self) -> None:
        settings, directory = self._settings, self.fleet_view.directory
        self.cold_hints = ColdHints(directory.warmup_left, self._random)
        distances = ZoneDistances()
        self.selector = ServerSelector(
            SelectionSettings(),
            self.fleet_view.zone,
            self._random,
            self.cold_hints if warmup_settings(settings).is_stated else None,
            distances.round_trip,
        )
        loads = LoadExchange(ExchangeSettings(), directory.of_service, self._random)
        self.peers.exchange.load_sharing = LoadSharing(
            self.fleet_view,
            loads,
            self.selector,
            distances,
            self.executor.own_load,
            self._clock,
        )
        self.retry_budget = RetryBudget(
            retry_budget_settings(settings), self._random.random()
        )
        self.forwarder = Forwarder(
            self.fleet_view,
            self.selector,
            self.retry_budget,
            self.permits,
            self.executor,
            self.peers,
            self._header_names,
            self._clock,
            self.counters,
            self._log,
            self._random,
            self._eligibility,
            loads,
        )
        if settings.chain_control:
            self.forwarder.use_chain_control()

    def _build_listeners(self) -> None:
        self.listener = CallerListener(
            self.forwarder,
            self._names,
            self._clock,
            self.counters,
            self.budgets.callers,
            self.shedding_log,
        )
        self.links = LinkService(
            self.executor,
            self.peers.answer_ping,
            self.permits.lend,
            self.permits.receive_returned,
            self.peers.exchange.receive_update,
            self._clock,
            self.counters,
            self.budgets.calls,
            self.budgets.partial_messages,
        )
        self.link_gate = LinkGate(
            self.links.connect,
            lambda: len(self.links.links),
            self.budgets.max_links,
            self._clock,
            self.shedding_log,
        )
