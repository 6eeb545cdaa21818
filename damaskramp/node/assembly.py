"""The node: its parts, built from settings and wired together."""

import asyncio
import logging
import secrets

import numpy as np
from grpclib.server import Server as GrpcServer

from damaskramp.admission import EarlyRefusal
from damaskramp.balancing import ObservedBalancer
from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    Blackboard,
    FindingsError,
    HostId,
    Incarnation,
    LoopTimers,
    ServiceName,
    TeamId,
    TimerService,
    ZoneName,
    host_generator,
)
from damaskramp.dedup import ExecutionLedger, IdMint
from damaskramp.http import HttpClient, HttpServer, HttpServerSettings
from damaskramp.membership import (
    GossipProtocol,
    Member,
    MembershipSettings,
    MemberTable,
)
from damaskramp.node.admin import Admin
from damaskramp.node.admitting import build_admission, configure_admission
from damaskramp.node.bundle_controller import BundleController
from damaskramp.node.bundle_exchange import BundleClient, BundleService, HeldBundle
from damaskramp.node.containment import Containment
from damaskramp.node.contexts import ContextTable
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.drain import GracefulDrain
from damaskramp.node.entry import Entry
from damaskramp.node.execution import Executor
from damaskramp.node.gossip import GossipController
from damaskramp.node.gossip_server import GossipService
from damaskramp.node.home import Home
from damaskramp.node.home_peers import GrpcHomeMessages, HomeService
from damaskramp.node.home_router import HomeRouter
from damaskramp.node.host_watch import HostWatch
from damaskramp.node.levels import CountedEvents, HeardExecutor, HeardPeers
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.objectives import ObjectiveKeeper
from damaskramp.node.peer_server import PeerService
from damaskramp.node.peers import PeerClient, PeerPool
from damaskramp.node.quota_service import QuotaNode
from damaskramp.node.releases import ReleaseGuard
from damaskramp.node.responses import refuse_unreadable
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.telemetry import Telemetry
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings
from damaskramp.platform import HttpConfigurationSource, HttpHostList
from damaskramp.quarantine import Quarantine, Standing
from damaskramp.retries import Backoff, HintSpreader
from damaskramp.tls import TlsContexts

__all__ = ["Node"]

LOGGER = logging.getLogger(__name__)

MICROSECONDS = 1_000_000
ADMIN_CONNECTIONS = 64
EXPIRE_SECONDS = 30.0
ID_SECRET_BYTES = 32
DEDUP_GAUGE_SECONDS = 5.0


