"""Execution of requests at the backend server on this host.

Only this node can reach the server, so this module decides which requests run, wait or
are refused. It makes the last checks before a byte is sent: the server is the one that
the request is meant for and is not leaving, a provably recent configuration still has
the key, and the request is not one that crashes servers.
"""

import asyncio
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters, Reason
from damaskramp.dispatch import (
    UNKNOWN_RANK,
    CallDepths,
    ChainAdmission,
    ChainPressure,
    Death,
    Eligibility,
    Load,
    QueueDecision,
    RepeatShare,
    RunningRequests,
    ServerPace,
    ServerPaceSettings,
    SlotQueue,
    StartedRequest,
    Work,
)
from damaskramp.relay.backend_connection import ServerConnections
from damaskramp.relay.body_source import discard_body
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.headers import HeaderNames, ReservedNames
from damaskramp.relay.messages import Call
from damaskramp.relay.outcome_sink import Cancel, OutcomeSink
from damaskramp.relay.server_answer import Exchange, ExchangeFailure, ServerAnswer
from damaskramp.relay.server_notices import MISDIRECTED, ServerNotices
from damaskramp.relay.server_warmup import ServerWarmup

__all__ = ["Executor"]

MIN_RUN_SECONDS = 0.005
"""Remaining time, in seconds, below which no server could answer."""

OVERDUE_GRACE_SECONDS = 0.25
"""Time after the deadline of a run, in seconds, at which this node abandons the run if
neither the server's own deadline nor a cancellation has ended it."""

EARLY_REFUSAL_SECONDS = 0.06
"""Margin, in seconds, by which a waiting call is refused before it is too late to run
it. The margin covers one interval between sweeps and the way back, so that the caller
learns that the call has not run before the caller gives up."""

MIN_START_DELAY_SECONDS = 0.002
"""Shortest time, in seconds, until waiting calls are started by a timer. Starts that
become due within it are made together."""

DEATH_WINDOW_SECONDS = 0.5
"""Window, in seconds, that ends when the server is found unreachable. A run whose
connection was reset within the window is suspected of having crashed the server."""

