"""Construction of the components that handle the calls of a node."""

import secrets

import numpy as np

from damaskramp.admission import AdmissionController, EarlyRefusal
from damaskramp.balancing import ObservedBalancer
from damaskramp.bundle import BundleView
from damaskramp.core import TeamId, host_generator
from damaskramp.dedup import ExecutionLedger, RequestIdIssuer
from damaskramp.node.admitting import build_admission, configure_admission
from damaskramp.node.containment import Containment
from damaskramp.node.contexts import ContextTable
from damaskramp.node.control import ControlPlane
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.entry import Entry
from damaskramp.node.execution import Executor
from damaskramp.node.home import Home
from damaskramp.node.home_peers import GrpcHomeMessages, HomeService
from damaskramp.node.home_router import HomeRouter
from damaskramp.node.levels import (
    CountedEvents,
    LevelRecordingExecutor,
    LevelRecordingPeers,
)
from damaskramp.node.peer_server import PeerService
from damaskramp.node.peers import PeerClient
from damaskramp.node.releases import ReleaseGuard
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.runtime import Runtime
from damaskramp.quarantine import Quarantine
from damaskramp.retries import Backoff, HintSpreader

__all__ = ["CallPath"]

ID_SECRET_BYTES = 32


class CallPath:
    """Components that admit, claim, dispatch and execute the calls of a node.

    Parameters
    ----------
    runtime : Runtime
        Components shared by the whole node.
    control : ControlPlane
        Control plane with the node's view of the fleet.
    """

    def __init__(self, runtime: Runtime, control: ControlPlane) -> None:
        self._runtime = runtime
        self._control = control
        self._contexts = ContextTable(runtime.timers)
        self._build_admission()
        self._build_execution()
        self._build_dispatch()
        self._build_home()
        self._build_entry()

    @property
    def admission(self) -> AdmissionController:
        """Admission controller of the backend server of this host."""
        return self._admission

    @property
    def balancer(self) -> ObservedBalancer:
        """Load balancer over the backend servers."""
        return self._balancer

    @property
    def entry(self) -> Entry:
        """Entry point of requests."""
        return self._entry

    @property
    def executor(self) -> Executor:
        """Executor of calls on the backend server of this host."""
        return self._executor

    @property
    def home(self) -> Home:
        """Home of the request ids that belong to this node."""
        return self._home

    @property
    def ledger(self) -> ExecutionLedger:
        """Record of the non-idempotent calls released on this host."""
        return self._ledger

    @property
    def peer_service(self) -> PeerService:
        """Service for calls from other nodes, over gRPC."""
        return self._peer_service

    @property
    def quarantine(self) -> Quarantine:
        """Quarantine status of requests during which backend servers died."""
        return self._quarantine

    @property
    def services(self) -> list[object]:
        """Services for other nodes, over gRPC."""
        home = HomeService(self._runtime.timers, self._home, self._peer_service)
        return [self._peer_service, home]

    def set_bundle(self, view: BundleView) -> None:
        """Apply a new bundle to the components that depend on it."""
        teams = frozenset(TeamId(team.name) for team in view.contents.teams)
        self._allowances.set_teams(teams)
        self._home.set_bundle(view)
        configure_admission(self._runtime.settings, view, self._admission)
        self._early.configure(len(view.contents.bundle.classes))

    def publish(self) -> None:
        """Set the gauges of the records kept for at-most-once execution."""
        value = self._runtime.telemetry.value
        value("dedup_claims", len(self._home.claims))
        value("dedup_copies", len(self._home.copies))
        value("dedup_answer_bytes", self._home.claims.answer_bytes)
        value("dedup_executions", len(self._ledger))

    def _build_admission(self) -> None:
        runtime = self._runtime
        settings = runtime.settings
        seeds = np.random.SeedSequence(runtime.seed).spawn(2)
        events = CountedEvents(runtime.telemetry)
        self._admission = build_admission(settings, runtime.timers, seeds[0], events)
        self._early = EarlyRefusal(
            settings.admission,
            runtime.timers,
            np.random.default_rng(seeds[1]),
            events,
        )

    def _build_execution(self) -> None:
        runtime = self._runtime
        settings = runtime.settings
        event = runtime.telemetry.event
        self._ledger = ExecutionLedger(
            runtime.timers, lambda: self._home.retention(), settings.dedup.claims
        )
        self._quarantine = Quarantine(
            settings.quarantine,
            runtime.timers,
            runtime.host,
            runtime.zone,
            self._control.broadcast,
            event,
        )
        self._executor = Executor(
            settings,
            runtime.timers,
            runtime.bundle,
            runtime.lifecycle,
            self._admission,
            runtime.backend,
            self._contexts,
            Containment(
                settings.quarantine,
                runtime.timers,
                self._quarantine,
                runtime.backend,
                event,
            ),
            runtime.telemetry,
            ReleaseGuard(runtime.zone, self._ledger, self._control.ownership),
        )
        self._peer_service = PeerService(runtime.timers, self._executor)

    def _build_dispatch(self) -> None:
        runtime = self._runtime
        settings = runtime.settings
        event = runtime.telemetry.event
        self._balancer = ObservedBalancer(
            settings.balancing, runtime.timers, runtime.host, runtime.zone, event
        )
        generator = host_generator(settings.retries.seed, runtime.host)
        peers = PeerClient(runtime.timers, runtime.pool)
        self._dispatcher = Dispatcher(
            runtime.host,
            runtime.timers,
            settings.retries,
            Backoff(settings.retries, generator),
            runtime.members,
            self._balancer,
            LevelRecordingExecutor(runtime.host, self._executor, self._early),
            LevelRecordingPeers(peers, self._early),
            self._quarantine,
            event,
        )
        self._allowances = RetryAllowances(
            settings.retries,
            runtime.timers,
            HintSpreader(settings.retries, generator),
            event,
        )

    def _build_home(self) -> None:
        runtime = self._runtime
        secret = secrets.token_bytes(ID_SECRET_BYTES)
        self._id_issuer = RequestIdIssuer(
            runtime.timers, runtime.zone, runtime.host, runtime.incarnation, secret
        )
        messages = GrpcHomeMessages(runtime.timers, runtime.pool)
        self._home = Home(
            runtime.settings,
            runtime.timers,
            runtime.bundle,
            self._control.ownership,
            self._id_issuer,
            self._dispatcher,
            messages,
        )
        self._home_router = HomeRouter(
            runtime.settings,
            runtime.members,
            self._control.ownership,
            self._id_issuer,
            self._home,
            messages,
        )

    def _build_entry(self) -> None:
        runtime = self._runtime
        self._entry = Entry(
            runtime.settings,
            runtime.timers,
            runtime.bundle,
            self._contexts,
            self._control.quota.limiter,
            self._dispatcher,
            self._early,
            self._allowances,
            runtime.telemetry,
            self._home_router,
            self._id_issuer,
            runtime.objectives,
        )
