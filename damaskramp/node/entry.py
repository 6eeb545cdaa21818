"""Entry point of requests from callers and from the backend server of this host."""

from dataclasses import dataclass
from functools import partial

from expression import Error, Ok, Result

from damaskramp.admission import EarlyRefusal, rank_of
from damaskramp.bundle import BundleView, Route
from damaskramp.config import NodeSettings
from damaskramp.core import (
    HostId,
    Outcome,
    Reason,
    Section,
    ServiceName,
    TimerService,
    ZoneName,
)
from damaskramp.dedup import RequestIdIssuer
from damaskramp.http import HttpRequest, HttpResponse, split_target
from damaskramp.node.callers import Caller, identify
from damaskramp.node.calls import Call, CallContext, Reply
from damaskramp.node.contexts import ContextTable
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.fields import (
    TIMEOUT_MS,
    end_to_end,
    strip_private,
)
from damaskramp.node.home_messages import HomeCall
from damaskramp.node.home_router import HomeRouter
from damaskramp.node.identities import (
    ISSUE_TARGET,
    Identity,
    IssueEndpoint,
    identify_request,
    soften,
    with_next_id,
)
from damaskramp.node.levels import traffic_class_of
from damaskramp.node.objectives import ObjectiveMonitor
from damaskramp.node.responses import to_http
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.telemetry import Telemetry
from damaskramp.quota import RateLimiter

