"""One host of `chain_fleet`: the parts of its node, and links to the other nodes."""

import re
from dataclasses import replace
from types import SimpleNamespace

from benchmarks.chain_scenario import (
    HOSTS,
    LINK_SECONDS,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
)
from benchmarks.chain_server import Connections
from damaskramp.core import ByteBudget, Counters, ServiceName, ZoneName
from damaskramp.dispatch import (
    RetryBudget,
    RetryBudgetSettings,
    SelectionSettings,
    ServerSelector,
    SlotQueue,
    SlotSettings,
    Suspects,
    SuspectSettings,
)
from damaskramp.platform import PLATFORM_HEADERS
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.execution import Executor
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.forwarding import Forwarder
from damaskramp.relay.headers import ReservedNames

__all__ = ["Host"]

SWEEP_SECONDS = 0.05
UPDATE_SECONDS = 0.4
"""Intervals between a node's checks of waiting requests, and of the depth of calls."""


class _Caller:
    """Connection that receives the answer to one request."""

    names = ReservedNames(PLATFORM_HEADERS)

    def __init__(self, callback):
        self._callback = callback

    def respond(self, request, head, body):
        status = int(head.split(b" ", 2)[1])
        found = re.search(rb"Retry-After: ([\d.]+)", head)
        self._callback(status, float(found.group(1)) if found else 0.0)


class _Peers:
    """Links between the nodes of the model, with a delay."""

    def __init__(self, fleet):
        self._fleet = fleet

    def usable(self, servers):
        return servers

    def call(self, host, call, reply):
        fleet, loop = self._fleet, self._fleet.loop
        fleet.record_message()
        state = {"cancelled": False, "cancel": None}

        def deliver():
            if not state["cancelled"]:
                run = fleet.by_address[host].executor.submit(call, link)
                state["cancel"] = run.cancel

        def cancel():
            state["cancelled"] = True
            if state["cancel"] is not None:
                loop.call_later(LINK_SECONDS, state["cancel"])
            return False

        link = _DelayedReply(fleet, reply)
        loop.call_later(LINK_SECONDS, deliver)
        return cancel


class _DelayedReply:
    """Outcome of a call on its way back."""

    def __init__(self, fleet, reply):
        self._fleet, self._reply = fleet, reply

    def __getattr__(self, name):
        def send(*outcome):
            self._fleet.record_message()
            loop = self._fleet.loop
            loop.call_later(LINK_SECONDS, getattr(self._reply, name), *outcome)

        return send


class _NoWarmup:
    """Warm-up of a server that is never cold."""

    seconds_left = 0.0

    def __getattr__(self, name):
        return lambda *arguments: None


def _later_parts(view, clock, source):
    """Warm-up, eligibility and load exchange, which the baseline does not have."""
    try:
        from damaskramp.dispatch import (
            Eligibility,
            ExchangeSettings,
            LoadExchange,
            RegionSettings,
        )
    except ImportError:
        return (), (), ()
    eligibility = Eligibility(RegionSettings("", {}), view.zone, None, clock)
    loads = LoadExchange(ExchangeSettings(), view.directory.of_service, source)
    return (_NoWarmup(),), (eligibility,), (loads,)


class Host:
    """One host: its node's parts and its backend server."""

    def __init__(self, fleet, service, number, config):
        self.fleet, self.service = fleet, service
        loop, scenario = fleet.loop, fleet.scenario
        self.address = f"10.0.{list(HOSTS).index(service)}.{number}"
        self.counters = Counters()
        clock = loop.time
        self.view = FleetView(
            self.address,
            ZoneName("z"),
            ServiceName(service),
            f"{self.address}:5",
            5.0,
            clock,
            Suspects(SuspectSettings()),
        )
        self.view.freshness = SimpleNamespace(age=0.0, now=0.0)
        self.view.adopt_configuration(config)
        log = DecisionLog(0.0, clock, self.counters)
        slots = scenario.deep_slots if service == "deep" else 256
        queue = SlotQueue(SlotSettings(), slots)
        budget_settings = RetryBudgetSettings(
            RETRY_RATIO, RETRY_WINDOW_SECONDS, scenario.retry_allowance
        )
        if fleet.chain_control:
            used = scenario.used_ratio or budget_settings.used_ratio
            budget_settings = replace(budget_settings, used_ratio=used)
        self.budget = RetryBudget(budget_settings, fleet.source.random())
        self.budget.resize(sum(HOSTS.values()))
        warmup, eligibility, loads = _later_parts(self.view, clock, fleet.source)
        self.executor = Executor(
            self.view,
            queue,
            *warmup,
            Connections(self),
            PLATFORM_HEADERS,
            clock,
            self.counters,
            log,
            ByteBudget(1 << 30),
            *eligibility,
        )
        permits = SimpleNamespace(
            admit=lambda team, done: done(True),
            refund=lambda team, at: None,
            level=lambda team: None,
        )
        self.forwarder = Forwarder(
            self.view,
            ServerSelector(SelectionSettings(), ZoneName("z"), fleet.source),
            self.budget,
            permits,
            self.executor,
            _Peers(fleet),
            PLATFORM_HEADERS,
            clock,
            self.counters,
            log,
            fleet.source,
            *eligibility,
            *loads,
        )
        if fleet.chain_control:
            self.forwarder.use_chain_control()
        self._sweep()
        self._update()

    def _sweep(self):
        self.executor.sweep()
        self.fleet.loop.call_later(SWEEP_SECONDS, self._sweep)

    def _update(self):
        self.executor.update_depth()
        self.fleet.loop.call_later(UPDATE_SECONDS, self._update)

    def ask(self, path, key, timeout_ms, callback, repeats=False):
        """Receive a request from a caller or from the backend server."""
        request = CallerRequest(_Caller(callback))
        request.host, request.path = "a.example", path
        request.target, request.method = path.encode(), b"GET"
        request.key, request.has_key = b"Token " + key.encode(), bool(key)
        request.deadline_ms = timeout_ms
        request.request_id = self.fleet.new_request_id(repeats)
        request.started = self.fleet.loop.time()
        self.fleet.count_request(self.service, path, key)
        self.forwarder.handle(request)