CHAIN_RETRY_SECONDS = 2.0
"""Retry-after, in seconds, of requests whose chain is not expected to finish. A stress
further below lasts 8 to 10 s, and callers return a few times only: with 1 s,
benchmarks.chain_admission serves two thirds as much as with 2 s."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


class Executor:
    """Queue and connections of the backend server on this host.

    Attributes
    ----------
    depths : CallDepths
        Call depths of this host's service and of the others.
    notices : ServerNotices
        What the server says about itself in its answers.
    warmup : ServerWarmup
        What is known of the server's warm-up.
    running_requests : RunningRequests
        Requests that run at the server, by which the lineage of its calls is inferred.
    chains : ChainPressure
        Pressure on the chains of calls that the server's requests make.
    chain_control : bool
        Whether the roots of calls are inferred, and calls are ordered by them.
    leaving : bool
        Whether new calls are refused because the node stops.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        queue: SlotQueue,
        warmup: ServerWarmup,
        connections: ServerConnections,
        header_names: HeaderNames,
        clock: Callable[[], float],
        counters: Counters,
        log: DecisionLog,
        memory: ByteBudget,
        eligibility: Eligibility,
    ) -> None:
        self._log = log
        self._eligibility = eligibility
        self._memory = memory
        self._fleet_view = fleet_view
        self._queue = queue
        self._connections = connections
        self._names = ReservedNames(header_names)
        self._deadline_field = header_names.deadline_ms + b": %d\r\n\r\n"
        self._clock = clock
        self._counters = counters
        self._runs: set[_Run] = set()
        self._recent_resets: list[tuple[float, int]] = []
        self._repeats = RepeatShare()
        self.notices = ServerNotices(fleet_view, queue.rate, clock, counters, log)
        self._pace = ServerPace(ServerPaceSettings())
        self.warmup = warmup
        connections.on_idle_closed = warmup.record_broken_connection
        warmup.oldest_connection = connections.oldest_idle
        self._start_timer: asyncio.TimerHandle | None = None
        self._is_starting = False
        self.depths = CallDepths()
        self.running_requests = RunningRequests()
        self.chains = ChainPressure(fleet_view.service)
        self.chain_admission = ChainAdmission()
        self.chain_control = False
        self.leaving = False

    @property
    def load(self) -> Load:
        """Current load of the server."""
        return self._queue.load

    def own_load(self) -> Load:
        """Load of the server with its pace, for other hosts and for operators."""
        load = self._queue.load
        pace = self._pace.value(self._clock())
        return load._replace(pace=pace) if pace else load

    def load_for(self, call: Call) -> Load:
        """Load of the server as the sender of a call needs it."""
        now = self._clock()
        load = self._queue.load_with_pace(
            self._pace, call.route, call.is_call, call.priority, now
        )
        if self.chain_control:
            chains = self.chains
            pressure = chains.own_entry(now) + chains.on_kind(call.route, now)
            if pressure:
                load = load._replace(pressure=pressure)
        leaving = self.notices.has_announced_leaving(call.server)
        if not leaving and not load.rate_limit:
            return load
        wait = self._queue.rate_wait(call.is_call, call.priority)
        left = self.warmup.reported_seconds
        return load._replace(rate_wait=wait, leaving=leaving, warmup_left=left)

    @property
    def running(self) -> int:
        """Number of calls that run or wait."""
        return len(self._runs)

    @property
    def repeat_share(self) -> float:
        """Share of the server's runs that repeat an earlier run, 0 to 1."""
        return self._repeats.value

    @property
    def waiting_teams(self) -> int:
        """Number of teams that have a request waiting at the server."""
        return self._queue.waiting_teams

    def update_team_rates(self, rates: dict[str, float]) -> None:
        """Take the rates of teams, by which they share a contested queue."""
        self._queue.team_weights.update(rates)

    def update_depth(self) -> None:
        """Update the call depth that is reported with the load."""
        self._queue.depth = self.depths.own_depth(self._clock())

    def submit(self, call: Call, reply: OutcomeSink) -> Cancel:
        """Run, queue or refuse a call; return a function that cancels it."""
        now = self._clock()
        self.notices.update_server()
        self.warmup.update(now)
        if call.known_rate_limit:
            self._queue.rate.adopt_limit(call.known_rate_limit, now)
        run = _Run(self, call, reply, now)
        refusal_reason = self._find_refusal_reason(call, now)
        if refusal_reason is not None:
            run.refuse(refusal_reason, 0.0, False)
            return run.cancel
        if self.chain_control and not self._admits_chain(run, now):
            wait = CHAIN_RETRY_SECONDS
            run.refuse(Reason.CHAIN_STRESSED, wait, False)
            return run.cancel
        self._queue.resize(self._fleet_view.own_slots)
        if not self._memory.reserve_alone(len(call.body)):
            self._counters.add("bodies_refused")
            run.refuse(Reason.OVERLOADED, self._queue.load.service_time, False)
            return run.cancel
        decision = self._queue.offer(run.work, now)
        if decision is QueueDecision.REFUSE:
            self._memory.release(len(call.body))
            wait = self._queue.estimated_retry_wait(call.is_call, call.priority)
            if not call.fail_fast:
                self.chains.record_own(True, now)
            run.refuse(Reason.OVERLOADED, wait, False)
            return run.cancel
        self._runs.add(run)
        if decision is QueueDecision.RUN:
            run.start(now, is_checked=True)
        elif self._queue.rate.limit is not None:
            # Requests that matter less may wait for tokens that this one may use.
            self._start_next()
        return run.cancel

    def refuse_early(self, call: Call, reply: OutcomeSink) -> bool:
        """Refuse a call whose body has not arrived, if it can't run here."""
        now = self._clock()
        reason = self._find_refusal_reason(call, now)
        if reason is None:
            return False
        _Run(self, call, reply, now).refuse(reason, 0.0, False)
        return True

    def record_own_failure(self, call: Call, answer: ServerAnswer) -> None:
        """Record whether the server itself failed a request, not one further below."""
        if not self.chain_control or answer.status == 421:
            return
        now = self._clock()
        failed = answer.not_executed
        if answer.status >= 500 and not failed:
            failed = not self.chains.on_kind(call.route, now)
        self.chains.record_own(failed, now)

    def sweep(self) -> None:
        """Refuse calls that would wait too long, and abandon overdue runs."""
        now = self._clock()
        self.notices.update_server()
        self.warmup.sweep(now)
        # The limit that calls wait for may have ended with the server that stated it.
        self._start_next()
        for work in self._queue.expire(now + EARLY_REFUSAL_SECONDS):
            wait = self._queue.estimated_retry_wait(work.is_call, work.priority)
            self.chains.record_own(True, now)
            work.run.refuse(Reason.OVERLOADED, wait, False)
        for work in self._queue.release_waiting(now, self._pace.change(now)):
            self._counters.add("calls_released")
            wait = self._queue.estimated_retry_wait(work.is_call, work.priority)
            work.run.refuse(Reason.OVERLOADED, wait, False)
        for run in list(self._runs):
            if now > run.work.deadline + OVERDUE_GRACE_SECONDS:
                run.time_out()
        self._connections.sweep()

    def close(self) -> None:
        """Close the connections to the server."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        self.warmup.close()
        self._connections.close()

    def _find_refusal_reason(self, call: Call, now: float) -> Reason | None:
        fleet_view = self._fleet_view
        own = fleet_view.own_server
        if self.leaving or (own is not None and own.leaving):
            return Reason.BACKEND_SERVER_LEAVING
        if fleet_view.directory.was_removed(call.server):
            return Reason.BACKEND_SERVER_LEAVING
        if fleet_view.has_announced_leaving(call.server):
            return Reason.BACKEND_SERVER_LEAVING
        is_other_server = own is not None and own.id != call.server
        # The caller's node or this node may know a newer server at this address, which
        # has replaced the other one.
        if is_other_server and fleet_view.directory.is_listed(call.server):
            return Reason.BACKEND_SERVER_LEAVING
        if fleet_view.evacuations is not None:
            if fleet_view.is_evacuated:
                return Reason.ZONE_EVACUATED
            if not fleet_view.evacuations_known:
                return Reason.BELIEF_TOO_OLD
        homes = fleet_view.home_regions_of(call.route, call.key_digest)
        if homes and not self._eligibility.allows(fleet_view.zone, homes):
            # The sender may have an older configuration.
            return Reason.NO_HOME_REGION
        if call.key_digest:
            if not fleet_view.keys_usable:
                return Reason.BELIEF_TOO_OLD
            if not fleet_view.holds_key(call.key_digest):
                return Reason.KEY_WITHDRAWN
        if call.fingerprint and fleet_view.suspects.is_blocked(call.fingerprint, now):
            return Reason.QUARANTINED
        return None

    def _admits_chain(self, run: "_Run", now: float) -> bool:
        """Whether the chain of a new request can be expected to finish now."""
        call = run.call
        if call.is_call or not self.chains.is_known(call.route):
            return True
        run.work.chain_known = True
        pressure = self.chains.on_kind(call.route, now)
        return self.chain_admission.admits(
            call.route, call.priority, pressure, now, call.waited_ms > 0
        )

    def _start_next(self) -> None:
        """Start waiting calls while there is room.

        A call that is refused when it starts makes room for the next one at once. The
        loop in progress starts that one, because a recursion would be as deep as the
        queue is long.
        """
        if self._is_starting or self._queue.is_idle:
            return
        self._is_starting = True
        try:
            for work in self._queue.next_runs(self._clock()):
                work.run.start(self._clock(), is_checked=False)
        finally:
            self._is_starting = False
        if self._queue.rate.limit is not None:
            self._schedule_start()

    def _schedule_start(self) -> None:
        """Start waiting calls when the server's limit has room for the next one."""
        delay = self._queue.next_start_delay(self._clock())
        if delay is None:
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + max(delay, MIN_START_DELAY_SECONDS)
        if self._start_timer is not None:
            if self._start_timer.when() <= due:
                return
            self._start_timer.cancel()
        self._start_timer = loop.call_at(due, self._start_timer_fired)

    def _start_timer_fired(self) -> None:
        self._start_timer = None
        self._start_next()

    def _discard_run(self, run: "_Run") -> None:
        if run in self._runs:
            self._runs.remove(run)
            self._memory.release(len(run.call.body))
        if run.started_request is not None:
            self.running_requests.end(run.started_request)
            run.started_request = None
        run.drop_references()

    def _finish_run(self, run: "_Run", good: bool | None) -> None:
        self._discard_run(run)
        self._queue.finish(run.work, self._clock(), good)
        self._start_next()

    def _log_event(
        self, event: str, run: "_Run", reason: str, **fields: object
    ) -> None:
        if not self._log.wants_line():
            return
        call, load, fleet_view = run.call, self._queue.load, self._fleet_view
        if self.chain_control:
            fields["root_rank"], fields["root_team"] = call.root_rank, call.root_team
            pressure = self.chains.on_kind(call.route, self._clock())
            if pressure:
                fields["stressed_service"] = pressure[0].service
        self._log.write(
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
            waited_seconds=round(self._clock() - run.work.enqueued, 4)
            if run.work.enqueued
            else 0.0,
            version=fleet_view.version,
            age_seconds=round(fleet_view.freshness.age, 3),
            **fields,
        )

    def _record_reset(self, call: Call) -> None:
        now = self._clock()
        self._recent_resets.append((now, call.fingerprint))
        self._recent_resets = [
            b for b in self._recent_resets if now - b[0] < DEATH_WINDOW_SECONDS
        ]

    def _record_server_death(self) -> None:
        now = self._clock()
        own = self._fleet_view.own_server
        lifetime = f"{own.id}/{own.started}" if own is not None else "?"
        deaths = [
            Death(fingerprint, lifetime)
            for when, fingerprint in self._recent_resets
            if fingerprint and now - when < DEATH_WINDOW_SECONDS
        ]
        self._recent_resets.clear()
        if deaths:
            self._counters.add("suspect_deaths", len(deaths))
            self._fleet_view.suspects.record_deaths(deaths, now)


