"""Shared parts of a node: settings, timers, blackboard, clients and metrics."""

from dataclasses import dataclass

import numpy as np

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    Blackboard,
    HostId,
    Incarnation,
    Section,
    TimerService,
    ZoneName,
)
from damaskramp.http import HttpClient
from damaskramp.membership import MemberTable
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.objectives import ObjectiveMonitor
from damaskramp.node.peers import PeerPool
from damaskramp.node.telemetry import Telemetry
from damaskramp.tls import TlsContexts

__all__ = ["Runtime", "split_address"]

MICROSECONDS_PER_SECOND = 1_000_000
PLATFORM_IDLE_CONNECTIONS = 4
PLATFORM_WHOLE_ANSWER_BYTES = 1024 * 1024
NO_BACKEND_SERVER_ADDRESS = "127.0.0.1:1"
"""Address that refuses every connection, used on a host without a backend server."""


@dataclass(frozen=True)
class Runtime:
    """Shared parts of one node.

    Attributes
    ----------
    board : Blackboard
        Blackboard that owns the sections `lifecycle`, `bundle`, `members` and
        `classes`.
    seed : tuple of int
        Seed of the random choices, which differs for each incarnation of a host.
    """

    settings: NodeSettings
    timers: TimerService
    host: HostId
    zone: ZoneName
    incarnation: Incarnation
    seed: tuple[int, ...]
    board: Blackboard
    lifecycle: Section[Lifecycle]
    bundle: Section[BundleView | None]
    members: Section[MemberTable]
    classes: Section[tuple[str, ...]]
    telemetry: Telemetry
    objectives: ObjectiveMonitor
    tls: TlsContexts
    pool: PeerPool
    platform: HttpClient
    backend: HttpClient

    @classmethod
    def build(cls, settings: NodeSettings, timers: TimerService) -> "Runtime":
        """Build the shared parts from settings."""
        incarnation = Incarnation(int(timers.wall_now * MICROSECONDS_PER_SECOND))
        board = Blackboard()
        no_bundle: BundleView | None = None
        no_classes: tuple[str, ...] = ()
        bundle = board.create("bundle", no_bundle)
        classes = board.create("classes", no_classes)
        tls = TlsContexts(settings.tls)
        return cls(
            settings=settings,
            timers=timers,
            host=HostId(settings.node.host),
            zone=ZoneName(settings.node.zone),
            incarnation=incarnation,
            seed=(*settings.node.host.encode(), incarnation),
            board=board,
            lifecycle=board.create("lifecycle", Lifecycle.STARTING),
            bundle=bundle,
            members=board.create("members", MemberTable()),
            classes=classes,
            telemetry=Telemetry(classes),
            objectives=ObjectiveMonitor(timers, bundle),
            tls=tls,
            pool=PeerPool(tls),
            platform=_platform_client(settings),
            backend=_backend_client(settings),
        )

    def generator(self) -> np.random.Generator:
        """Create a random generator with the seed of this incarnation."""
        return np.random.default_rng(self.seed)

    def close(self) -> None:
        """Close all clients and stop the watch of the TLS files."""
        self.tls.close()
        self.pool.close()
        self.backend.close()
        self.platform.close()


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the address and the port.

    Examples
    --------
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _platform_client(settings: NodeSettings) -> HttpClient:
    host, port = split_address(settings.platform.address)
    return HttpClient(
        host, port, PLATFORM_IDLE_CONNECTIONS, PLATFORM_WHOLE_ANSWER_BYTES
    )


def _backend_client(settings: NodeSettings) -> HttpClient:
    address = (
        settings.backend.address if settings.backend else NO_BACKEND_SERVER_ADDRESS
    )
    limits = settings.limits
    host, port = split_address(address)
    return HttpClient(host, port, limits.connections, limits.whole_answer_bytes)
