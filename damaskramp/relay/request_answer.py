"""End of one caller's request: its answer, its refusal, or the caller's departure."""

import asyncio

from damaskramp.core import Outcome, Reason
from damaskramp.dispatch import ordered_retry_after
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.forwarding_state import (
    MIN_STOP_RETRY_SECONDS,
    ForwardingState,
)
from damaskramp.relay.request_record import RequestRecord
from damaskramp.relay.server_attempt import ServerAttempt

__all__ = ["MISSING_CONFIGURATION_RETRY_SECONDS", "RequestAnswer"]

MISSING_CONFIGURATION_RETRY_SECONDS = 0.5
"""Retry-after, in seconds, of a node without a usable configuration. The node asks the
platform and its peers for one several times a second."""


class RequestAnswer(RequestRecord):
    """Request that ends once, whatever its open attempts still bring."""

    __slots__ = (
        "_chain_service",
        "_fallback_answer",
        "_is_cut_short",
        "_loop_timer",
        "_open_attempts",
        "_permit_taken_at",
    )

    def __init__(self, forwarder: ForwardingState, request: CallerRequest) -> None:
        super().__init__(forwarder, request)
        self._chain_service = ""
        self._open_attempts: list[ServerAttempt] = []
        self._fallback_answer: tuple[int, bytes, bytes | BodySource] | None = None
        self._loop_timer: asyncio.TimerHandle | None = None
        self._is_cut_short = False
        self._permit_taken_at: float | None = None

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._deadline - self._forwarder.clock()
        self._loop_timer = loop.call_later(max(0.0, remaining), self._timed_out)

    def _keep_fallback(
        self, status: int, head: bytes, body: bytes | BodySource
    ) -> None:
        """Keep an error answer, for the case that no later attempt has an answer."""
        self._drop_fallback()
        self._fallback_answer = (status, head, body)

    def _drop_fallback(self) -> None:
        answer, self._fallback_answer = self._fallback_answer, None
        if answer is not None:
            discard_body(answer[2])

    def _respond(self, status: int, head: bytes, body: bytes | BodySource) -> None:
        self._cancel_attempts()
        self._end()
        forwarder = self._forwarder
        self._record_call_end(lost=False, denied=False)
        took = forwarder.clock() - self._request.started
        forwarder.counters.observe("answer_seconds", took)
        if status < 400:
            forwarder.route_times.record_answer(self._entry.route.name, took)
        log = forwarder.log
        wanted = log.wants_line() if status >= 500 else log.wants_sample()
        if wanted:
            self._log("request answered", status=status)
        self._request.respond(status, head, body)

    def _record_call_end(self, lost: bool, denied: bool) -> None:
        """Record the end of a call for the pressure on its service."""
        forwarder = self._forwarder
        if forwarder.chain_control and self._service and self._is_call:
            forwarder.executor.chains.record_outcome(
                self._entry.route.name, lost, denied, forwarder.clock()
            )

    def _limit_deadline(self, deadline: float) -> None:
        """End the request by the time at which the node stops.

        Parameters
        ----------
        deadline : float
            Clock time in seconds.
        """
        if deadline >= self._deadline:
            return
        self._is_cut_short = True
        self._deadline = deadline
        self._attempts.limit_deadline(deadline)
        if self._loop_timer is not None:
            self._loop_timer.cancel()
            self._start_timer()

    def _timed_out(self) -> None:
        self._cancel_attempts()
        if self._is_cut_short:
            self._forwarder.counters.add("requests_ended_by_stop")
            self._refuse(Reason.STOPPING, MIN_STOP_RETRY_SECONDS)
        else:
            self._refuse(Reason.DEADLINE_EXCEEDED, 0.0)

    def _caller_disconnected(self) -> None:
        self._forwarder.counters.add("callers_gone")
        self._cancel_attempts()
        self._end()

    def _cancel_attempts(self) -> None:
        """Cancel the open attempts.

        A hedged attempt counts as a failure of its server, which has stayed silent for
        the hedge delay.
        """
        open_attempts, self._open_attempts = self._open_attempts, []
        for attempt in open_attempts:
            if not attempt.withdraw():
                self._attempts.record_abandoned(attempt.server.id)
            failed = True if attempt.hedged else None
            self._forwarder.selector.record_end(attempt.server, failed)

    def _refuse(self, reason: Reason, wait: float) -> None:
        """Tell the caller why there is no answer, and whether the request has run."""
        if self._fallback_answer is not None:
            # The error status that an earlier attempt returned tells the caller more
            # than the refusal of a later attempt.
            answer, self._fallback_answer = self._fallback_answer, None
            self._respond(*answer)
            return
        final_reason, outcome = self._attempts.final_outcome(reason)
        retry_after = 0.0
        if outcome is Outcome.NOT_RUN:
            retry_after = self._retry_after(wait)
        self._finish(final_reason, outcome, retry_after)

    def _retry_after(self, wait: float) -> float:
        """Seconds after which the caller should return, and its place in the order."""
        forwarder, holder = self._forwarder, self._holder
        unordered = self._attempts.retry_after(wait, forwarder.random)
        is_ordered = forwarder.chain_control and holder is not None
        if not is_ordered or self._outgoing is None or unordered <= 0.0:
            return unordered
        forwarder.refused_callers.record(
            self._outgoing.fingerprint, self._return, forwarder.clock()
        )
        if self._attempts.warmup_left > 0.0:
            return unordered
        refusals = self._return.refusals if self._return is not None else 0
        return ordered_retry_after(wait, self._priority, refusals, forwarder.random)

    def _finish(self, reason: Reason, outcome: Outcome, retry_after: float) -> None:
        self._end()
        if outcome is Outcome.NOT_RUN and self._permit_taken_at is not None:
            self._forwarder.permits.refund(self._holder.team, self._permit_taken_at)
        denied = self._attempts.denied or not self._attempts.arrivals
        self._record_call_end(lost=True, denied=denied)
        self._forwarder.counters.add("refused", reason=reason.value)
        if self._forwarder.log.wants_line():
            fields = {"reason": reason.value, "outcome": outcome.value}
            if self._chain_service:
                fields["stressed_service"] = self._chain_service
            if self._return is not None:
                fields["refusals"] = self._return.refusals
            self._log("request refused", **fields)
        self._request.refuse(reason, outcome, retry_after)

    def _end(self) -> None:
        self._drop_fallback()
        self._request.on_disconnect = self._request.on_stop = None
        if self._loop_timer is not None:
            self._loop_timer.cancel()
            self._loop_timer = None
