"""What every part of a node shares: settings, time, blackboard, clients, metrics."""

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

MICROSECONDS = 1_000_000
PLATFORM_CONNECTIONS = 4
BUNDLE_BYTES = 1024 * 1024
NO_BACKEND_SERVER = "127.0.0.1:1"
"""Address that refuses every connection, for a host without a backend server."""


@dataclass(frozen=True)
class Runtime:
    """Shared parts of one node.

    Attributes
    ----------
    board : Blackboard
        Owner of the sections that follow.
    seed : tuple of int
        Seed of this incarnation's random choices.
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
        incarnation = Incarnation(int(timers.wall_now * MICROSECONDS))
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
        """New generator with this incarnation's seed."""
        return np.random.default_rng(self.seed)

    def close(self) -> None:
        """Close all clients."""
        self.tls.close()
        self.pool.close()
        self.backend.close()
        self.platform.close()


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Examples
    --------
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _platform_client(settings: NodeSettings) -> HttpClient:
    host, port = split_address(settings.platform.address)
    return HttpClient(host, port, PLATFORM_CONNECTIONS, BUNDLE_BYTES)


def _backend_client(settings: NodeSettings) -> HttpClient:
    address = settings.backend.address if settings.backend else NO_BACKEND_SERVER
    limits = settings.limits
    host, port = split_address(address)
    return HttpClient(host, port, limits.connections, limits.whole_answer_bytes)
