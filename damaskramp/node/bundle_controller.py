"""Controller that fetches new bundles and writes the blackboard's bundle section.

A starting node asks the platform and some peers and adopts the greatest bundle.
Then a reader of the zone watches the platform, and every other node watches its
parent in the zone's watch tree. Gossip announces bundles as well, so that a node
gets them when its parent hangs or its zone is cut off from the platform.
"""

import asyncio
import logging
from datetime import UTC, datetime

import numpy as np
from expression import Result

from damaskramp.bundle import (
    Adoption,
    BundleStore,
    BundleView,
    SignedBundle,
    verify_bundle,
    verify_signed,
)
from damaskramp.config import NodeSettings
from damaskramp.core import (
    Findings,
    HostId,
    Section,
    TimerService,
    ZoneName,
)
from damaskramp.distribution import WatchTree
from damaskramp.http import TransportError
from damaskramp.membership import Broadcast, Item, Member, MemberTable, Topic
from damaskramp.node.bundle_exchange import BundleClient, HeldBundle
from damaskramp.node.telemetry import Telemetry
from damaskramp.sources import ConfigurationSource, PublishedValue

__all__ = ["BundleController"]

LOGGER = logging.getLogger(__name__)

ITEM_KEY = "bundle"
MAX_START_PEERS = 3
"""Members that a starting node asks besides the platform."""

START_TIMEOUT_SECONDS = 2.0
"""Longest wait of a starting node for members, and again for their answers."""

PEER_WATCH_SECONDS = 3.0
"""Longest watch of a parent; the node leaves a frozen parent after this time."""

MAX_FETCH_PEERS = 3
"""Members of the own zone asked for an announced bundle, before its origin."""


