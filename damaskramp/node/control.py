"""Control plane of a node: members, ownership, bundles and team quotas."""

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import HostId, Incarnation, ServiceName, ZoneName
from damaskramp.membership import (
    Broadcast,
    GossipProtocol,
    Member,
    MembershipSettings,
)
from damaskramp.node.bundle_controller import BundleController
from damaskramp.node.bundle_exchange import BundleClient, BundleService, HeldBundle
from damaskramp.node.gossip import GossipController
from damaskramp.node.gossip_server import GossipService
from damaskramp.node.host_watch import HostWatch
from damaskramp.node.quota_service import QuotaNode
from damaskramp.node.runtime import Runtime
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings
from damaskramp.sources import HttpConfigurationSource, HttpHostList

__all__ = ["ControlPlane"]


class ControlPlane:
    """Controllers that maintain a node's view of the fleet.

    Parameters
    ----------
    runtime : Runtime
        Shared parts of the node.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._build_gossip()
        self._build_bundles()
        self._build_quota()

    @property
    def ownership(self) -> AcknowledgedOwnership:
        """Owners inside the zone."""
        return self._ownership

    @property
    def broadcast(self) -> Broadcast:
        """Gossip broadcast of small items."""
        return self._broadcast

    @property
    def gossip(self) -> GossipController:
        """Controller of membership and broadcast."""
        return self._gossip

    @property
    def bundles(self) -> BundleController:
        """Controller of the bundles held and in force."""
        return self._bundles

    @property
    def quota(self) -> QuotaNode:
        """Leases and limiter of the team quotas."""
        return self._quota

    @property
    def services(self) -> list[object]:
        """Services that other nodes call over gRPC."""
        return [
            GossipService(self._gossip, self._ownership),
            BundleService(self._held_bundle),
            self._quota.service,
        ]

    @property
    def host_watch(self) -> HostWatch:
        """Create the poller of the host list."""
        runtime = self._runtime
        hosts = HttpHostList(runtime.platform)
        receive = self._gossip.receive_list
        return HostWatch(runtime.settings, receive, hosts, runtime.telemetry)

    def set_bundle(self, view: BundleView) -> None:
        """Apply a new bundle."""
        self._quota.set_bundle(view)

    def _build_gossip(self) -> None:
        runtime = self._runtime
        membership_times = runtime.settings.membership
        own = _own_member(runtime.settings, runtime.incarnation)
        self._ownership = AcknowledgedOwnership(
            OwnershipSettings(
                membership_times.silence_seconds, membership_times.period_seconds
            ),
            runtime.timers,
            Owner(own.host, own.incarnation, own.peer),
        )
        gossip = MembershipSettings(period_seconds=membership_times.period_seconds)
        protocol = GossipProtocol(gossip, runtime.timers, own, runtime.generator())
        self._broadcast = protocol.broadcast
        self._gossip = GossipController(
            gossip,
            runtime.timers,
            protocol,
            self._ownership,
            runtime.members,
            runtime.pool,
            runtime.telemetry,
        )

    def _build_bundles(self) -> None:
        runtime = self._runtime
        name = runtime.settings.platform.bundle_name
        self._held_bundle = HeldBundle()
        self._bundles = BundleController(
            runtime.settings,
            runtime.timers,
            runtime.bundle,
            runtime.members,
            HttpConfigurationSource(runtime.platform, name),
            BundleClient(runtime.pool),
            self._held_bundle,
            self._broadcast,
            runtime.telemetry,
            runtime.generator(),
        )

    def _build_quota(self) -> None:
        runtime = self._runtime
        self._quota = QuotaNode(
            runtime.settings,
            runtime.timers,
            runtime.incarnation,
            runtime.members,
            self._ownership,
            runtime.pool,
            runtime.telemetry,
        )
        self._ownership.subscribe_renewal(self._quota.renew)


def _own_member(settings: NodeSettings, incarnation: Incarnation) -> Member:
    return Member(
        HostId(settings.node.host),
        ZoneName(settings.node.zone),
        settings.listen.peer,
        ServiceName(settings.backend.service if settings.backend else ""),
        incarnation=incarnation,
    )
