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
    CallDepths,
    ChainAdmission,
    ChainPressure,
    Eligibility,
    Load,
    QueueDecision,
    RepeatShare,
    RunningRequests,
    ServerPace,
    ServerPaceSettings,
    SlotQueue,
)
from damaskramp.relay.backend_connection import ServerConnections
from damaskramp.relay.call_checks import CallChecks
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.headers import HeaderNames, ReservedNames
from damaskramp.relay.messages import Call
from damaskramp.relay.outcome_sink import OutcomeSink
from damaskramp.relay.server_answer import ServerAnswer
from damaskramp.relay.server_deaths import ServerDeaths
from damaskramp.relay.server_notices import ServerNotices
from damaskramp.relay.server_run import Run
from damaskramp.relay.server_warmup import ServerWarmup

__all__ = ["Executor"]

EARLY_REFUSAL_SECONDS = 0.06
"""Margin, in seconds, by which a waiting call is refused before it is too late to run
it. The margin covers one interval between sweeps and the way back, so that the caller
learns that the call has not run before the caller gives up."""

MIN_START_DELAY_SECONDS = 0.002
"""Shortest time, in seconds, until waiting calls are started by a timer. Starts that
become due within it are made together."""

CHAIN_RETRY_SECONDS = 2.0
"""Retry-after, in seconds, of requests whose chain is not expected to finish. A stress
further below lasts 8 to 10 s, and callers return a few times only: with 1 s,
benchmarks.chain_admission serves two thirds as much as with 2 s."""


