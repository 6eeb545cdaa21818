"""Home of request ids: claims before release, answers for repeats."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import replace

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    HostId,
    Outcome,
    Reason,
    Section,
    TimerService,
    ZoneName,
)
from damaskramp.dedup import (
    ClaimKey,
    ClaimState,
    ClaimTable,
    HistoryCoverage,
    HomeZones,
    IssuedId,
    OwnId,
    RangeHistory,
    RequestIdIssuer,
    claim_key,
    fingerprint,
    may_release_own_id,
    parse_request_id,
    resource_of,
)
from damaskramp.node.calls import NO_HOME, Call, HomeIdentity, Reply
from damaskramp.node.home_copies import ClaimCopies
from damaskramp.node.home_messages import (
    UNREACHABLE_HINT_SECONDS,
    ClaimCopy,
    CopyResult,
    HomeCall,
    HomeMessages,
    Releaser,
    history_lost,
    unreachable,
)
from damaskramp.ownership import Owner, Ownership

__all__ = ["Home"]

RUNNING_HINT_SECONDS = 0.2
DEFAULT_RETENTION_SECONDS = 600.0


class Home:
    """Claims ids homed at this node and releases each at most once.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Time.
    bundle : Section of BundleView or None
        Bundle in force.
    ownership : Ownership
        Owners inside the zone.
    mint : RequestIdIssuer
        Issuer of ids homed here.
    releaser : Releaser
        Way to the backend servers.
    messages : HomeMessages
        Way to holders of copies.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        bundle: Section[BundleView | None],
        ownership: Ownership,
        id_issuer: RequestIdIssuer,
        releaser: Releaser,
        messages: HomeMessages,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._bundle = bundle
        self._ownership = ownership
        self._id_issuer = id_issuer
        self._releaser = releaser
        limits = settings.dedup
        self._claims: ClaimTable[Reply] = ClaimTable(
            timers, self.retention, limits.claims, limits.answer_bytes
        )
        self._copies: ClaimTable[Owner] = ClaimTable(
            timers, self.retention, limits.claims, 0
        )
        self._ranges = RangeHistory(timers, ownership)
        self._zones = HomeZones(timers)
        self._held = ClaimCopies(
            HostId(settings.node.host),
            ownership,
            self._ranges,
            self._claims,
            self._copies,
            messages,
        )
        self._held_retention = 0.0
        self._retention_floor = float("-inf")
        self._tasks: set[asyncio.Task] = set()

    @property
    def zones(self) -> HomeZones:
        """Home zones of callers' own ids."""
        return self._zones

    @property
    def ranges(self) -> RangeHistory:
        """Since when this node accounts for each range."""
        return self._ranges

    @property
    def claims(self) -> ClaimTable[Reply]:
        """Claims made here."""
        return self._claims

    @property
    def copies(self) -> ClaimTable[Owner]:
        """Copies of claims that other homes made."""
        return self._copies

    def retention(self) -> float:
        """Seconds that outcomes are kept for repeats."""
        view = self._bundle.value
        if view is None:
            return DEFAULT_RETENTION_SECONDS
        return view.contents.bundle.repeat_window_seconds

    def set_bundle(self, view: BundleView) -> None:
        """Take zones and retention of a new bundle."""
        head = view.contents.bundle
        self._zones.set_zones(head.zones)
        if self._held_retention and head.repeat_window_seconds > self._held_retention:
            # Claims that the shorter retention let go can't be accounted for.
            self._retention_floor = self._timers.now - self._held_retention
        self._held_retention = head.repeat_window_seconds

    async def run(self, home_call: HomeCall) -> Reply:
        """Answer a call from what is known of its id, or release it."""
        context = home_call.call.context
        parsed = parse_request_id(context.request_id)
        if parsed.is_error():
            return Reply.not_run(Reason.BAD_REQUEST, detail=parsed.error)
        key = claim_key(home_call.scope, context.request_id)
        mark = _fingerprint(home_call.call)
        known = self._known(home_call, parsed.ok, key, mark)
        if known is not None:
            return known.with_retries(context.retries_left)
        copy = self._copy_of(parsed.ok, key, mark)
        if home_call.look_only or self._claims.full:
            return await self._refuse(home_call, copy)
        self._claims.claim(key, mark)
        task = asyncio.get_running_loop().create_task(
            self._release(home_call, key, copy)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            # The request goes on when its caller leaves: a repeat finds its answer.
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._discard_tail)
            raise

    def keep_copy(self, copy: ClaimCopy) -> CopyResult:
        """Keep a copy of another home's claim."""
        return self._held.keep(copy)

    async def drain(self, seconds: float) -> None:
        """Wait for released requests whose callers have left."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)

    def close(self) -> None:
        """Stop the timers."""
        self._claims.close()
        self._copies.close()
        self._ranges.close()

    def _known(
        self, home_call: HomeCall, parsed: IssuedId | OwnId, key: ClaimKey, mark: bytes
    ) -> Reply | None:
        """What is to be told without a release; None where it may be released."""
        if isinstance(parsed, IssuedId):
            return self._known_issued(home_call, parsed, key, mark)
        if self._ranges.owned_since(key) is None or not self._is_home_zone(parsed, key):
            return unreachable(home_call.first_attempt)
        claim = self._claims.get(key)
        if claim is not None:
            return self._repeat(key, mark)
        copy = self._copies.get(key)
        if copy is not None:
            reason = Reason.HISTORY_LOST
            if copy.fingerprint != mark:
                reason = Reason.REQUEST_CONFLICT
            return Reply.unknown(reason, "claimed by a home that is gone")
        coverage = self._coverage(parsed, key)
        if may_release_own_id(parsed.text, home_call.first_attempt, coverage):
            return None
        return Reply.unknown(Reason.HISTORY_LOST, "the home can't account for this id")

    def _known_issued(
        self, home_call: HomeCall, issued: IssuedId, key: ClaimKey, mark: bytes
    ) -> Reply | None:
        if not self._id_issuer.is_home_of(issued):
            return history_lost(home_call.first_attempt, "the home is gone")
        if not self._id_issuer.verify(home_call.scope, issued):
            return Reply.not_run(Reason.BAD_REQUEST, detail="no such request id")
        if self._claims.get(key) is not None:
            return self._repeat(key, mark)
        if self._id_issuer.issued_at(issued) <= self._claims.forgotten_until:
            return history_lost(home_call.first_attempt, "this id has expired")
        return None

    def _is_home_zone(self, own_id: OwnId, key: ClaimKey) -> bool:
        return self._zones.home(own_id, key) == self._settings.node.zone

    def _coverage(self, own_id: OwnId, key: ClaimKey) -> HistoryCoverage:
        since = self._ranges.owned_since(key)
        now, wall_now = self._timers.now, self._timers.wall_now
        return HistoryCoverage(
            now=now,
            wall_now=wall_now,
            accounts_since=max(
                since, self._zones.moved_at(own_id, key), self._retention_floor
            ),
            retention=self.retention(),
            clock_skew=self._settings.dedup.clock_skew_seconds,
            first_start=self._first_start(wall_now),
            forgotten_until=self._claims.forgotten_until,
        )

    def _first_start(self, wall_now: float) -> bool:
        """Whether the bundle's word that nothing ran before it still counts.

        It loses force after one retention time, so that a bundle that stays does
        not vouch for homes that take over later.
        """
        head = self._bundle.value.contents.bundle
        age = wall_now - head.issued.timestamp()
        return head.first_start and 0 <= age < head.repeat_window_seconds

    def _repeat(self, key: ClaimKey, mark: bytes) -> Reply:
        claim = self._claims.get(key)
        if claim.fingerprint != mark:
            detail = "this id was used for another request"
            return Reply.unknown(Reason.REQUEST_CONFLICT, detail)
        if claim.state is ClaimState.RUNNING:
            return Reply(
                Outcome.IN_PROGRESS,
                Reason.REQUEST_RUNNING,
                retry_after=RUNNING_HINT_SECONDS,
            )
        if claim.state is ClaimState.UNKNOWN:
            return Reply.unknown(Reason.ANSWER_LOST, "the request may have run")
        kept = self._claims.answer(key)
        if kept is None:
            detail = "the request ran; its answer is no longer kept"
            return Reply.unknown(Reason.ANSWER_LOST, detail)
        return kept

    def _copy_of(
        self, parsed: IssuedId | OwnId, key: ClaimKey, mark: bytes
    ) -> ClaimCopy | None:
        """Copy to be kept elsewhere; None where nobody can take over the id.

        It names the incarnation that made the claim: after a pause this node is a
        newer one, and the claim of the older is refused everywhere.
        """
        if isinstance(parsed, IssuedId):
            return None
        return ClaimCopy(key, mark, self._ownership.owner(resource_of(key)))

    async def _refuse(self, home_call: HomeCall, copy: ClaimCopy | None) -> Reply:
        """Refuse an unclaimed id.

        A home that acts on old beliefs can't know that an id has not run, so
        another node has to confirm that this one is the home.
        """
        refusal = Reply.not_run(Reason.OVERLOADED, UNREACHABLE_HINT_SECONDS)
        if copy is None:
            return refusal
        probe = replace(copy, probe=True)
        return await self._held.send(probe, home_call.first_attempt) or refusal

    async def _release(
        self, home_call: HomeCall, key: ClaimKey, copy: ClaimCopy | None
    ) -> Reply:
        reply = Reply.unknown(Reason.ANSWER_LOST)
        released = False
        try:
            if copy is not None:
                refusal = await self._held.send(copy, home_call.first_attempt)
                if refusal is not None:
                    return refusal
            released = True
            call = self._stamped(home_call.call, key, copy)
            reply = await self._releaser.dispatch(call)
        finally:
            self._settle(key, reply, released)
        return self._still_true(reply, copy)

    def _discard_tail(self, task: asyncio.Task) -> None:
        """Close an answer that nobody reads any more."""
        if task.cancelled() or task.exception() or task.result().tail is None:
            return
        closing = asyncio.get_running_loop().create_task(_close(task.result().tail))
        self._tasks.add(closing)
        closing.add_done_callback(self._tasks.discard)

    def _settle(self, key: ClaimKey, reply: Reply, released: bool) -> None:
        if not released or reply.outcome is Outcome.NOT_RUN:
            self._claims.withdraw(key)
        elif reply.outcome is not Outcome.ANSWER:
            self._claims.settle(key, ClaimState.UNKNOWN)
        elif reply.tail is None:
            kept = replace(reply, load=None)
            self._claims.settle(key, ClaimState.ANSWERED, kept, _size(reply))
        else:
            self._claims.settle(key, ClaimState.ANSWERED)

    def _still_true(self, reply: Reply, copy: ClaimCopy | None) -> Reply:
        """A home that lost the range no longer knows the whole history."""
        if reply.outcome is not Outcome.NOT_RUN or copy is None:
            return reply
        if self._ownership.owner(resource_of(copy.key)) == copy.home:
            return reply
        return replace(reply, outcome=Outcome.UNKNOWN)

    def _stamped(self, call: Call, key: ClaimKey, copy: ClaimCopy | None) -> Call:
        stamp = NO_HOME
        if copy is not None:
            zone = ZoneName(self._settings.node.zone)
            stamp = HomeIdentity(copy.home.host, copy.home.incarnation, zone)
        return replace(call, context=replace(call.context, claim=key, home=stamp))


async def _close(tail: AsyncIterator[bytes]) -> None:
    """Close a tail; one that was never begun has to be begun for that."""
    with suppress(Exception):
        async for _ in tail:
            break
        await tail.aclose()


def _fingerprint(call: Call) -> bytes:
    request = call.request
    return fingerprint(request.method, request.target, request.body)


def _size(reply: Reply) -> int:
    return len(reply.body) + sum(len(n) + len(v) for n, v in reply.headers)
