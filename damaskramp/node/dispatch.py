"""Choosing a host for a call, and trying again within the retry budget."""

from dataclasses import replace

from damaskramp.balancing import Attempt, AttemptResult, LoadBalancer
from damaskramp.core import HostId, Outcome, Reason, Section, TimerService
from damaskramp.membership import Member, MemberTable
from damaskramp.node.calls import Call, Reply
from damaskramp.node.execution import Executor
from damaskramp.node.home_messages import Releaser
from damaskramp.node.peers import PeerClient

__all__ = ["Dispatcher"]

FREE_REASONS = frozenset({Reason.STOPPING, Reason.NO_BACKEND_SERVER})
"""Refusals that send the call on to another host at no cost to the budget."""

FINAL_REASONS = frozenset({Reason.KEY_WITHDRAWN, Reason.DEADLINE_EXCEEDED})


class Dispatcher(Releaser):
    """Sends calls to the nodes beside the backend servers of their service.

    Parameters
    ----------
    own : HostId
        This host; its calls to itself need no message.
    timers : TimerService
        Time.
    members : Section of MemberTable
        Known members.
    balancer : LoadBalancer
        Choice among the members of a service.
    executor : Executor
        Execution on this host.
    peers : PeerClient
        Execution on other hosts.
    """

    def __init__(
        self,
        own: HostId,
        timers: TimerService,
        members: Section[MemberTable],
        balancer: LoadBalancer,
        executor: Executor,
        peers: PeerClient,
    ) -> None:
        self._own = own
        self._timers = timers
        self._members = members
        self._balancer = balancer
        self._executor = executor
        self._peers = peers

    async def dispatch(self, call: Call) -> Reply:
        """Run a call on some host; each host is tried at most once."""
        reply = Reply.not_run(Reason.NO_BACKEND_SERVER, 1.0)
        retries_left = call.context.retries_left
        tried: set[HostId] = set()
        attempt = 0
        may_have_run = False
        while True:
            members = self._members.value.serving(call.context.service)
            member = self._balancer.choose(members, tried)
            if member is None:
                return _true(reply, may_have_run).with_retries(retries_left)
            tried.add(member.host)
            context = replace(call.context, retries_left=retries_left, attempt=attempt)
            reply = await self._attempt(member, replace(call, context=context))
            retries_left = min(retries_left, _unspent(reply, retries_left))
            may_have_run = may_have_run or reply.outcome is Outcome.UNKNOWN
            if not self._may_retry(call, reply):
                return _true(reply, may_have_run).with_retries(retries_left)
            if reply.reason not in FREE_REASONS:
                if retries_left == 0:
                    return _true(reply, may_have_run).with_retries(0)
                retries_left -= 1
            attempt += 1

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
            result = _result(reply)
            return reply
        finally:
            seconds = self._timers.now - started
            load = reply.load if reply else None
            self._balancer.finished(Attempt(member.host, result, seconds, load))

    def _may_retry(self, call: Call, reply: Reply) -> bool:
        if reply.outcome is Outcome.ANSWER or reply.reason in FINAL_REASONS:
            return False
        if self._timers.now >= call.context.deadline:
            return False
        if reply.outcome is Outcome.NOT_RUN:
            return True
        return reply.outcome is Outcome.UNKNOWN and call.context.idempotent


def _true(reply: Reply, may_have_run: bool) -> Reply:
    """A call that did not run at the last host may have run at an earlier one."""
    if may_have_run and reply.outcome is Outcome.NOT_RUN:
        return replace(reply, outcome=Outcome.UNKNOWN)
    return reply


def _unspent(reply: Reply, lent: int) -> int:
    """Retries that came back; an attempt whose end is unknown may have spent all."""
    if reply.reason in (Reason.CONNECT_FAILED, Reason.ANSWER_LOST):
        return lent if reply.outcome is Outcome.NOT_RUN else reply.retries_left
    return reply.retries_left


def _result(reply: Reply) -> AttemptResult:
    if reply.outcome is Outcome.ANSWER:
        return AttemptResult.ANSWERED
    if reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.CONNECT_FAILED:
        return AttemptResult.SHED
    return AttemptResult.FAILED