class BundleController:
    """Holder of the greatest bundle; it publishes the one in force.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Clock and timers.
    section : Section of BundleView or None
        Section of the blackboard to which the bundle in force is written.
    members : Section of MemberTable
        Known members of the fleet.
    source : ConfigurationSource
        Source of the bundle that the platform publishes.
    client : BundleClient
        Client that fetches bundles from other nodes.
    held : HeldBundle
        Greatest bundle, as served to other nodes.
    broadcast : Broadcast
        Gossip broadcast that announces new bundles.
    telemetry : Telemetry
        Metrics of the node.
    random : numpy.random.Generator
        Random numbers for the choice of peers and for jitter.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        section: Section[BundleView | None],
        members: Section[MemberTable],
        source: ConfigurationSource,
        client: BundleClient,
        held: HeldBundle,
        broadcast: Broadcast,
        telemetry: Telemetry,
        random: np.random.Generator,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._section = section
        self._members = members
        self._source = source
        self._client = client
        self._held = held
        self._broadcast = broadcast
        self._telemetry = telemetry
        self._random = random
        self._store = BundleStore(ZoneName(settings.node.zone))
        self._revision = 0
        self._must_read = False
        self._reachable: bool | None = None
        self._tasks: set[asyncio.Task] = set()
        self._failed_parent: HostId | None = None
        self._in_force_at = 0.0
        broadcast.subscribe(Topic.BUNDLE, self._receive_announcement)

    @property
    def in_force_at(self) -> float:
        """Wall-clock time in seconds at which the bundle took force on this node."""
        return self._in_force_at

    async def run(self) -> None:
        """Get a first bundle, then watch for newer ones until cancelled."""
        while self._store.latest is None:
            await self._start()
        while True:
            await self._follow()

    async def _start(self) -> None:
        """Ask the platform and some peers, and adopt their greatest bundle."""
        platform = asyncio.ensure_future(self._source.read())
        await self._wait_for_members()
        members = self._sample(self._other_members(), MAX_START_PEERS)
        fetches = [asyncio.ensure_future(self._fetch_verified(m)) for m in members]
        await asyncio.wait([platform, *fetches], timeout=START_TIMEOUT_SECONDS)
        found: list[SignedBundle] = []
        for task in fetches:
            found += task.result() if task.done() else []
        if platform.done():
            found += self._published(platform.result())
        for task in (platform, *fetches):
            task.cancel()
        for signed in sorted(found, key=lambda signed: signed.order, reverse=True):
            self._offer(signed, "start")
        if self._store.latest is None:
            await asyncio.sleep(self._jittered(self._settings.platform.retry_seconds))

    async def _wait_for_members(self) -> None:
        """Wait a short time for the host list, so that there are peers to ask."""
        deadline = self._timers.now + START_TIMEOUT_SECONDS
        while not self._other_members() and self._timers.now < deadline:
            await asyncio.sleep(START_TIMEOUT_SECONDS / 20)

    async def _fetch_verified(self, member: Member) -> list[SignedBundle]:
        try:
            signed = await self._client.fetch(member.peer, self._store.latest, 0.0)
        except ConnectionError:
            return []
        return self._verified(signed, member) if signed is not None else []

    async def _follow(self) -> None:
        tree = self._tree()
        if tree.is_reader:
            await self._watch_platform()
        else:
            await self._watch_member(self._parent(tree))

    async def _watch_platform(self) -> None:
        """Watch the platform; read it after each watch that brought nothing.

        A platform that was restored from a copy gives revisions out again, and a watch
        after one that it has not reached yet stays silent.
        """
        if self._must_read:
            answer = await self._source.read()
            if answer.is_ok() and answer.ok is None:
                self._revision = 0
            self._must_read = answer.is_error()
        else:
            wait = self._settings.platform.watch_seconds
            answer = await self._source.watch(self._revision, wait)
            self._must_read = answer.is_error() or answer.ok is None
        for signed in self._published(answer):
            self._offer(signed, "platform")
        if answer.is_error():
            await self._fetch_from_any_member()
            await asyncio.sleep(self._jittered(self._settings.platform.retry_seconds))

    async def _watch_member(self, member: Member) -> None:
        started_at = self._timers.now
        try:
            signed = await self._client.fetch(
                member.peer, self._store.latest, PEER_WATCH_SECONDS
            )
        except ConnectionError:
            self._telemetry.event("bundle_parent_failed")
            self._failed_parent = member.host
            if self._timers.now - started_at < PEER_WATCH_SECONDS:
                retry = self._settings.platform.retry_seconds
                await asyncio.sleep(self._jittered(retry) / 4)
            return
        self._failed_parent = None
        if signed is not None:
            for verified in self._verified(signed, member):
                self._offer(verified, "peer")

    def _parent(self, tree: WatchTree) -> Member:
        """Parent in the watch tree, or a random other member after it has failed."""
        parent = tree.parent
        if parent.host != self._failed_parent:
            return parent
        others = [m for m in tree.others if m.host != parent.host] or [parent]
        return self._sample(others, 1)[0]

    def _receive_announcement(self, item: Item) -> None:
        """Fetch a bundle that gossip announces, if it is greater than the latest."""
        latest = self._store.latest
        if latest is not None and (item.version, item.payload.hex()) <= latest.order:
            return
        task = asyncio.get_running_loop().create_task(self._fetch_from(item.origin))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_from(self, origin: HostId) -> None:
        """Fetch from members of this zone first, and from the origin last."""
        await asyncio.sleep(self._jittered(0.2))
        zone_members = self._sample(list(self._tree().others), MAX_FETCH_PEERS)
        member = self._members.value.get(origin)
        for candidate in [*zone_members, *([member] if member else [])]:
            if await self._try_fetch(candidate):
                return

    async def _fetch_from_any_member(self) -> None:
        """Ask one random member, for use while the platform is unreachable."""
        for member in self._sample(self._other_members(), 1):
            await self._try_fetch(member)

    async def _try_fetch(self, member: Member) -> bool:
        found = await self._fetch_verified(member)
        for signed in found:
            self._offer(signed, "peer")
        return bool(found)

    def _published(
        self, answer: Result[PublishedValue | None, TransportError]
    ) -> list[SignedBundle]:
        """Verified bundle in an answer of the platform, or an empty list."""
        self._record_reachability(answer.is_ok())
        if answer.is_error() or answer.ok is None:
            return []
        self._revision = answer.ok.revision
        now = datetime.fromtimestamp(self._timers.wall_now, UTC)
        keys = self._settings.trust.public_keys
        return self._accepted(verify_bundle(answer.ok.value, keys, "platform", now))

    def _verified(self, signed: SignedBundle, member: Member) -> list[SignedBundle]:
        """Bundle of a peer if it is valid, else an empty list.

        The expiry is not checked, since the bundle may have expired after it took
        force on the peer.
        """
        keys = self._settings.trust.public_keys
        return self._accepted(verify_signed(signed, keys, member.host))

    def _accepted(self, verified: Result[SignedBundle, Findings]) -> list[SignedBundle]:
        if verified.is_ok():
            return [verified.ok]
        self._telemetry.event("bundle_rejected")
        LOGGER.warning("bundle rejected", extra={"findings": str(verified.error)})
        return []

    def _offer(self, signed: SignedBundle, source: str) -> None:
        before = self._store.view
        adoption = self._store.offer(signed, self._timers.now)
        self._telemetry.event(f"bundle_{adoption.value}")
        if adoption in (Adoption.CONFLICT_WON, Adoption.CONFLICT_LOST):
            fields = {"version": signed.version, "result": adoption.value}
            LOGGER.warning("two bundles have the same version", extra=fields)
        if self._store.latest is signed:
            self._announce(signed)
        if adoption is Adoption.STAGED:
            delay = signed.bundle.bundle.roll_seconds
            self._timers.after(delay, self._advance)
        if self._store.view is not before:
            self._publish(source)

    def _announce(self, signed: SignedBundle) -> None:
        self._held.replace(signed)
        payload = bytes.fromhex(signed.digest)
        self._broadcast.announce(Topic.BUNDLE, ITEM_KEY, signed.version, payload)

    def _advance(self) -> None:
        if self._store.advance(self._timers.now):
            self._publish("rollout")

    def _publish(self, source: str) -> None:
        view = self._store.view
        self._in_force_at = self._timers.wall_now
        self._section.replace(view)
        self._telemetry.value("bundle_version", view.version)
        LOGGER.info("bundle in force", extra={"version": view.version, "from": source})

    def _record_reachability(self, reachable: bool) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            state = "reachable" if reachable else "unreachable"
            self._telemetry.event(f"platform_{state}")
            LOGGER.info("platform reachability changed", extra={"state": state})

    def _tree(self) -> WatchTree:
        zone = ZoneName(self._settings.node.zone)
        members = [m for m in self._members.value.in_zone(zone) if m.takes_work]
        return WatchTree(HostId(self._settings.node.host), members)

    def _other_members(self) -> list[Member]:
        own = HostId(self._settings.node.host)
        return [m for m in self._members.value if m.host != own and m.takes_work]

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        order = self._random.permutation(len(members))[:count]
        return [members[position] for position in order]

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.5, 1.5)
