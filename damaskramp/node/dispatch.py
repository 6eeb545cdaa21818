"""Choice of a host for a call, with retries within the retry budget."""

from collections.abc import Callable
from dataclasses import replace

from damaskramp.balancing import Attempt, AttemptResult, LoadBalancer
from damaskramp.config import RetrySettings
from damaskramp.core import HostId, Outcome, Reason, Section, TimerService
from damaskramp.membership import Member, MemberTable
from damaskramp.node.calls import Call, Reply
from damaskramp.node.execution import Executor
from damaskramp.node.home_messages import Releaser
from damaskramp.node.peers import PeerClient
from damaskramp.node.suspicion import CallSuspicion
from damaskramp.quarantine import Quarantine
from damaskramp.retries import Backoff, Retryability, RetryLoop, Step

__all__ = ["Dispatcher"]

REDIRECTABLE_REASONS = frozenset(
    {Reason.STOPPING, Reason.NO_BACKEND_SERVER, Reason.CONNECT_FAILED}
)
"""Reasons of refusals which prove that no backend server received the call."""

FINAL_REASONS = frozenset(
    {Reason.KEY_WITHDRAWN, Reason.DEADLINE_EXCEEDED, Reason.QUARANTINED}
)

SHED_STATUS = 503


class Dispatcher(Releaser):
    """Sends calls to the nodes beside the backend servers of their service.

    Parameters
    ----------
    own : HostId
        This host; a call to it needs no message to another node.
    timers : TimerService
        Clock and timers.
    settings : RetrySettings
        Limits of the retries.
    backoff : Backoff
        Delays between attempts.
    members : Section of MemberTable
        Known members of the fleet.
    balancer : LoadBalancer
        Load balancer over the members of a service.
    executor : Executor
        Executor of calls on this host.
    peers : PeerClient
        Client for calls on other hosts.
    quarantine : Quarantine
        Quarantine status of requests.
    event : callable
        Called with the name of each retry and redirect, for counters.
    """

    def __init__(
        self,
        own: HostId,
        timers: TimerService,
        settings: RetrySettings,
        backoff: Backoff,
        members: Section[MemberTable],
        balancer: LoadBalancer,
        executor: Executor,
        peers: PeerClient,
        quarantine: Quarantine,
        event: Callable[[str], None],
    ) -> None:
        self._own = own
        self._timers = timers
        self._members = members
        self._balancer = balancer
        self._executor = executor
        self._peers = peers
        self._quarantine = quarantine
        self._settings = settings
        self._backoff = backoff
        self._event = event

    async def dispatch(self, call: Call) -> Reply:
        """Run a call on one of the hosts, trying each host at most once."""
        retries = call.context.retries_left
        loop = RetryLoop(self._settings, self._backoff, retries)
        reply = Reply.not_run(Reason.NO_BACKEND_SERVER, 1.0)
        suspicion = CallSuspicion(self._quarantine, call)
        tried: set[HostId] = set()
        may_have_run = False
        while True:
            if suspicion.quarantined:
                reply = Reply.not_run(Reason.QUARANTINED)
                break
            members = self._members.value.serving(call.context.service)
            avoid = suspicion.avoid(members, tried)
            choose = self._balancer.choose
            member = choose(members, avoid) or choose(members, tried)
            if member is None:
                break
            context = replace(
                call.context,
                retries_left=loop.left,
                attempt=len(tried),
                deaths=suspicion.deaths,
            )
            tried.add(member.host)
            reply = await self._attempt(member, replace(call, context=context))
            suspicion.learn(member.host, reply)
            may_have_run |= reply.outcome is Outcome.UNKNOWN
            remaining = call.context.deadline - self._timers.now
            retryability = _retryability(call, reply)
            decision = loop.after(
                retryability, _returned_retries(reply, loop.left), remaining
            )
            if decision.step is Step.STOP:
                break
            self._event(decision.step.value)
            await self._timers.sleep(decision.wait)
        return _hop_reply(reply, may_have_run).with_retries(loop.left)

    async def _attempt(self, member: Member, call: Call) -> Reply:
        started = self._timers.now
        self._balancer.started(member.host)
        result = AttemptResult.CANCELLED
        reply = None
        try:
            if member.host == self._own:
                reply = await self._executor.execute(call)
            else:
                reply = await self._peers.execute(member, call)
            result = _attempt_result(reply)
            return reply
        finally:
            seconds = self._timers.now - started
            load = reply.load if reply else None
            self._balancer.finished(Attempt(member.host, result, seconds, load))


def _retryability(call: Call, reply: Reply) -> Retryability:
    if reply.outcome is Outcome.ANSWER or reply.reason in FINAL_REASONS:
        return Retryability.FINAL
    if reply.outcome is Outcome.NOT_RUN:
        redirectable = reply.reason in REDIRECTABLE_REASONS
        return Retryability.REDIRECTABLE if redirectable else Retryability.RETRIABLE
    if reply.outcome is Outcome.UNKNOWN and call.context.idempotent:
        return Retryability.RETRIABLE
    return Retryability.FINAL


def _hop_reply(reply: Reply, may_have_run: bool) -> Reply:
    """Return the reply for the hop, never "not run" if any attempt may have run."""
    if may_have_run and reply.outcome is Outcome.NOT_RUN:
        return replace(reply, outcome=Outcome.UNKNOWN)
    return reply


def _returned_retries(reply: Reply, granted: int) -> int:
    """Return the retries that an attempt did not spend.

    An attempt whose outcome is unknown may have spent all that it was granted.
    """
    if reply.reason in (Reason.CONNECT_FAILED, Reason.ANSWER_LOST):
        return granted if reply.outcome is Outcome.NOT_RUN else reply.retries_left
    return reply.retries_left


def _attempt_result(reply: Reply) -> AttemptResult:
    if reply.outcome is Outcome.ANSWER:
        return _answer_result(reply.status)
    if reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.CONNECT_FAILED:
        return AttemptResult.SHED
    return AttemptResult.FAILED


def _answer_result(status: int) -> AttemptResult:
    if status == SHED_STATUS:
        return AttemptResult.SHED
    return AttemptResult.FAILED if status >= 500 else AttemptResult.ANSWERED
