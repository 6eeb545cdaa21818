"""One call at the backend server on this host, from its arrival to its outcome."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from damaskramp.core import Reason
from damaskramp.dispatch import UNKNOWN_RANK, StartedRequest, Work
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.messages import Call
from damaskramp.relay.outcome_sink import OutcomeSink
from damaskramp.relay.server_answer import Exchange, ExchangeFailure, ServerAnswer
from damaskramp.relay.server_notices import MISDIRECTED

if TYPE_CHECKING:
    from damaskramp.relay.execution import Executor

__all__ = ["Run", "RunWork"]

OVERDUE_GRACE_SECONDS = 0.25
"""Time after the deadline of a run, in seconds, at which this node abandons the run if
neither the server's own deadline nor a cancellation has ended it, or for which nothing
of an answer that has been handed on may arrive."""

MIN_RUN_SECONDS = 0.005
"""Remaining time, in seconds, below which no server could answer."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


class Run(Exchange):
    """One call at the server, from its arrival to its outcome.

    Attributes
    ----------
    call : Call
        The call that is to be run.
    """

    __slots__ = (
        "_abandon",
        "_arriving_body",
        "_executor",
        "_good",
        "_progress",
        "_reply",
        "call",
        "started_request",
        "work",
    )

    def __init__(
        self, executor: "Executor", call: Call, reply: OutcomeSink, now: float
    ) -> None:
        self._executor = executor
        self.call = call
        self._reply: OutcomeSink | None = reply
        self._abandon: Callable[[], None] | None = None
        self._good: bool | None = None
        self._arriving_body: BodySource | None = None
        self._progress = (0, 0.0)
        self.started_request: StartedRequest | None = None
        self.work = RunWork(self, call, now)
        if executor.chain_control:
            self.work.order_by_root()

    def start(self, now: float, is_checked: bool) -> None:
        """Send the request to the server.

        Parameters
        ----------
        is_checked : bool
            Whether the call has just been checked; it is checked again if not.
        """
        executor, call = self._executor, self.call
        remaining = self.work.deadline - now
        refusal_reason = None
        if remaining < MIN_RUN_SECONDS:
            refusal_reason = Reason.DEADLINE_EXCEEDED
        elif not is_checked:
            refusal_reason = executor.checks.find_refusal_reason(call, now)
        if refusal_reason is not None:
            self.work.reached = False
            self.refuse(refusal_reason, 0.0, False)
            return
        remaining_ms = int(remaining * 1000)
        head = call.head + executor.deadline_field % remaining_ms
        if executor.chain_control:
            self.started_request = executor.running_requests.start(
                call.route,
                now + remaining_ms / 1000,
                call.lineage(self.work.arrived),
                remaining,
            )
            executor.chains.calls_per_run.record_run(call.route, now)
        executor.repeats.record_run(call.repeat_share)
        executor.depths.record_run(now)
        executor.counters.add("server_requests")
        self._abandon = executor.send(self, head)

    def cancel(self) -> bool:
        """Cancel the call, which nobody waits for; return whether it has not run."""
        if self._reply is None:
            return False
        self._reply = None
        unsent = self._abandon is None
        if self._abandon is not None:
            self._abandon()
        executor = self._executor
        executor.discard_run(self)
        executor.queue.cancel(self.work, executor.clock())
        executor.start_next()
        return unsent

    def limit_deadline(self, deadline: float) -> None:
        """Shorten the time of a call that still waits; one that runs keeps its own.

        Parameters
        ----------
        deadline : float
            Clock time in seconds after which nobody waits for the answer.
        """
        if self._abandon is None:
            self.work.deadline = min(self.work.deadline, deadline)

    def drop_references(self) -> None:
        """Break reference cycles, so that bodies need no garbage collection."""
        self._abandon = self._arriving_body = None
        self.work.run = None

    def check_overdue(self, now: float) -> None:
        """End the call if its deadline has passed and nothing of it moves any more.

        An answer that has been handed on is still delivered while its bytes arrive, or
        wait for its taker.
        """
        if now <= self.work.deadline:
            return
        body = self._arriving_body
        if body is None:
            if now > self.work.deadline + OVERDUE_GRACE_SECONDS:
                self._time_out()
            return
        received, since = self._progress
        if received != body.received or not body.may_read:
            self._progress = (body.received, now)
        elif now - since > OVERDUE_GRACE_SECONDS:
            self._break_off()

    def _break_off(self) -> None:
        """Break off an answer that has been handed on; its taker is told."""
        executor = self._executor
        executor.counters.add("server_answers_silent")
        self._log("answer broken off", "silent")
        self._abandon()
        executor.finish_run(self, good=False)

    def _time_out(self) -> None:
        """End the call because its deadline has passed."""
        reply = self._reply
        sent = not self.cancel()
        if reply is None:
            return
        load = self._executor.load_for(self.call)
        self._log("call overdue", Reason.DEADLINE_EXCEEDED.value)
        if sent:
            reply.failed(Reason.DEADLINE_EXCEEDED, load)
        else:
            reply.refused(Reason.DEADLINE_EXCEEDED, 0.0, False, load)

    def refuse(self, reason: Reason, wait: float, arrived: bool) -> None:
        """End the call without running it."""
        reply, self._reply = self._reply, None
        executor = self._executor
        executor.counters.add("calls_refused", reason=reason.value)
        self._log("call refused", reason.value, arrived=arrived, wait=wait)
        executor.finish_run(self, good=None)
        if reply is not None:
            reply.refused(reason, wait, arrived, executor.load_for(self.call))

    def head_received(self, answer: ServerAnswer) -> None:
        """Record what the server says about itself."""
        executor = self._executor
        executor.notices.record_head(self.call.server, answer, self.work.started)
        if answer.load and (pace := answer.pace):
            executor.pace.record_stated(pace, executor.clock())

    def answered(self, answer: ServerAnswer) -> None:
        """Handle the server's answer."""
        call, executor = self.call, self._executor
        executor.record_own_failure(call, answer)
        if answer.status == MISDIRECTED:
            self.work.reached = False
            executor.warmup.record_misdirected(call.server)
        else:
            executor.warmup.record_answer(self.work.started)
        if answer.not_executed or answer.status == MISDIRECTED:
            executor.counters.add("server_refusals", reason=str(answer.status))
            wait = executor.queue.load.service_time
            self.refuse(Reason.OVERLOADED, wait, True)
            discard_body(answer.body)
            return
        reply, self._reply = self._reply, None
        is_unsigned = answer.is_unsigned_success
        self._good = answer.status < 500 and not is_unsigned
        if self._good:
            now = executor.clock()
            executor.pace.record_run(call.route, now - self.work.started, now)
        body = answer.body
        if type(body) is bytes or body.is_complete:
            executor.finish_run(self, self._good)
        else:
            self._arriving_body = body
        if call.fingerprint:
            now = executor.clock()
            executor.fleet_view.suspects.record_answer(call.fingerprint, now)
        if reply is None:
            discard_body(body)
            return
        executor.counters.add("server_answers", reason=str(answer.status))
        if is_unsigned:
            executor.counters.add("server_unsigned_answers")
            self._log("success without signature", str(answer.status))
        if is_unsigned or (answer.status in NOT_RUN_STATUSES and not call.idempotent):
            # A success may be spoiled if it isn't signed. The other statuses would
            # promise that the request has not run, which it may have.
            discard_body(body)
            reply.failed(Reason.ANSWER_LOST, executor.load_for(call))
            return
        head = answer.head(executor.names)
        load = executor.load_for(call)
        reply.answered(answer.status, head, body, load)

    def body_ended(self, complete: bool) -> None:
        """End the run, whose answer has been handed on before."""
        self._executor.finish_run(self, self._good if complete else None)

    def failed(self, failure: ExchangeFailure) -> None:
        """Handle a failure of the exchange, after which no answer arrives."""
        executor = self._executor
        executor.counters.add("server_failures", reason=failure.value)
        executor.chains.record_own(True, executor.clock())
        self._log("call broke", failure.value)
        if failure in (ExchangeFailure.UNREACHABLE, ExchangeFailure.RESET):
            executor.warmup.record_broken_connection()
        if failure is ExchangeFailure.UNREACHABLE:
            self.work.reached = False
            executor.deaths.record_unreachable()
            self.refuse(Reason.CONNECT_FAILED, 0.0, False)
            return
        if failure is ExchangeFailure.RESET:
            executor.deaths.record_reset(self.call.fingerprint)
        reply, self._reply = self._reply, None
        executor.finish_run(self, good=False)
        if reply is not None:
            reply.failed(Reason.ANSWER_LOST, executor.load_for(self.call))

    def _log(self, event: str, reason: str, **fields: object) -> None:
        executor, call = self._executor, self.call
        if not executor.log.wants_line():
            return
        load, fleet_view = executor.queue.load, executor.fleet_view
        if executor.chain_control:
            fields["root_rank"], fields["root_team"] = call.root_rank, call.root_team
            pressure = executor.chains.on_kind(call.route, executor.clock())
            if pressure:
                fields["stressed_service"] = pressure[0].service
        executor.log.write(
            event,
            request_id=call.request_id.decode("latin-1"),
            reason=reason,
            route=call.route,
            server=call.server,
            is_call=call.is_call,
            priority=call.priority,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            rate_limit=load.rate_limit,
            service_seconds=round(load.service_time, 4),
            waited_seconds=round(executor.clock() - self.work.enqueued, 4)
            if self.work.enqueued
            else 0.0,
            version=fleet_view.version,
            age_seconds=round(fleet_view.freshness.age, 3),
            **fields,
        )


class RunWork(Work):
    """Queue entry of a run."""

    __slots__ = ("arrived", "run")

    def __init__(self, run: Run, call: Call, now: float) -> None:
        super().__init__(
            call.route,
            call.is_call,
            call.priority,
            now + call.target,
            now + call.remaining,
        )
        self.fail_fast = call.fail_fast
        self.arrived = now
        self.run = run

    def order_by_root(self) -> None:
        """Take the rank and the progress of the call's root, as far as known."""
        call = self.run.call
        self.team = call.root_team
        # A caller that was refused goes before those that came after its first try.
        self.order -= call.waited_ms / 1000
        if not call.is_call or call.root_rank == UNKNOWN_RANK:
            return
        self.priority = call.root_rank
        if call.root_remaining_ms:
            self.order = self.arrived + call.root_remaining_ms / 1000
