"""Home of request ids: claims before release, answers for repeats."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from enum import Enum

from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import (
    HostId,
    Incarnation,
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
    HomeZones,
    IdMint,
    IssuedId,
    OwnId,
    RangeHistory,
    Standing,
    claim_key,
    fingerprint,
    may_release_own_id,
    parse_request_id,
    thing_of,
)
from damaskramp.node.calls import Call, HomeStamp, Reply
from damaskramp.ownership import Owner, Ownership

__all__ = [
    "ClaimCopy",
    "CopyResult",
    "Home",
    "HomeCall",
    "HomeMessages",
    "Releaser",
    "unreachable",
]

RUNNING_HINT_SECONDS = 0.2
UNREACHABLE_HINT_SECONDS = 1.0
COPY_SECONDS = 0.5
COPY_CANDIDATES = 3
DEFAULT_RETENTION_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class HomeCall:
    """A call on its way to the home of its request id.

    Attributes
    ----------
    scope : str
        Ids of different scopes never meet.
    first_attempt : bool
        Whether the caller states that it never sent this id before.
    look_only : bool
        Whether to tell what is known of the id and release nothing.
    """

    call: Call
    scope: str
    first_attempt: bool = False
    look_only: bool = False


class CopyResult(Enum):
    """What became of the copy of a claim.

    ``FENCED`` tells that the sender is not the owner of the range any more,
    ``KNOWN`` that another home claimed the id before.
    """

    LOST = 0
    KEPT = 1
    FENCED = 2
    KNOWN = 3


@dataclass(frozen=True, slots=True)
class ClaimCopy:
    """A claim for a second node to keep.

    Attributes
    ----------
    home : Owner
        Node that made the claim.
    """

    key: ClaimKey
    fingerprint: bytes
    home: Owner


class Releaser(ABC):
    """Runs a claimed call on some backend server."""

    @abstractmethod
    async def dispatch(self, call: Call) -> Reply:
        """Run a call."""


class HomeMessages(ABC):
    """Messages between entry nodes, homes and holders of copies."""

    @abstractmethod
    async def run(self, peer: str, home_call: HomeCall) -> Reply | None:
        """Have a home run a call; None where it was provably not sent."""

    @abstractmethod
    async def copy(self, peer: str, copy: ClaimCopy, timeout: float) -> CopyResult:
        """Have a node keep a copy of a claim."""


def unreachable(first_attempt: bool) -> Reply:
    """Reply where the home of an id can't be asked.

    Only a caller that sends an id for the first time can be told that it has not
    run: nobody here knows what became of earlier attempts.
    """
    outcome = Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
    return Reply(outcome, Reason.HOME_UNREACHABLE, retry_after=UNREACHABLE_HINT_SECONDS)


class Home:
    """Claims ids homed at this node and releases each at most once.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Time.
    incarnation : Incarnation
        This incarnation.
    bundle : Section of BundleView or None
        Bundle in force.
    ownership : Ownership
        Owners inside the zone.
    mint : IdMint
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
        incarnation: Incarnation,
        bundle: Section[BundleView | None],
        ownership: Ownership,
        mint: IdMint,
        releaser: Releaser,
        messages: HomeMessages,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._incarnation = incarnation
        self._bundle = bundle
        self._ownership = ownership
        self._mint = mint
        self._releaser = releaser
        self._messages = messages
        limits = settings.dedup
        self._claims: ClaimTable[Reply] = ClaimTable(
            timers, self.retention, limits.claims, limits.answer_bytes
        )
        self._copies: ClaimTable[Owner] = ClaimTable(
            timers, self.retention, limits.claims, 0
        )
        self._ranges = RangeHistory(timers, ownership)
        self._zones = HomeZones(timers)
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
        if home_call.look_only:
            return Reply.not_run(Reason.NONE)
        if self._claims.full:
            return Reply.not_run(Reason.OVERLOADED, UNREACHABLE_HINT_SECONDS)
        self._claims.claim(key, mark)
        task = asyncio.get_running_loop().create_task(
            self._release(home_call, parsed.ok, key, mark)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # The request goes on when its caller leaves: a repeat finds its answer.
        return await asyncio.shield(task)

    def keep_copy(self, copy: ClaimCopy) -> CopyResult:
        """Keep a copy of another home's claim.

        A home that acts on old beliefs is stopped here: this node has acknowledged
        the newer owner of the range.
        """
        if not self._ownership.may_release(thing_of(copy.key), copy.home):
            return CopyResult.FENCED
        if self._claims.get(copy.key) is not None:
            return CopyResult.KNOWN
        if self._copies.get(copy.key) is not None:
            same = self._copies.answer(copy.key) == copy.home
            return CopyResult.KEPT if same else CopyResult.KNOWN
        if self._copies.full:
            return CopyResult.LOST
        self._copies.claim(copy.key, copy.fingerprint)
        self._copies.settle(copy.key, ClaimState.UNKNOWN, copy.home)
        return CopyResult.KEPT

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
        standing = self._standing(parsed, key)
        if may_release_own_id(parsed.text, home_call.first_attempt, standing):
            return None
        return Reply.unknown(Reason.HISTORY_LOST, "the home can't account for this id")

    def _known_issued(
        self, home_call: HomeCall, issued: IssuedId, key: ClaimKey, mark: bytes
    ) -> Reply | None:
        if not self._mint.names_this(issued):
            return Reply.unknown(Reason.HISTORY_LOST, "the home of this id is gone")
        if not self._mint.verify(home_call.scope, issued):
            return Reply.not_run(Reason.BAD_REQUEST, detail="no such request id")
        if self._claims.get(key) is not None:
            return self._repeat(key, mark)
        if self._mint.issued_at(issued) <= self._claims.forgotten_until:
            return Reply.unknown(Reason.HISTORY_LOST, "this id has expired")
        return None

    def _is_home_zone(self, own_id: OwnId, key: ClaimKey) -> bool:
        return self._zones.home(own_id, key) == self._settings.node.zone

    def _standing(self, own_id: OwnId, key: ClaimKey) -> Standing:
        since = self._ranges.owned_since(key)
        now, wall_now = self._timers.now, self._timers.wall_now
        return Standing(
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

    async def _release(
        self, home_call: HomeCall, parsed: IssuedId | OwnId, key: ClaimKey, mark: bytes
    ) -> Reply:
        state = ClaimState.UNKNOWN
        reply = Reply.unknown(Reason.ANSWER_LOST)
        try:
            refusal = None
            if isinstance(parsed, OwnId):
                refusal = await self._copy(key, mark)
            reply = refusal or await self._releaser.dispatch(
                self._stamped(home_call.call, parsed, key)
            )
            if reply.outcome is Outcome.ANSWER:
                state = ClaimState.ANSWERED
        finally:
            self._settle(key, state, reply)
        return self._still_true(reply, parsed, key)

    def _settle(self, key: ClaimKey, state: ClaimState, reply: Reply) -> None:
        if reply.outcome is Outcome.NOT_RUN:
            self._claims.withdraw(key)
        elif state is ClaimState.ANSWERED and reply.tail is None:
            self._claims.settle(key, state, replace(reply, load=None), _size(reply))
        else:
            self._claims.settle(key, state)

    def _still_true(
        self, reply: Reply, parsed: IssuedId | OwnId, key: ClaimKey
    ) -> Reply:
        """A home that lost the range no longer knows the whole history."""
        if reply.outcome is not Outcome.NOT_RUN or isinstance(parsed, IssuedId):
            return reply
        if self._ranges.owned_since(key) is not None:
            return reply
        return replace(reply, outcome=Outcome.UNKNOWN)

    async def _copy(self, key: ClaimKey, mark: bytes) -> Reply | None:
        """Copy a claim to the next node in rank; the refusal where none took it."""
        others = self._others(thing_of(key))
        own = Owner(HostId(self._settings.node.host), self._incarnation, "")
        copy = ClaimCopy(key, mark, own)
        result = CopyResult.LOST if others else CopyResult.KEPT
        for owner in others:
            result = await self._messages.copy(owner.peer, copy, COPY_SECONDS)
            if result is not CopyResult.LOST:
                break
        if result is CopyResult.FENCED:
            # A newer owner may already have released it.
            return Reply.unknown(Reason.HOME_UNREACHABLE)
        if result is CopyResult.KNOWN:
            return Reply.unknown(Reason.HISTORY_LOST, "claimed by a home that is gone")
        if result is CopyResult.LOST or self._ranges.owned_since(key) is None:
            return Reply.not_run(Reason.HOME_UNREACHABLE, UNREACHABLE_HINT_SECONDS)
        return None

    def _others(self, thing: str) -> list[Owner]:
        own = self._settings.node.host
        ranked = self._ownership.successors(thing, COPY_CANDIDATES)
        return [owner for owner in ranked if owner.host != own]

    def _stamped(self, call: Call, parsed: IssuedId | OwnId, key: ClaimKey) -> Call:
        zone = ZoneName(self._settings.node.zone)
        stamp = HomeStamp(
            HostId(self._settings.node.host),
            self._incarnation,
            zone if isinstance(parsed, OwnId) else ZoneName(""),
        )
        return replace(call, context=replace(call.context, claim=key, home=stamp))


def _fingerprint(call: Call) -> bytes:
    request = call.request
    return fingerprint(request.method, request.target, request.body)


def _size(reply: Reply) -> int:
    return len(reply.body) + sum(len(n) + len(v) for n, v in reply.headers)
