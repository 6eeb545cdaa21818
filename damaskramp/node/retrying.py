"""Retry allowances that calls are granted before their first attempt."""

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
"""Team of the callers without a key on open routes."""


class RetryAllowances:
    """Grants retries to calls and takes back those that they did not spend.

    Parameters
    ----------
    settings : RetrySettings
        Limits of the retries.
    timers : TimerService
        Clock and timers.
    hints : HintSpreader
        Spreads the retry-after hints to callers.
    event : callable
        Called with the name of each event, for counters.
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
        """Run a call that enters the fleet from outside.

        Parameters
        ----------
        id_stated : bool
            Whether the caller stated the request id, so that the request may have
            run before.
        """
        context = call.context
        repeat = id_stated and self._failures.contains(context.team, context.request_id)
        if repeat and not self._budgets.spend(context.team):
            return self._refuse_repeat()
        granted = 0
        if not repeat:
            granted = self._budgets.grant(context.team, head.retry_ratio, head.retries)
        reply = await dispatch(_with_granted_retries(call, granted))
        self._budgets.refund(context.team, min(granted, reply.retries_left))
        if context.idempotent:
            self._record_outcome(call, reply)
        return _account_for_earlier_attempts(reply, id_stated)

    async def run_nested(
        self,
        call: Call,
        parent: RunningContext,
        id_stated: bool,
        dispatch: Dispatch,
    ) -> Reply:
        """Run a call that the backend server makes on behalf of a running call."""
        request = call.request
        digest = call_digest(request.method, request.target, request.body)
        granted = parent.begin_call(digest)
        if granted is None:
            return self._refuse_repeat()
        unspent = 0
        failed = True
        try:
            reply = await dispatch(_with_granted_retries(call, granted))
            unspent = reply.retries_left
            failed = _is_failure(reply)
        finally:
            parent.end_call(digest, failed, min(granted, unspent))
        return _account_for_earlier_attempts(reply, id_stated)

    def set_teams(self, teams: frozenset[TeamId]) -> None:
        """Drop the buckets of teams that the bundle no longer has."""
        self._budgets.retain(teams | {OPEN_TEAM})

    def with_spread_hint(self, reply: Reply) -> Reply:
        """Return the reply with a hint that differs between calls refused together."""
        return replace(reply, retry_after=self._hints.spread(reply.retry_after))

    def _record_outcome(self, call: Call, reply: Reply) -> None:
        """Record whether the attempt for a request id may have run and failed.

        An attempt that did not run is not recorded, because its repeat is not an
        additional attempt at the downstream services. Non-idempotent ids need no
        record, because their home never releases an id twice.
        """
        context = call.context
        if reply.outcome is Outcome.NOT_RUN:
            return
        if _is_failure(reply):
            self._failures.add(context.team, context.request_id)
        else:
            self._failures.discard(context.team, context.request_id)

    def _refuse_repeat(self) -> Reply:
        """Refuse a repeat as unknown, because the repeated attempt may have run."""
        self._event("repeat_refused")
        return Reply(
            Outcome.UNKNOWN,
            Reason.RETRIES_EXHAUSTED,
            retry_after=EXHAUSTED_RETRY_AFTER_SECONDS,
        )


def _with_granted_retries(call: Call, retries: int) -> Call:
    return replace(call, context=replace(call.context, retries_left=retries))


def _account_for_earlier_attempts(reply: Reply, id_stated: bool) -> Reply:
    """Return the reply, marked unknown where a quarantined stated id may have run.

    A quarantined request has run somewhere. Only a newly issued id is known not to
    be the id of that run; an id that the caller stated may be.
    """
    if id_stated and reply.reason is Reason.QUARANTINED:
        return replace(reply, outcome=Outcome.UNKNOWN)
    return reply


def _is_failure(reply: Reply) -> bool:
    if reply.outcome is not Outcome.ANSWER:
        return True
    return reply.status >= 500 or reply.status == TOO_MANY_REQUESTS