class Node:
    """One node.

    Parameters
    ----------
    settings : NodeSettings
        All settings.
    timers : TimerService, optional
        Time; that of the running loop where absent.
    """

    def __init__(
        self, settings: NodeSettings, timers: TimerService | None = None
    ) -> None:
        self._settings = settings
        self._timers = timers or LoopTimers()
        self._incarnation = Incarnation(int(self._timers.wall_now * MICROSECONDS))
        self._seed = [*settings.node.host.encode(), self._incarnation]
        self._tasks: list[asyncio.Task] = []
        self._build_sections()
        self._build_clients()
        self._build_gossip()
        self._build_bundle_controller()
        self._build_call_path()
        self._build_servers()
        self._bundle.subscribe(self._follow_bundle)

    @property
    def settings(self) -> NodeSettings:
        """All settings."""
        return self._settings

    @property
    def blackboard(self) -> Blackboard:
        """Shared state of the controllers."""
        return self._blackboard

    @property
    def state(self) -> Lifecycle:
        """State of the process."""
        return self._lifecycle.value

    def _build_sections(self) -> None:
        board = self._blackboard = Blackboard()
        self._lifecycle = board.create("lifecycle", Lifecycle.STARTING)
        empty: BundleView | None = None
        self._bundle = board.create("bundle", empty)
        self._members = board.create("members", MemberTable())
        classes: tuple[str, ...] = ()
        self._classes = board.create("classes", classes)
        self._telemetry = Telemetry(self._classes)
        self._objectives = ObjectiveKeeper(self._timers, self._bundle)

    def _build_clients(self) -> None:
        settings = self._settings
        self._platform = _client(settings.platform.address, 4, 2**20)
        self._tls = TlsContexts(settings.tls)
        self._pool = PeerPool(self._tls)
        backend = settings.backend.address if settings.backend else "127.0.0.1:1"
        limit = settings.limits.whole_answer_bytes
        self._backend = _client(backend, settings.limits.connections, limit)

    def _build_gossip(self) -> None:
        times = self._settings.membership
        own = _own_member(self._settings, self._incarnation)
        self._ownership = AcknowledgedOwnership(
            OwnershipSettings(times.silence_seconds, times.period_seconds),
            self._timers,
            Owner(own.host, own.incarnation, own.peer),
        )
        gossip = MembershipSettings(period_seconds=times.period_seconds)
        random = np.random.default_rng(self._seed)
        protocol = GossipProtocol(gossip, self._timers, own, random)
        self._broadcast = protocol.broadcast
        self._gossip = GossipController(
            gossip,
            self._timers,
            protocol,
            self._ownership,
            self._members,
            self._pool,
            self._telemetry,
        )

    def _build_call_path(self) -> None:
        settings = self._settings
        zone = ZoneName(settings.node.zone)
        self._contexts = ContextTable(self._timers)
        self._build_dedup(zone)
        seeds = np.random.SeedSequence(self._seed).spawn(2)
        events = CountedEvents(self._telemetry)
        self._admission = build_admission(settings, self._timers, seeds[0], events)
        self._early = EarlyRefusal(
            settings.admission,
            self._timers,
            np.random.default_rng(seeds[1]),
            events,
        )
        self._quota = QuotaNode(
            settings,
            self._timers,
            self._incarnation,
            self._members,
            self._ownership,
            self._pool,
            self._telemetry,
        )
        self._ownership.subscribe_renewal(self._quota.renew)
        own = HostId(settings.node.host)
        self._quarantine = Quarantine(
            settings.quarantine,
            self._timers,
            own,
            zone,
            self._broadcast,
            self._telemetry.event,
        )
        self._executor = Executor(
            settings,
            self._timers,
            self._bundle,
            self._lifecycle,
            self._admission,
            self._backend,
            self._contexts,
            Containment(
                settings.quarantine,
                self._timers,
                self._quarantine,
                self._backend,
                self._telemetry.event,
            ),
            self._telemetry,
            ReleaseGuard(zone, self._ledger, self._ownership),
        )
        self._balancer = ObservedBalancer(
            settings.balancing, self._timers, own, zone, self._telemetry.event
        )
        generator = host_generator(settings.retries.seed, own)
        self._dispatcher = Dispatcher(
            own,
            self._timers,
            settings.retries,
            Backoff(settings.retries, generator),
            self._members,
            self._balancer,
            HeardExecutor(own, self._executor, self._early),
            HeardPeers(PeerClient(self._timers, self._pool), self._early),
            self._quarantine,
            self._telemetry.event,
        )
        self._allowances = RetryAllowances(
            settings.retries,
            self._timers,
            HintSpreader(settings.retries, generator),
            self._telemetry.event,
        )
        self._build_home()
        self._entry = Entry(
            settings,
            self._timers,
            self._bundle,
            self._contexts,
            self._quota.limiter,
            self._dispatcher,
            self._early,
            self._allowances,
            self._telemetry,
            self._homes,
            self._mint,
            self._objectives,
        )

    def _build_dedup(self, zone: ZoneName) -> None:
        host = HostId(self._settings.node.host)
        secret = secrets.token_bytes(ID_SECRET_BYTES)
        self._mint = IdMint(self._timers, zone, host, self._incarnation, secret)
        self._ledger = ExecutionLedger(
            self._timers, self._repeat_window, self._settings.dedup.claims
        )

    def _build_home(self) -> None:
        messages = GrpcHomeMessages(self._timers, self._pool)
        self._home = Home(
            self._settings,
            self._timers,
            self._bundle,
            self._ownership,
            self._mint,
            self._dispatcher,
            messages,
        )
        self._homes = HomeRouter(
            self._settings,
            self._members,
            self._ownership,
            self._mint,
            self._home,
            messages,
        )
        self._timers.every(DEDUP_GAUGE_SECONDS, self._publish_dedup)

    def _publish_dedup(self) -> None:
        self._telemetry.value("dedup_claims", len(self._home.claims))
        self._telemetry.value("dedup_copies", len(self._home.copies))
        self._telemetry.value("dedup_answer_bytes", self._home.claims.answer_bytes)
        self._telemetry.value("dedup_executions", len(self._ledger))

    def _repeat_window(self) -> float:
        return self._home.retention()

    def _build_servers(self) -> None:
        limits = self._settings.limits
        bounds = HttpServerSettings(
            limits.connections,
            limits.body_bytes,
            limits.header_bytes,
            limits.header_seconds,
            limits.idle_seconds,
        )
        self._http = HttpServer(bounds, self._entry.handle, refuse_unreadable)
        admin = Admin(self._telemetry, self.status, self._objectives.document)
        self._admin = HttpServer(
            HttpServerSettings(connections=ADMIN_CONNECTIONS), admin.handle
        )
        gossip = GossipService(self._gossip, self._ownership)
        self._peer_service = PeerService(self._timers, self._executor)
        services = [
            self._peer_service,
            gossip,
            BundleService(self._held_bundle),
            HomeService(self._timers, self._home, self._peer_service),
            self._quota.service,
        ]
        self._peer = GrpcServer(services)

    async def start(self) -> None:
        """Listen and begin to follow the platform.

        Raises
        ------
        OSError
            If an address is in use.
        FindingsError
            If a certificate can't be read.
        """
        listen = self._settings.listen
        loaded = self._tls.load("settings")
        if loaded.is_error():
            raise FindingsError(loaded.error)
        await self._admin.start(*_split(listen.admin))
        await self._peer.start(*_split(listen.peer), ssl=self._tls.peer_server)
        await self._http.start(*_split(listen.http), self._tls.caller_server)
        self._tls.follow(self._timers, self._telemetry.event)
        self._spawn(self._bundle_controller.run())
        self._spawn(self._watch_hosts().run())
        self._timers.every(EXPIRE_SECONDS, self._quarantine.expire)
        self._spawn(self._gossip.run())
        self._quota.start()
        fields = {"host": self._settings.node.host, "incarnation": self._incarnation}
        LOGGER.info("started", extra=fields)

    async def stop(self) -> bool:
        """Finish what is running, then close; False when time ran out."""
        self._lifecycle.replace(Lifecycle.LEAVING)
        LOGGER.info("leaving", extra={"running": self._executor.running})
        self._quota.leave()
        retires = self._timers.now + self._settings.membership.retire_seconds
        await self._gossip.leave()
        handed = asyncio.ensure_future(self._quota.hand_over(retires))
        drain = GracefulDrain(
            self._settings.limits, self._timers, self._http, self._peer_service
        )
        finished = await drain.run()
        await self._home.drain(self._settings.limits.drain_seconds)
        await handed
        self._quota.stop()
        self._peer.close()
        await self._peer.wait_closed()
        await self._admin.drain(0.0)
        self._home.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tls.close()
        await self._gossip.close()
        self._pool.close()
        self._backend.close()
        self._platform.close()
        LOGGER.info("stopped", extra={"finished": finished})
        return finished

    def status(self) -> dict:
        """State of the node for ``damaskramp-status``."""
        view = self._bundle.value
        load = self._admission.load
        return {
            "host": self._settings.node.host,
            "zone": self._settings.node.zone,
            "incarnation": self._ownership.own.incarnation,
            "ownership_active": self._ownership.active,
            "periods": self._gossip.protocol.periods,
            "state": self._lifecycle.value.value,
            "bundle": None if view is None else self._bundle_status(view),
            "quota": self._quota.status(),
            "members": [_member_status(member) for member in self._members.value],
            "backend": {
                "service": getattr(self._settings.backend, "service", None),
                "running": load.in_flight,
                "limit": load.limit,
                "queued": load.queued,
            },
            "quarantine": {
                "suspects": self._quarantine.count(Standing.SUSPECT),
                "quarantined": self._quarantine.count(Standing.QUARANTINED),
            },
            "ejected": sorted(self._balancer.ejected),
            "dedup": {
                "claims": len(self._home.claims),
                "copies": len(self._home.copies),
                "answer_bytes": self._home.claims.answer_bytes,
                "executions": len(self._ledger),
            },
        }

    def _bundle_status(self, view: BundleView) -> dict:
        return {
            "version": view.version,
            "digest": view.signed.digest,
            "withdrawn_keys": len(view.withdrawn),
            "in_force_at": self._bundle_controller.in_force_at,
        }

    def _build_bundle_controller(self) -> None:
        name = self._settings.platform.bundle_name
        self._held_bundle = HeldBundle()
        self._bundle_controller = BundleController(
            self._settings,
            self._timers,
            self._bundle,
            self._members,
            HttpConfigurationSource(self._platform, name),
            BundleClient(self._pool),
            self._held_bundle,
            self._broadcast,
            self._telemetry,
            np.random.default_rng(self._seed),
        )

    def _watch_hosts(self) -> HostWatch:
        hosts = HttpHostList(self._platform)
        receive = self._gossip.receive_list
        return HostWatch(self._settings, receive, hosts, self._telemetry)

    def _follow_bundle(self, view: BundleView | None) -> None:
        self._quota.set_bundle(view)
        teams = frozenset(TeamId(team.name) for team in view.contents.teams)
        self._allowances.set_teams(teams)
        self._classes.replace(view.contents.bundle.classes)
        self._home.set_bundle(view)
        configure_admission(self._settings, view, self._admission)
        self._early.configure(len(view.contents.bundle.classes))
        if self._lifecycle.value is Lifecycle.STARTING:
            self._lifecycle.replace(Lifecycle.SERVING)

    def _spawn(self, coroutine: object) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _client(address: str, idle: int, whole_bytes: int) -> HttpClient:
    host, port = _split(address)
    return HttpClient(host, port, idle, whole_bytes)


def _own_member(settings: NodeSettings, incarnation: Incarnation) -> Member:
    return Member(
        HostId(settings.node.host),
        ZoneName(settings.node.zone),
        settings.listen.peer,
        ServiceName(settings.backend.service if settings.backend else ""),
        incarnation=incarnation,
    )


def _member_status(member: object) -> dict:
    return {
        "host": member.host,
        "zone": member.zone,
        "service": member.service,
        "state": member.state.value,
        "incarnation": member.incarnation,
    }