class _Run(Exchange):
    """One call at the server, from its arrival to its outcome."""

    __slots__ = (
        "_abandon",
        "_call",
        "_executor",
        "_good",
        "_reply",
        "started_request",
        "work",
    )

    def __init__(
        self, executor: Executor, call: Call, reply: OutcomeSink, now: float
    ) -> None:
        self._executor = executor
        self._call = call
        self._reply: OutcomeSink | None = reply
        self._abandon: Callable[[], None] | None = None
        self._good: bool | None = None
        self.started_request: StartedRequest | None = None
        self.work = _RunWork(self, call, now)
        if executor.chain_control:
            self.work.order_by_root()

    @property
    def call(self) -> Call:
        """The call that is to be run."""
        return self._call

    def start(self, now: float, is_checked: bool) -> None:
        """Send the request to the server.

        Parameters
        ----------
        is_checked : bool
            Whether the call has just been checked; it is checked again if not.
        """
        executor, call = self._executor, self._call
        remaining = self.work.deadline - now
        if remaining < MIN_RUN_SECONDS:
            self.work.reached = False
            self.refuse(Reason.DEADLINE_EXCEEDED, 0.0, False)
            return
        refusal_reason = None
        if not is_checked:
            refusal_reason = executor._find_refusal_reason(call, now)
        if refusal_reason is not None:
            self.work.reached = False
            self.refuse(refusal_reason, 0.0, False)
            return
        remaining_ms = int(remaining * 1000)
        head = call.head + executor._deadline_field % remaining_ms
        if executor.chain_control:
            self.started_request = executor.running_requests.start(
                call.route,
                now + remaining_ms / 1000,
                call.lineage(self.work.arrived),
                remaining,
            )
            executor.chains.calls_per_run.record_run(call.route, now)
        executor._repeats.record_run(call.repeat_share)
        executor.depths.record_run(now)
        executor._counters.add("server_requests")
        self._abandon = executor._connections.start(
            self, call.request_id, call.head_only, head, call.body
        )

    def cancel(self) -> bool:
        """Cancel the call, which nobody waits for; return whether it has not run."""
        if self._reply is None:
            return False
        self._reply = None
        unsent = self._abandon is None
        if self._abandon is not None:
            self._abandon()
        executor = self._executor
        executor._discard_run(self)
        executor._queue.cancel(self.work, executor._clock())
        executor._start_next()
        return unsent

    def drop_references(self) -> None:
        """Break reference cycles, so that bodies need no garbage collection."""
        self._abandon = None
        self.work.run = None

    def time_out(self) -> None:
        """End the call because its deadline has passed."""
        reply = self._reply
        sent = not self.cancel()
        if reply is None:
            return
        load = self._executor.load_for(self._call)
        self._executor._log_event("call overdue", self, Reason.DEADLINE_EXCEEDED.value)
        if sent:
            reply.failed(Reason.DEADLINE_EXCEEDED, load)
        else:
            reply.refused(Reason.DEADLINE_EXCEEDED, 0.0, False, load)

    def refuse(self, reason: Reason, wait: float, arrived: bool) -> None:
        """End the call without running it."""
        reply, self._reply = self._reply, None
        executor = self._executor
        executor._counters.add("calls_refused", reason=reason.value)
        executor._log_event(
            "call refused", self, reason.value, arrived=arrived, wait=wait
        )
        executor._finish_run(self, good=None)
        if reply is not None:
            reply.refused(reason, wait, arrived, executor.load_for(self._call))

    def head_received(self, answer: ServerAnswer) -> None:
        """Record what the server says about itself."""
        executor = self._executor
        executor.notices.record_head(self._call.server, answer, self.work.started)
        if answer.load and (pace := answer.pace):
            executor._pace.record_stated(pace, executor._clock())

    def answered(self, answer: ServerAnswer) -> None:
        """Handle the server's answer."""
        call, executor = self._call, self._executor
        executor.record_own_failure(call, answer)
        if answer.status == MISDIRECTED:
            self.work.reached = False
            executor.warmup.record_misdirected(call.server)
        else:
            executor.warmup.record_answer(self.work.started)
        if answer.not_executed or answer.status == MISDIRECTED:
            executor._counters.add("server_refusals", reason=str(answer.status))
            wait = executor._queue.load.service_time
            self.refuse(Reason.OVERLOADED, wait, True)
            discard_body(answer.body)
            return
        reply, self._reply = self._reply, None
        if answer.status < 500:
            now = executor._clock()
            executor._pace.record_run(call.route, now - self.work.started, now)
        self._good = answer.status < 500
        body = answer.body
        if type(body) is bytes or body.is_complete:
            executor._finish_run(self, self._good)
        if call.fingerprint:
            now = executor._clock()
            executor._fleet_view.suspects.record_answer(call.fingerprint, now)
        if reply is None:
            discard_body(body)
            return
        executor._counters.add("server_answers", reason=str(answer.status))
        if answer.status in NOT_RUN_STATUSES and not call.idempotent:
            # The request may have run, but this status would promise that it has not.
            discard_body(body)
            reply.failed(Reason.ANSWER_LOST, executor.load_for(call))
            return
        head = answer.head(executor._names)
        load = executor.load_for(call)
        reply.answered(answer.status, head, body, load)

    def body_ended(self, complete: bool) -> None:
        """End the run, whose answer has been handed on before."""
        self._executor._finish_run(self, self._good if complete else None)

    def failed(self, failure: ExchangeFailure) -> None:
        """Handle a failure of the exchange, after which no answer arrives."""
        executor = self._executor
        executor._counters.add("server_failures", reason=failure.value)
        executor.chains.record_own(True, executor._clock())
        executor._log_event("call broke", self, failure.value)
        if failure in (ExchangeFailure.UNREACHABLE, ExchangeFailure.RESET):
            executor.warmup.record_broken_connection()
        if failure is ExchangeFailure.UNREACHABLE:
            self.work.reached = False
            executor._record_server_death()
            self.refuse(Reason.CONNECT_FAILED, 0.0, False)
            return
        if failure is ExchangeFailure.RESET:
            executor._record_reset(self._call)
        reply, self._reply = self._reply, None
        executor._finish_run(self, good=False)
        if reply is not None:
            reply.failed(Reason.ANSWER_LOST, executor.load_for(self._call))


class _RunWork(Work):
    """Queue entry of a run."""

    __slots__ = ("arrived", "run")

    def __init__(self, run: _Run, call: Call, now: float) -> None:
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
