"""Home of request ids, which claims ids before release and answers repeats."""

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

RUNNING_RETRY_AFTER_SECONDS = 0.2
DEFAULT_RETENTION_SECONDS = 600.0


class Home:
    """Claims ids homed at this node and releases each at most once.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Clock and timers.
    bundle : Section of BundleView or None
        Bundle in force.
    ownership : Ownership
        Owners of resources within the zone.
    id_issuer : RequestIdIssuer
        Issuer of request ids homed at this node.
    releaser : Releaser
        Sender of claimed calls to backend servers.
    messages : HomeMessages
        Messages to the nodes that keep copies of claims.
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
        self._bundle_retention = 0.0
        self._retention_floor = float("-inf")
        self._tasks: set[asyncio.Task] = set()

    @property
    def zones(self) -> HomeZones:
        """Home zones of callers' own ids."""
        return self._zones

    @property
    def ranges(self) -> RangeHistory:
        """Times since which this node accounts for each range of claim keys."""
        return self._ranges

    @property
    def claims(self) -> ClaimTable[Reply]:
        """Claims made at this node."""
        return self._claims

    @property
    def copies(self) -> ClaimTable[Owner]:
        """Copies of claims that other homes made."""
        return self._copies

    def retention(self) -> float:
        """Return the seconds for which outcomes are kept for repeats."""
        view = self._bundle.value
        if view is None:
            return DEFAULT_RETENTION_SECONDS
        return view.contents.bundle.repeat_window_seconds

    def set_bundle(self, view: BundleView) -> None:
        """Apply the zones and the retention of a new bundle."""
        head = view.contents.bundle
        self._zones.set_zones(head.zones)
        if (
            self._bundle_retention
            and head.repeat_window_seconds > self._bundle_retention
        ):
            # Claims that expired under the shorter retention can't be accounted for.
            self._retention_floor = self._timers.now - self._bundle_retention
        self._bundle_retention = head.repeat_window_seconds

    async def run(self, home_call: HomeCall) -> Reply:
        """Answer a call from the record of its id, or claim the id and release it."""
        context = home_call.call.context
        parsed = parse_request_id(context.request_id)
        if parsed.is_error():
            return Reply.not_run(Reason.BAD_REQUEST, detail=parsed.error)
        key = claim_key(home_call.scope, context.request_id)
        request_fingerprint = _fingerprint(home_call.call)
        known = self._known(home_call, parsed.ok, key, request_fingerprint)
        if known is not None:
            return known.with_retries(context.retries_left)
        copy = self._build_copy(parsed.ok, key, request_fingerprint)
        if home_call.look_only or self._claims.full:
            return await self._refuse(home_call, copy)
        self._claims.claim(key, request_fingerprint)
        task = asyncio.get_running_loop().create_task(
            self._release(home_call, key, copy)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            # The request continues when its caller disconnects, so that a repeat
            # finds its answer.
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._close_unread_tail)
            raise

    def keep_copy(self, copy: ClaimCopy) -> CopyResult:
        """Keep a copy of another home's claim."""
        return self._held.keep(copy)

    async def drain(self, seconds: float) -> None:
        """Wait at most `seconds` for released requests whose callers disconnected."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)

    def close(self) -> None:
        """Stop the timers."""
        self._claims.close()
        self._copies.close()
        self._ranges.close()

    def _known(
        self,
        home_call: HomeCall,
        parsed: IssuedId | OwnId,
        key: ClaimKey,
        request_fingerprint: bytes,
    ) -> Reply | None:
        """Return the reply that needs no release; None if the call may be released."""
        if isinstance(parsed, IssuedId):
            return self._known_reply_for_issued_id(
                home_call, parsed, key, request_fingerprint
            )
        if self._ranges.owned_since(key) is None or not self._is_home_zone(parsed, key):
            return unreachable(home_call.first_attempt)
        claim = self._claims.get(key)
        if claim is not None:
            return self._reply_to_repeat(key, request_fingerprint)
        copy = self._copies.get(key)
        if copy is not None:
            reason = Reason.HISTORY_LOST
            if copy.fingerprint != request_fingerprint:
                reason = Reason.REQUEST_CONFLICT
            return Reply.unknown(reason, "claimed by a home that is gone")
        coverage = self._coverage(parsed, key)
        if may_release_own_id(parsed.text, home_call.first_attempt, coverage):
            return None
        return Reply.unknown(Reason.HISTORY_LOST, "the home can't account for this id")

    def _known_reply_for_issued_id(
        self,
        home_call: HomeCall,
        issued: IssuedId,
        key: ClaimKey,
        request_fingerprint: bytes,
    ) -> Reply | None:
        if not self._id_issuer.is_home_of(issued):
            return history_lost(home_call.first_attempt, "the home is gone")
        if not self._id_issuer.verify(home_call.scope, issued):
            return Reply.not_run(Reason.BAD_REQUEST, detail="no such request id")
        if self._claims.get(key) is not None:
            return self._reply_to_repeat(key, request_fingerprint)
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
            first_start=self._is_first_start(wall_now),
            forgotten_until=self._claims.forgotten_until,
        )

    def _is_first_start(self, wall_now: float) -> bool:
        """Return whether the bundle's `first_start` is set and still valid.

        `first_start` states that no request ran before the bundle. The statement
        expires one retention time after the bundle was issued, so that a bundle that
        stays in force does not cover homes that take over later.
        """
        head = self._bundle.value.contents.bundle
        age = wall_now - head.issued.timestamp()
        return head.first_start and 0 <= age < head.repeat_window_seconds

    def _reply_to_repeat(self, key: ClaimKey, request_fingerprint: bytes) -> Reply:
        claim = self._claims.get(key)
        if claim.fingerprint != request_fingerprint:
            detail = "this id was used for another request"
            return Reply.unknown(Reason.REQUEST_CONFLICT, detail)
        if claim.state is ClaimState.RUNNING:
            return Reply(
                Outcome.IN_PROGRESS,
                Reason.REQUEST_RUNNING,
                retry_after=RUNNING_RETRY_AFTER_SECONDS,
            )
        if claim.state is ClaimState.UNKNOWN:
            return Reply.unknown(Reason.ANSWER_LOST, "the request may have run")
        stored_reply = self._claims.answer(key)
        if stored_reply is None:
            detail = "the request ran; its answer is no longer kept"
            return Reply.unknown(Reason.ANSWER_LOST, detail)
        return stored_reply

    def _build_copy(
        self, parsed: IssuedId | OwnId, key: ClaimKey, request_fingerprint: bytes
    ) -> ClaimCopy | None:
        """Build the copy for another node; None if no node can take over the id.

        The copy names the incarnation that made the claim. After a pause this node
        has a newer incarnation, and every node refuses the claim of the older one.
        """
        if isinstance(parsed, IssuedId):
            return None
        return ClaimCopy(
            key, request_fingerprint, self._ownership.owner(resource_of(key))
        )

    async def _refuse(self, home_call: HomeCall, copy: ClaimCopy | None) -> Reply:
        """Refuse an unclaimed id.

        A home with an outdated view of ownership can't know that an id has not run,
        so another node has to confirm that this node is the home.
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
            call = self._with_home(home_call.call, key, copy)
            reply = await self._releaser.dispatch(call)
        finally:
            self._settle(key, reply, released)
        return self._verify_refusal(reply, copy)

    def _close_unread_tail(self, task: asyncio.Task) -> None:
        """Close the tail of an answer that no caller reads any more."""
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
            stored_reply = replace(reply, load=None)
            self._claims.settle(
                key, ClaimState.ANSWERED, stored_reply, _answer_size(reply)
            )
        else:
            self._claims.settle(key, ClaimState.ANSWERED)

    def _verify_refusal(self, reply: Reply, copy: ClaimCopy | None) -> Reply:
        """Return the reply, with an unknown outcome if the home lost the range.

        A home that lost the range no longer knows the whole history of the id, so it
        can't report that the call has not run.
        """
        if reply.outcome is not Outcome.NOT_RUN or copy is None:
            return reply
        if self._ownership.owner(resource_of(copy.key)) == copy.home:
            return reply
        return replace(reply, outcome=Outcome.UNKNOWN)

    def _with_home(self, call: Call, key: ClaimKey, copy: ClaimCopy | None) -> Call:
        home_identity = NO_HOME
        if copy is not None:
            zone = ZoneName(self._settings.node.zone)
            home_identity = HomeIdentity(copy.home.host, copy.home.incarnation, zone)
        return replace(
            call, context=replace(call.context, claim=key, home=home_identity)
        )


async def _close(tail: AsyncIterator[bytes]) -> None:
    """Close the tail of an answer.

    Closing an async generator that has not started runs none of its code, so the first
    part of the tail is read before the tail is closed.
    """
    with suppress(Exception):
        async for _ in tail:
            break
        await tail.aclose()


def _fingerprint(call: Call) -> bytes:
    request = call.request
    return fingerprint(request.method, request.target, request.body)


def _answer_size(reply: Reply) -> int:
    return len(reply.body) + sum(len(n) + len(v) for n, v in reply.headers)
