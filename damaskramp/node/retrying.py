"""The allowance of retries that a call sets out with."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from damaskramp.bundle import BundleHead
from damaskramp.config import RetrySettings
from damaskramp.core import Outcome, Reason, TeamId, TimerService
from damaskramp.node.calls import Call, Reply
from damaskramp.node.contexts import RunningContext
from damaskramp.retries import (
    HintSpreader,
    RecentFailures,
    RetryBudgets,
    call_digest,
)

__all__ = ["RetryAllowances"]

Dispatch = Callable[[Call], Awaitable[Reply]]

EXHAUSTED_RETRY_AFTER_SECONDS = 1.0
TOO_MANY_REQUESTS = 429
OPEN_TEAM = TeamId("")
"""Stands for callers without a key on open routes."""


class RetryAllowances:
    """Hands calls their retries and takes back what they did not spend.

    Parameters
    ----------
    settings : RetrySettings
        Bounds.
    timers : TimerService
        Time.
    hints : HintSpreader
        Spread of hints to callers.
    event : callable
        Told the name of each event, for counters.
    """

    def __init__(
        self,
        settings: RetrySettings,
        timers: TimerService,
        hints: HintSpreader,
        event: Callable[[str], None],
    ) -> None:
        self._budgets = RetryBudgets(settings)
        self._failures = RecentFailures(timers)
        self._hints = hints
        self._event = event

    async def run_outside(
        self, call: Call, head: BundleHead, id_stated: bool, dispatch: Dispatch
    ) -> Reply:
        """Run a call from outside.

        Parameters
        ----------
        id_stated : bool
            Whether the caller chose the request id, so that it may have run before.
        """
        context = call.context
        repeat = id_stated and self._failures.contains(context.team, context.request_id)
        if repeat and not self._budgets.spend(context.team):
            return self._exhausted()
        granted = 0
        if not repeat:
            granted = self._budgets.grant(context.team, head.retry_ratio, head.retries)
        reply = await dispatch(_lend(call, granted))
        self._budgets.refund(context.team, min(granted, reply.retries_left))
        if context.idempotent:
            self._remember(call, reply)
        return _told(reply, id_stated)

    async def run_nested(
        self,
        call: Call,
        parent: RunningContext,
        id_stated: bool,
        dispatch: Dispatch,
    ) -> Reply:
        """Run a call that the backend server makes for a running one."""
        request = call.request
        digest = call_digest(request.method, request.target, request.body)
        lent = parent.begin_call(digest)
        if lent is None:
            return self._exhausted()
        unspent = 0
        failed = True
        try:
            reply = await dispatch(_lend(call, lent))
            unspent = reply.retries_left
            failed = _failed(reply)
        finally:
            parent.end_call(digest, failed, min(lent, unspent))
        return _told(reply, id_stated)

    def set_teams(self, teams: frozenset[TeamId]) -> None:
        """Drop the buckets of teams that the bundle no longer has."""
        self._budgets.retain(teams | {OPEN_TEAM})

    def with_spread_hint(self, reply: Reply) -> Reply:
        """Reply whose hint differs from that of others refused with it."""
        return replace(reply, retry_after=self._hints.spread(reply.retry_after))

    def _remember(self, call: Call, reply: Reply) -> None:
        """Remember an id whose attempt may have run and failed.

        A repeat of an attempt that did not run is no further attempt at the
        services below; the home of a non-idempotent id never releases it twice.
        """
        context = call.context
        if reply.outcome is Outcome.NOT_RUN:
            return
        if _failed(reply):
            self._failures.add(context.team, context.request_id)
        else:
            self._failures.discard(context.team, context.request_id)

    def _exhausted(self) -> Reply:
        """Refuse a repeat; what it repeats may have run."""
        self._event("repeat_refused")
        return Reply(
            Outcome.UNKNOWN,
            Reason.RETRIES_EXHAUSTED,
            retry_after=EXHAUSTED_RETRY_AFTER_SECONDS,
        )


def _lend(call: Call, retries: int) -> Call:
    return replace(call, context=replace(call.context, retries_left=retries))


def _told(reply: Reply, id_stated: bool) -> Reply:
    """Reply for the request id: one that the caller stated may have run before.

    A quarantined request has run somewhere; only a new id is known not to be its.
    """
    if id_stated and reply.reason is Reason.QUARANTINED:
        return replace(reply, outcome=Outcome.UNKNOWN)
    return reply


def _failed(reply: Reply) -> bool:
    if reply.outcome is not Outcome.ANSWER:
        return True
    return reply.status >= 500 or reply.status == TOO_MANY_REQUESTS