__all__ = ["Entry"]


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A request whose route and caller are known."""

    request: HttpRequest
    view: BundleView
    route: Route
    caller: Caller
    started: float


class Entry:
    """Turns requests into calls and replies into responses.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Clock and timers.
    bundle : Section of BundleView or None
        Bundle in force.
    contexts : ContextTable
        Context tokens of running calls.
    limiter : RateLimiter
        Rate limiter of the teams.
    dispatcher : Dispatcher
        Dispatcher of calls to backend servers.
    early : EarlyRefusal
        Early refusal by the levels at which the backend servers shed.
    allowances : RetryAllowances
        Retries that are granted to calls when they enter.
    telemetry : Telemetry
        Counters.
    homes : HomeRouter
        Router of calls to the homes of their request ids.
    id_issuer : RequestIdIssuer
        Issuer of request ids homed at this node.
    objectives : ObjectiveMonitor
        Monitor of the service-level indicators.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        bundle: Section[BundleView | None],
        contexts: ContextTable,
        limiter: RateLimiter,
        dispatcher: Dispatcher,
        early: EarlyRefusal,
        allowances: RetryAllowances,
        telemetry: Telemetry,
        homes: HomeRouter,
        id_issuer: RequestIdIssuer,
        objectives: ObjectiveMonitor,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._bundle = bundle
        self._contexts = contexts
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._early = early
        self._allowances = allowances
        self._telemetry = telemetry
        self._homes = homes
        self._id_issuer = id_issuer
        self._issue = IssueEndpoint(id_issuer, settings.node.zone)
        self._objectives = objectives

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        started = self._timers.now
        if request.target == ISSUE_TARGET:
            return self._issue.handle(request, self._bundle.value)
        prepared = self._find_route_and_caller(request, started).bind(self._prepare)
        if prepared.is_error():
            refusal = soften(request, prepared.error)
            self._telemetry.refused(refusal)
            return to_http(refusal)
        arrival, identity, call = prepared.ok
        reply = await self._run(arrival, identity, call)
        reply = self._allowances.with_spread_hint(reply)
        seconds = self._timers.now - started
        self._telemetry.answered(call.context, reply, seconds)
        self._objectives.observe(call.context, reply, seconds)
        response = to_http(reply, call.context.request_id)
        if arrival.caller.parent is not None or not call.context.team:
            return response
        next_id = self._id_issuer.issue(identity.scope)
        return with_next_id(response, next_id, self._settings.node.zone)

    def _find_route_and_caller(
        self, request: HttpRequest, started: float
    ) -> Result[_Arrival, Reply]:
        view = self._bundle.value
        if view is None:
            return Error(Reply.not_run(Reason.NO_BUNDLE, 1.0))
        path, _ = split_target(request.target)
        route = view.match(request.method, path)
        if route is None:
            return Error(Reply.not_run(Reason.NO_ROUTE))
        caller = identify(request, route, view, self._contexts)
        return caller.map(
            lambda known_caller: _Arrival(request, view, route, known_caller, started)
        )

    def _prepare(
        self, arrival: _Arrival
    ) -> Result[tuple[_Arrival, Identity, Call], Reply]:
        parent = arrival.caller.parent
        depth = parent.context.depth + 1 if parent else 0
        if depth >= self._settings.limits.depth:
            return Error(Reply.not_run(Reason.TOO_DEEP))
        deadline = self._deadline(arrival)
        if deadline.is_error():
            return deadline
        identity = identify_request(arrival.request, arrival.caller, self._id_issuer)
        if identity.is_error():
            return identity
        route = arrival.route
        context = CallContext(
            request_id=identity.ok.request_id,
            team=arrival.caller.team,
            key_digest=arrival.caller.key_digest,
            service=ServiceName(route.service),
            route=route.prefix,
            priority=self._priority(arrival),
            idempotent=route.idempotent,
            deadline=deadline.ok,
            retries_left=0,
            depth=depth,
            bundle_version=arrival.view.version,
            entry_host=HostId(self._settings.node.host),
            entry_zone=ZoneName(self._settings.node.zone),
        )
        call = Call(context, _forwarded(arrival.request))
        return Ok((arrival, identity.ok, call))

    def _priority(self, arrival: _Arrival) -> int:
        """Return the rank of the class; a nested call inherits that of its parent."""
        parent = arrival.caller.parent
        if parent is not None:
            return parent.context.priority
        return arrival.view.rank(arrival.route.priority)

    def _deadline(self, arrival: _Arrival) -> Result[float, Reply]:
        deadline = arrival.started + arrival.route.timeout_seconds
        stated = arrival.request.value(TIMEOUT_MS)
        if stated is not None:
            if not stated.isdigit() or len(stated) > 9:
                detail = "damaskramp-timeout-ms must be a whole number of milliseconds"
                return Error(Reply.not_run(Reason.BAD_REQUEST, detail=detail))
            deadline = min(deadline, arrival.started + int(stated) / 1000)
        if arrival.caller.parent is not None:
            deadline = min(deadline, arrival.caller.parent.context.deadline)
        return Ok(deadline)

    async def _run(self, arrival: _Arrival, identity: Identity, call: Call) -> Reply:
        parent = arrival.caller.parent
        if parent is not None:
            return await self._run_nested(arrival, identity, call)
        early_refusal = self._refuse_early(call.context)
        if early_refusal is not None:
            return await self._true_refusal(arrival, identity, call, early_refusal)
        if call.context.team:
            acquired = await self._limiter.acquire(
                call.context.team, call.context.deadline
            )
            if acquired.is_error():
                refusal = Reply.refused(acquired.error)
                return await self._true_refusal(arrival, identity, call, refusal)
        bundle_head = arrival.view.contents.bundle
        dispatch = partial(self._dispatch, arrival, identity)
        return await self._allowances.run_outside(
            call, bundle_head, identity.stated, dispatch
        )

    async def _run_nested(
        self, arrival: _Arrival, identity: Identity, call: Call
    ) -> Reply:
        """Run a call that the backend server of this host makes."""
        parent = arrival.caller.parent
        dispatch = partial(self._dispatch_unless_refused, arrival, identity)
        reply = None
        parent.begin_nested()
        try:
            reply = await self._allowances.run_nested(
                call, parent, identity.stated, dispatch
            )
            return reply
        finally:
            answered = reply is not None and reply.outcome is Outcome.ANSWER
            parent.end_nested(
                answered, self._early.level(traffic_class_of(call.context))
            )

    async def _dispatch_unless_refused(
        self, arrival: _Arrival, identity: Identity, call: Call
    ) -> Reply:
        early_refusal = self._refuse_early(call.context)
        if early_refusal is None:
            return await self._dispatch(arrival, identity, call)
        reply = await self._true_refusal(arrival, identity, call, early_refusal)
        return reply.with_retries(call.context.retries_left)

    async def _dispatch(
        self, arrival: _Arrival, identity: Identity, call: Call
    ) -> Reply:
        if not call.context.idempotent:
            home_call = HomeCall(call, identity.scope, identity.first_attempt)
            return await self._homes.run(home_call)
        reply = await self._dispatcher.dispatch(call)
        return soften(arrival.request, reply)

    async def _true_refusal(
        self, arrival: _Arrival, identity: Identity, call: Call, refusal: Reply
    ) -> Reply:
        """Return the refusal, or a reply that accounts for earlier attempts.

        A request with a stated id may have run in an earlier attempt, so a refusal
        of this attempt alone does not prove that it has not run. The home of a
        non-idempotent id is asked for what it knows of the id.
        """
        if not identity.stated or identity.first_attempt:
            return refusal
        if call.context.idempotent:
            return soften(arrival.request, refusal)
        lookup = HomeCall(call, identity.scope, look_only=True)
        known = await self._homes.run(lookup)
        if known.outcome is Outcome.NOT_RUN:
            return refusal
        if known.reason is Reason.HOME_UNREACHABLE:
            return soften(arrival.request, refusal)
        return known

    def _refuse_early(self, context: CallContext) -> Reply | None:
        """Return a refusal if the service's hosts would shed the call, else None."""
        rank = rank_of(context.priority, context.team, context.request_id)
        checked = self._early.check(traffic_class_of(context), rank)
        return Reply.refused(checked.error) if checked.is_error() else None


def _forwarded(request: HttpRequest) -> HttpRequest:
    headers = strip_private(end_to_end(request.headers))
    return HttpRequest(request.method, request.target, headers, request.body)
