"""Execution of calls on the backend server of this host."""

from dataclasses import replace

from expression import Result

from damaskramp.admission import (
    AdmissionController,
    AdmissionRequest,
    Load,
    Permit,
    Sample,
)
from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import Outcome, Reason, Section, TimerService
from damaskramp.http import HttpClient, HttpRequest, HttpResponse, TransportError
from damaskramp.http import TransportErrorKind as Kind
from damaskramp.node.calls import Call, CallContext, Reply
from damaskramp.node.containment import Containment
from damaskramp.node.contexts import ContextTable
from damaskramp.node.fields import CONTEXT, PRIORITY, REQUEST_ID, TEAM, TIMEOUT_MS
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.releases import ReleaseGuard
from damaskramp.node.telemetry import Telemetry

__all__ = ["Executor"]


class Executor:
    """Admits calls to the backend server beside this node and runs them.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Clock and timers.
    bundle : Section of BundleView or None
        Bundle in force.
    lifecycle : Section of Lifecycle
        State of the node.
    admission : AdmissionController
        Admission controller of the backend server.
    backend : HttpClient
        Client of the backend server.
    contexts : ContextTable
        Context tokens of running calls.
    containment : Containment
        Isolation of suspect requests, which run one at a time.
    telemetry : Telemetry
        Counters.
    releases : ReleaseGuard
        Check and record of the non-idempotent calls that are released here.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        bundle: Section[BundleView | None],
        lifecycle: Section[Lifecycle],
        admission: AdmissionController,
        backend: HttpClient,
        contexts: ContextTable,
        containment: Containment,
        telemetry: Telemetry,
        releases: ReleaseGuard,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._bundle = bundle
        self._lifecycle = lifecycle
        self._admission = admission
        self._backend = backend
        self._contexts = contexts
        self._containment = containment
        self._telemetry = telemetry
        self._releases = releases

    @property
    def running(self) -> int:
        """Number of calls that are running on the backend server."""
        return len(self._contexts)

    async def execute(self, call: Call) -> Reply:
        """Run a call, or return a reply with the reason why it did not run."""
        reply = self._check(call.context)
        if reply is None:
            reply = await self._containment.run(call, self._admit_and_run)
        self._telemetry.executed(call.context, reply)
        return reply.with_load(self._load(call.context, reply))

    def _load(self, context: CallContext, reply: Reply) -> Load:
        """Return the backend server's state with the lowest shed level of the chain."""
        load = self._admission.load_for(context.team)
        level = load.shed_level
        if reply.load is not None:
            level = min(level, reply.load.shed_level)
        leaving = self._lifecycle.value is Lifecycle.LEAVING
        return replace(load, shed_level=level, leaving=leaving)

    def _check(self, context: CallContext) -> Reply | None:
        """Return a refusal that does not depend on the backend server, else None."""
        unspent = context.retries_left
        if self._lifecycle.value is Lifecycle.LEAVING:
            return Reply.not_run(Reason.STOPPING).with_retries(unspent)
        backend = self._settings.backend
        if backend is None or backend.service != context.service:
            return Reply.not_run(Reason.NO_BACKEND_SERVER).with_retries(unspent)
        if self._key_withdrawn(context):
            return Reply.not_run(Reason.KEY_WITHDRAWN).with_retries(unspent)
        return None

    def _key_withdrawn(self, context: CallContext) -> bool:
        view = self._bundle.value
        return view is not None and context.key_digest in view.withdrawn

    async def _admit_and_run(self, call: Call) -> Reply:
        context = call.context
        admission_request = AdmissionRequest(
            context.request_id,
            context.team,
            context.priority,
            context.depth,
            context.deadline,
        )
        admission_result: Result[Permit, object] = await self._admission.admit(
            admission_request
        )
        if admission_result.is_error():
            return Reply.refused(admission_result.error).with_retries(
                context.retries_left
            )
        permit = admission_result.ok
        sample = None
        token, running = self._contexts.issue(context, permit)
        try:
            started = self._timers.now
            reply = await self._release(call, token)
            seconds = self._timers.now - started
            failed = reply.outcome is not Outcome.ANSWER or reply.status == 503
            overloaded = failed and not running.nested_failed
            sample = Sample(seconds, overloaded, running.nested_seconds)
            reply = reply.with_retries(running.retries_left)
            return reply.with_load(Load(shed_level=running.shed_level))
        finally:
            self._contexts.end(token)
            permit.release(sample)

    async def _release(self, call: Call, token: str) -> Reply:
        """Send the call to the backend server, from which point on it may have run."""
        context = call.context
        if self._key_withdrawn(context):
            # The key may have been withdrawn while the call was queued.
            return Reply.not_run(Reason.KEY_WITHDRAWN)
        remaining = context.deadline - self._timers.now
        if remaining <= 0:
            return Reply.not_run(Reason.DEADLINE_EXCEEDED)
        refusal = self._releases.begin(context)
        if refusal is not None:
            return refusal
        ran = True
        try:
            request = _backend_request(call, token, remaining)
            work = self._exchange(context, request, remaining)
            reply = await self._containment.release(call, work)
            ran = reply.outcome is not Outcome.NOT_RUN
        finally:
            self._releases.end(context, ran)
        return reply

    async def _exchange(
        self, context: CallContext, request: HttpRequest, remaining: float
    ) -> Reply:
        return self._build_reply(
            context, await self._backend.request(request, remaining)
        )

    def _build_reply(
        self, context: CallContext, answer: Result[HttpResponse, TransportError]
    ) -> Reply:
        if answer.is_error():
            return _transport_error_reply(answer.error)
        response = answer.ok
        if response.status == 503 and self._shed_means_not_run(context):
            return Reply.not_run(Reason.OVERLOADED, 0.2)
        return Reply(
            Outcome.ANSWER,
            status=response.status,
            headers=response.headers,
            body=response.body,
            tail=response.tail,
        )

    def _shed_means_not_run(self, context: CallContext) -> bool:
        view = self._bundle.value
        service = view.service(context.service) if view else None
        return service is not None and service.shed_means_not_run


def _backend_request(call: Call, token: str, remaining: float) -> HttpRequest:
    context = call.context
    headers = call.request.headers + (
        (CONTEXT, token.encode()),
        (REQUEST_ID, context.request_id.encode()),
        (TIMEOUT_MS, b"%d" % int(remaining * 1000)),
        (PRIORITY, b"%d" % context.priority),
        (TEAM, context.team.encode()),
    )
    return HttpRequest(
        call.request.method, call.request.target, headers, call.request.body
    )


def _transport_error_reply(error: TransportError) -> Reply:
    if not error.bytes_sent:
        return Reply.not_run(Reason.CONNECT_FAILED, 0.2, error.detail)
    if error.kind is Kind.TIMEOUT:
        return Reply.unknown(Reason.DEADLINE_EXCEEDED)
    return Reply.unknown(Reason.ANSWER_LOST, error.detail)
