"""The node: its parts, built from settings and wired together."""

import asyncio
import logging

import numpy as np
from grpclib.server import Server as GrpcServer

from damaskramp.admission import EarlyRefusal
from damaskramp.balancing import RoundRobin
from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    Blackboard,
    HostId,
    Incarnation,
    LoopTimers,
    TimerService,
    ZoneName,
)
from damaskramp.http import HttpClient, HttpServer, HttpServerSettings
from damaskramp.membership import MemberTable
from damaskramp.node.admin import Admin
from damaskramp.node.admitting import build_admission, configure_admission
from damaskramp.node.bundle_watch import BundleWatch
from damaskramp.node.contexts import ContextTable
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.entry import Entry
from damaskramp.node.execution import Executor
from damaskramp.node.host_watch import HostWatch
from damaskramp.node.levels import CountedEvents, HeardExecutor, HeardPeers
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.peer_server import PeerService
from damaskramp.node.peers import PeerClient, PeerPool
from damaskramp.node.telemetry import Telemetry
from damaskramp.platform import HttpConfigurationSource, HttpHostList
from damaskramp.quota import StaticSplit

__all__ = ["Node"]

LOGGER = logging.getLogger(__name__)

MICROSECONDS = 1_000_000
ADMIN_CONNECTIONS = 64


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
        self._tasks: list[asyncio.Task] = []
        self._build_sections()
        self._build_clients()
        self._build_call_path()
        self._build_servers()
        self._bundle.subscribe(self._follow_bundle)
        self._members.subscribe(self._follow_members)

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

    def _build_clients(self) -> None:
        settings = self._settings
        self._platform = _client(settings.platform.address, 4, 2**20)
        self._pool = PeerPool()
        backend = settings.backend.address if settings.backend else "127.0.0.1:1"
        limit = settings.limits.whole_answer_bytes
        self._backend = _client(backend, settings.limits.connections, limit)

    def _build_call_path(self) -> None:
        settings = self._settings
        zone = ZoneName(settings.node.zone)
        self._contexts = ContextTable(self._timers)
        seeds = np.random.SeedSequence().spawn(2)
        events = CountedEvents(self._telemetry)
        self._admission = build_admission(settings, self._timers, seeds[0], events)
        self._early = EarlyRefusal(
            settings.admission,
            self._timers,
            np.random.default_rng(seeds[1]),
            events,
        )
        self._limiter = StaticSplit(self._timers, zone)
        self._executor = Executor(
            settings,
            self._timers,
            self._bundle,
            self._lifecycle,
            self._admission,
            self._backend,
            self._contexts,
            self._telemetry,
        )
        self._dispatcher = Dispatcher(
            HostId(settings.node.host),
            self._timers,
            self._members,
            RoundRobin(zone),
            HeardExecutor(HostId(settings.node.host), self._executor, self._early),
            HeardPeers(PeerClient(self._timers, self._pool), self._early),
        )
        self._entry = Entry(
            settings,
            self._timers,
            self._bundle,
            self._contexts,
            self._limiter,
            self._dispatcher,
            self._early,
            self._telemetry,
        )

    def _build_servers(self) -> None:
        limits = self._settings.limits
        bounds = HttpServerSettings(
            limits.connections,
            limits.body_bytes,
            limits.header_bytes,
            limits.header_seconds,
            limits.idle_seconds,
        )
        self._http = HttpServer(bounds, self._entry.handle)
        admin = Admin(self._telemetry, self.status)
        self._admin = HttpServer(
            HttpServerSettings(connections=ADMIN_CONNECTIONS), admin.handle
        )
        self._peer = GrpcServer([PeerService(self._timers, self._executor)])

    async def start(self) -> None:
        """Listen and begin to follow the platform.

        Raises
        ------
        OSError
            If an address is in use.
        """
        listen = self._settings.listen
        await self._admin.start(*_split(listen.admin))
        await self._peer.start(*_split(listen.peer))
        await self._http.start(*_split(listen.http))
        self._spawn(self._watch_bundle().run())
        self._spawn(self._watch_hosts().run())
        fields = {"host": self._settings.node.host, "incarnation": self._incarnation}
        LOGGER.info("started", extra=fields)

    async def stop(self) -> bool:
        """Finish what is running, then close; False when time ran out."""
        self._lifecycle.replace(Lifecycle.LEAVING)
        LOGGER.info("leaving", extra={"running": self._executor.running})
        finished = await self._http.drain(self._settings.limits.drain_seconds)
        self._peer.close()
        await self._peer.wait_closed()
        await self._admin.drain(0.0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
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
            "incarnation": self._incarnation,
            "state": self._lifecycle.value.value,
            "bundle": None if view is None else _bundle_status(view),
            "members": [_member_status(member) for member in self._members.value],
            "backend": {
                "service": getattr(self._settings.backend, "service", None),
                "running": load.in_flight,
                "limit": load.limit,
                "queued": load.queued,
            },
        }

    def _watch_bundle(self) -> BundleWatch:
        name = self._settings.platform.bundle_name
        source = HttpConfigurationSource(self._platform, name)
        return BundleWatch(
            self._settings, self._timers, self._bundle, source, self._telemetry
        )

    def _watch_hosts(self) -> HostWatch:
        hosts = HttpHostList(self._platform)
        return HostWatch(self._settings, self._members, hosts, self._telemetry)

    def _follow_bundle(self, view: BundleView | None) -> None:
        self._limiter.set_bundle(view)
        self._classes.replace(view.contents.bundle.classes)
        configure_admission(self._settings, view, self._admission)
        self._early.configure(len(view.contents.bundle.classes))
        if self._lifecycle.value is Lifecycle.STARTING:
            self._lifecycle.replace(Lifecycle.SERVING)

    def _follow_members(self, members: MemberTable) -> None:
        zone = ZoneName(self._settings.node.zone)
        self._limiter.set_hosts(frozenset(m.host for m in members.in_zone(zone)))

    def _spawn(self, coroutine: object) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _client(address: str, idle: int, whole_bytes: int) -> HttpClient:
    host, port = _split(address)
    return HttpClient(host, port, idle, whole_bytes)


def _bundle_status(view: BundleView) -> dict:
    return {
        "version": view.version,
        "digest": view.signed.digest,
        "withdrawn_keys": len(view.withdrawn),
    }


def _member_status(member: object) -> dict:
    return {
        "host": member.host,
        "zone": member.zone,
        "service": member.service,
        "state": member.state.value,
    }