class Executor:
    """Queue and connections of the backend server on this host.

    Attributes
    ----------
    queue : SlotQueue
        Requests that run or wait at the server.
    checks : CallChecks
        Checks of calls before they run.
    deaths : ServerDeaths
        Resets and deaths of the server, by which requests that crash it are found.
    pace : ServerPace
        Pace that the server states.
    repeats : RepeatShare
        Share of the runs that repeat an earlier one.
    names : ReservedNames
        Names of header fields.
    deadline_field : bytes
        Last header field of a request, to be formatted with its milliseconds.
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
        self.log = log
        self.checks = CallChecks(fleet_view, eligibility)
        self.deaths = ServerDeaths(fleet_view, clock, counters)
        self._memory = memory
        self.fleet_view = fleet_view
        self.queue = queue
        self._connections = connections
        self.names = ReservedNames(header_names)
        self.deadline_field = header_names.deadline_ms + b": %d\r\n\r\n"
        self.clock = clock
        self.counters = counters
        self._runs: set[Run] = set()
        self.repeats = RepeatShare()
        self.notices = ServerNotices(fleet_view, queue.rate, clock, counters, log)
        self.pace = ServerPace(ServerPaceSettings())
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

    @property
    def leaving(self) -> bool:
        """Whether new calls are refused because the node stops."""
        return self.checks.leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        self.checks.leaving = leaving

    @property
    def load(self) -> Load:
        """Current load of the server."""
        return self.queue.load

    def own_load(self) -> Load:
        """Load of the server with its pace, for other hosts and for operators."""
        load = self.queue.load
        pace = self.pace.value(self.clock())
        return load._replace(pace=pace) if pace else load

    def load_for(self, call: Call) -> Load:
        """Load of the server as the sender of a call needs it."""
        now = self.clock()
        load = self.queue.load_with_pace(
            self.pace, call.route, call.is_call, call.priority, now
        )
        if self.chain_control:
            pressure = self.chains.stated(call.route, now)
            if pressure:
                load = load._replace(pressure=pressure)
        leaving = self.notices.has_announced_leaving(call.server)
        if not leaving and not load.rate_limit:
            return load
        wait = self.queue.rate_wait(call.is_call, call.priority)
        left = self.warmup.reported_seconds
        return load._replace(rate_wait=wait, leaving=leaving, warmup_left=left)

    @property
    def running(self) -> int:
        """Number of calls that run or wait."""
        return len(self._runs)

    @property
    def repeat_share(self) -> float:
        """Share of the server's runs that repeat an earlier run, 0 to 1."""
        return self.repeats.value

    @property
    def waiting_teams(self) -> int:
        """Number of teams that have a request waiting at the server."""
        return self.queue.waiting_teams

    def update_team_rates(self, rates: dict[str, float]) -> None:
        """Take the rates of teams, by which they share a contested queue."""
        self.queue.team_weights.update(rates)

    def update_depth(self) -> None:
        """Update the call depth that is reported with the load."""
        self.queue.depth = self.depths.own_depth(self.clock())

    def leave(self) -> None:
        """Refuse new calls, and those that wait: other servers have time for them."""
        self.leaving = True
        now = self.clock()
        for run in list(self._runs):
            # The end of one may already have ended others.
            if run.work.state == "waiting":
                self.queue.cancel(run.work, now)
                run.refuse(Reason.BACKEND_SERVER_LEAVING, 0.0, False)

    def submit(self, call: Call, reply: OutcomeSink) -> Run:
        """Run, queue or refuse a call; return its run, which may have ended."""
        now = self.clock()
        self.notices.update_server()
        self.warmup.update(now)
        if call.known_rate_limit:
            self.queue.rate.adopt_limit(call.known_rate_limit, now)
        run = Run(self, call, reply, now)
        refusal_reason = self.checks.find_refusal_reason(call, now)
        if refusal_reason is not None:
            run.refuse(refusal_reason, 0.0, False)
            return run
        if self.chain_control and not self._admits_chain(run, now):
            wait = CHAIN_RETRY_SECONDS
            run.refuse(Reason.CHAIN_STRESSED, wait, False)
            return run
        self.queue.resize(self.fleet_view.own_slots)
        if not self._memory.reserve_alone(len(call.body)):
            self.counters.add("bodies_refused")
            run.refuse(Reason.OVERLOADED, self.queue.load.service_time, False)
            return run
        decision = self.queue.offer(run.work, now)
        if decision is QueueDecision.REFUSE:
            self._memory.release(len(call.body))
            wait = self.queue.estimated_retry_wait(call.is_call, call.priority)
            if not call.fail_fast:
                self.chains.record_own(True, now)
            run.refuse(Reason.OVERLOADED, wait, False)
            return run
        self._runs.add(run)
        if decision is QueueDecision.RUN:
            run.start(now, is_checked=True)
        elif self.queue.rate.limit is not None:
            # Requests that matter less may wait for tokens that this one may use.
            self.start_next()
        return run

    def refuse_early(self, call: Call, reply: OutcomeSink) -> bool:
        """Refuse a call whose body has not arrived, if it can't run here."""
        now = self.clock()
        reason = self.checks.find_refusal_reason(call, now)
        if reason is None:
            return False
        Run(self, call, reply, now).refuse(reason, 0.0, False)
        return True

    def record_own_failure(self, call: Call, answer: ServerAnswer) -> None:
        """Record whether the server itself failed a request, not one further below."""
        if not self.chain_control or answer.status == 421:
            return
        now = self.clock()
        failed = answer.not_executed
        if answer.status >= 500 and not failed:
            failed = not self.chains.on_kind(call.route, now)
        self.chains.record_own(failed, now)

    def sweep(self) -> None:
        """Refuse calls that would wait too long, and abandon overdue runs."""
        now = self.clock()
        self.notices.update_server()
        self.warmup.sweep(now)
        # The limit that calls wait for may have ended with the server that stated it.
        self.start_next()
        for work in self.queue.expire(now + EARLY_REFUSAL_SECONDS):
            wait = self.queue.estimated_retry_wait(work.is_call, work.priority)
            self.chains.record_own(True, now)
            work.run.refuse(Reason.OVERLOADED, wait, False)
        for work in self.queue.release_waiting(now, self.pace.change(now)):
            self.counters.add("calls_released")
            wait = self.queue.estimated_retry_wait(work.is_call, work.priority)
            work.run.refuse(Reason.OVERLOADED, wait, False)
        for run in list(self._runs):
            run.check_overdue(now)
        self._connections.sweep()

    def close(self) -> None:
        """Close the connections to the server."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        self.warmup.close()
        self._connections.close()

    def _admits_chain(self, run: Run, now: float) -> bool:
        """Whether the chain of a new request can be expected to finish now."""
        call = run.call
        if call.is_call or not self.chains.is_known(call.route):
            return True
        run.work.chain_known = True
        pressure = self.chains.on_kind(call.route, now)
        return self.chain_admission.admits(
            call.route, call.priority, pressure, now, call.waited_ms > 0
        )

    def send(self, run: Run, head: bytes) -> Callable[[], None]:
        """Send the request of a run; return a function that abandons it."""
        call = run.call
        return self._connections.start(
            run, call.request_id, call.head_only, head, call.body
        )

    def start_next(self) -> None:
        """Start waiting calls while there is room.

        A call that is refused when it starts makes room for the next one at once. The
        loop in progress starts that one, because a recursion would be as deep as the
        queue is long.
        """
        if self._is_starting or self.queue.is_idle:
            return
        self._is_starting = True
        try:
            for work in self.queue.next_runs(self.clock()):
                work.run.start(self.clock(), is_checked=False)
        finally:
            self._is_starting = False
        if self.queue.rate.limit is not None:
            self._schedule_start()

    def _schedule_start(self) -> None:
        """Start waiting calls when the server's limit has room for the next one."""
        delay = self.queue.next_start_delay(self.clock())
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
        self.start_next()

    def discard_run(self, run: Run) -> None:
        """Release what a run holds, except its place in the queue."""
        if run in self._runs:
            self._runs.remove(run)
            self._memory.release(len(run.call.body))
        if run.started_request is not None:
            self.running_requests.end(run.started_request)
            run.started_request = None
        run.drop_references()

    def finish_run(self, run: Run, good: bool | None) -> None:
        """Record the end of a run, and start the next one.

        Parameters
        ----------
        good : bool or None
            Whether the server answered successfully; None if it did not answer.
        """
        self.discard_run(run)
        self.queue.finish(run.work, self.clock(), good)
        self.start_next()
