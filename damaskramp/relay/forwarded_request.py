"""Forwarding of one caller's request to backend servers, and of the answer back."""

import asyncio
from typing import TYPE_CHECKING

from damaskramp.core import Outcome, Reason
from damaskramp.dispatch import (
    NO_INFERENCE,
    UNKNOWN_LINEAGE,
    Attempts,
    Confidence,
    Inference,
    Lineage,
    Load,
    RefusalBudget,
    Return,
    RouteEntry,
    ordered_retry_after,
    unpack_pressure,
)
from damaskramp.fleet import BackendServer, RegionName
from damaskramp.relay.body_source import BodySource, discard_body
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.fleet_view import KeyHolder
from damaskramp.relay.identity import identify
from damaskramp.relay.messages import Call
from damaskramp.relay.outgoing import OutgoingRequest
from damaskramp.relay.server_attempt import AttemptOwner, ServerAttempt

if TYPE_CHECKING:
    from damaskramp.relay.forwarding import Forwarder

__all__ = ["ForwardedRequest"]

MISSING_CONFIGURATION_RETRY_SECONDS = 0.5
"""Retry-after, in seconds, of a node without a usable configuration. The node asks the
platform and its peers for one several times a second."""

MAX_REJECTION_AGE_SECONDS = 1.5
"""Age of the configuration, in seconds, from which a key or route that it lacks may
have been added since. Changes take well under a second to arrive where the platform can
be reached."""

MIN_NO_SERVER_RETRY_SECONDS = 0.02
"""Shortest retry-after, in seconds, where the request could be sent to no server."""

EJECTION_SECONDS = 0.3
"""Ejection time, in seconds, of a server that could not be reached. It is the time in
which a broken link is opened again."""

CALL_RANK_STEP = 1 / 1024
"""Difference in rank between calls whose roots differ by one in priority. All calls go
before new requests, which have ranks from 1."""

MIN_REPEAT_SUCCESS = 0.3
"""Share of the calls of a route that must end well for one that failed below to be
repeated. A call that makes four others costs about four repeats below, and a service
that is asked once more in vain gives them away."""


class ForwardedRequest(AttemptOwner):
    """One caller's request, from its check to the answer.

    The request may have attempts at two servers at once if the first one stays silent.
    """

    __slots__ = (
        "_attempts",
        "_chain_service",
        "_deadline",
        "_entry",
        "_fallback_answer",
        "_forwarder",
        "_holder",
        "_homes",
        "_inference",
        "_is_call",
        "_lineage",
        "_loop_timer",
        "_open_attempts",
        "_outgoing",
        "_permit_taken_at",
        "_priority",
        "_rank",
        "_request",
        "_return",
        "_service",
        "_target",
    )

    def __init__(self, forwarder: "Forwarder", request: CallerRequest) -> None:
        self._forwarder = forwarder
        self._request = request
        self._entry: RouteEntry | None = None
        self._holder: KeyHolder | None = None
        self._homes: list[frozenset[RegionName]] = []
        self._inference = NO_INFERENCE
        self._is_call = False
        self._lineage = UNKNOWN_LINEAGE
        self._chain_service = ""
        self._return: Return | None = None
        self._service = ""
        self._open_attempts: list[ServerAttempt] = []
        self._attempts = Attempts(
            forwarder.budget, forwarder.depths, forwarder.counters
        )
        self._fallback_answer: tuple[int, bytes, bytes | BodySource] | None = None
        self._loop_timer: asyncio.TimerHandle | None = None
        self._outgoing: OutgoingRequest | None = None
        self._permit_taken_at: float | None = None
        self._deadline = 0.0
        self._target = 0.0
        self._priority = 0
        self._rank = 0.0

    def start(self) -> None:
        """Check the request and the rate of its team, then send it to a server."""
        forwarder, request = self._forwarder, self._request
        fleet_view = forwarder.fleet_view
        if fleet_view.configuration is None:
            self._refuse(Reason.NO_BUNDLE, MISSING_CONFIGURATION_RETRY_SECONDS)
            return
        self._entry = fleet_view.routes.find(
            request.host.partition(":")[0], request.path
        )
        if self._entry is None:
            complete = fleet_view.configuration.routes_complete
            self._refuse_by_configuration(
                Reason.NO_ROUTE if complete else Reason.CONFIGURATION_UNREADABLE
            )
            return
        # If teams are configured, callers' requests carry a key. A request without one
        # is a call that the backend server of this host makes while it runs a request.
        self._is_call = not request.has_key and fleet_view.configuration.needs_keys
        route = self._entry.route
        if not route.usable:
            self._refuse_by_configuration(Reason.CONFIGURATION_UNREADABLE)
            return
        holder = identify(fleet_view, request, route.public, forwarder.key_scheme)
        if type(holder) is Reason:
            self._refuse_by_configuration(holder)
            return
        self._holder = holder
        timeout = route.timeout
        if request.deadline_ms is not None:
            timeout = min(timeout, request.deadline_ms / 1000)
        self._deadline = request.started + timeout
        self._target = request.started + route.latency_target
        wait = forwarder.wait_for_stop(route.name, self._deadline, self._is_call)
        if wait is not None:
            self._refuse(Reason.STOPPING, wait)
            return
        request.on_disconnect = self._caller_disconnected
        self._start_timer()
        if self._holder is not None:
            team = self._holder.team
            forwarder.permits.admit(team, self._on_admission)
        else:
            self._on_admission(True)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._deadline - self._forwarder.clock()
        self._loop_timer = loop.call_later(max(0.0, remaining), self._timed_out)

    def _refuse_by_configuration(self, reason: Reason) -> None:
        # Only a recent configuration proves that a route or key does not exist.
        is_old = self._forwarder.fleet_view.freshness.age >= MAX_REJECTION_AGE_SECONDS
        if is_old or reason is Reason.BELIEF_TOO_OLD:
            self._refuse(Reason.BELIEF_TOO_OLD, MISSING_CONFIGURATION_RETRY_SECONDS)
        elif reason is Reason.CONFIGURATION_UNREADABLE:
            self._refuse(reason, MISSING_CONFIGURATION_RETRY_SECONDS)
        else:
            self._refuse(reason, 0.0)

    def _on_admission(self, admitted: bool) -> None:
        if self._request.on_disconnect is None:
            return
        if not admitted:
            team = self._holder.team
            self._refuse(Reason.TEAM_OVER_RATE, 1.0 / team.rate)
            return
        forwarder, request = self._forwarder, self._request
        self._service = self._entry.next_service()
        self._homes = self._find_homes()
        self._priority = self._find_priority()
        now, inherited = forwarder.clock(), 0.0
        if self._holder is not None:
            self._permit_taken_at = now
        if self._is_call:
            if forwarder.chain_control:
                self._inference = self._infer_lineage()
                self._lineage = self._inference.lineage
            inherited = self._inherited_repeat_share()
            forwarder.depths.record_call(self._service, now)
        elif forwarder.chain_control:
            team = self._holder.team.name if self._holder is not None else ""
            self._lineage = Lineage(self._priority, team, self._deadline)
        self._rank = self._find_rank()
        servers = len(forwarder.fleet_view.directory.of_service(self._service))
        self._attempts.begin(
            self._service,
            self._entry.route,
            self._deadline,
            inherited,
            RefusalBudget(forwarder.placement, servers, self._is_call),
            now,
        )
        if forwarder.chain_control:
            self._attempts.rank = self._lineage.rank
        forwarder.counters.add("requests", reason=self._service)
        holder = self._holder
        team = holder.team.name if holder is not None else None
        self._outgoing = OutgoingRequest(request, forwarder.headers, team)
        if forwarder.chain_control and holder is not None:
            self._return = forwarder.refused_callers.take(
                self._outgoing.fingerprint, now
            )
            if self._return is not None:
                forwarder.counters.add("callers_returned")
        self._send()

    def _infer_lineage(self) -> Inference:
        """Infer which running request of this host's server has made this call."""
        forwarder, request = self._forwarder, self._request
        stated_ms = request.deadline_ms
        # The route's own timeout may be shorter than the time that the call states.
        deadline = None if stated_ms is None else request.started + stated_ms / 1000
        inference = forwarder.executor.running_requests.infer(
            self._entry.route.name, deadline, stated_ms
        )
        matched = ("unmatched", "matched")[inference.matches == 1]
        if inference.matches > 1:
            matched = "ambiguous"
        forwarder.counters.add("lineage", reason=matched)
        executor = forwarder.executor
        is_sure = inference.confidence is Confidence.SURE
        executor.chains.calls_per_run.record_call(
            self._entry.route.name,
            inference.parent_kind if is_sure else "",
            request.started,
        )
        if inference.confidence is Confidence.AGREED:
            forwarder.counters.add("lineage_agreed")
        return inference

    def _inherited_repeat_share(self) -> float:
        """Probability that the run that has made this call is a repeat."""
        inference = self._inference
        if self._forwarder.chain_control and inference.matches:
            return inference.lineage.repeat_share
        return self._forwarder.executor.repeat_share

    def _find_rank(self) -> float:
        """Rank among requests and calls; servers that refused are avoided by rank."""
        if not self._is_call:
            return 1 + self._priority
        if not self._forwarder.chain_control:
            return 0
        return max(0, self._inference.lineage.rank) * CALL_RANK_STEP

    def _find_priority(self) -> int:
        holder = self._holder
        if holder is not None and holder.team.priority is not None:
            return holder.team.priority
        return self._entry.route.priority

    def _find_homes(self) -> list[frozenset[RegionName]]:
        """Home regions of the route and the team, which all bind the request."""
        homes, holder = self._entry.route.home_regions, self._holder
        found = [homes] if homes else []
        if holder is not None and holder.team.home_regions:
            found.append(holder.team.home_regions)
        return found

    def _reachable_servers(self) -> list[BackendServer]:
        forwarder = self._forwarder
        listed = forwarder.fleet_view.directory.of_service(self._service)
        return forwarder.peers.usable(listed)

    def _eligible_servers(self) -> list[BackendServer]:
        servers = self._reachable_servers()
        return self._forwarder.eligibility.select(servers, self._homes)

    def _choose(self, servers: list[BackendServer]) -> BackendServer | None:
        """Choose one of the eligible servers; None if none may be asked now."""
        forwarder = self._forwarder
        now = forwarder.clock()
        to_target = self._target - now
        tight = forwarder.route_times.is_tight(self._entry.route.name, to_target)
        return forwarder.selector.choose(
            servers,
            self._attempts.tried,
            self._rank,
            now,
            tight,
            self._entry.route.name,
            to_target,
        )

    def _send(self) -> None:
        eligible = self._eligible_servers()
        server = self._choose(eligible)
        if server is not None:
            self._send_to(server, len(eligible))
            return
        servers = self._reachable_servers()
        rejection = self._forwarder.eligibility.rejection(servers, self._homes)
        if rejection is not None:
            self._refuse(rejection.reason, rejection.wait)
            return
        reason = Reason.OVERLOADED if servers else Reason.NO_BACKEND_SERVER
        self._attempts.record_cold_service(
            self._forwarder.selector.warmup_left(servers, self._forwarder.clock())
        )
        self._refuse(reason, max(self._attempts.wait, MIN_NO_SERVER_RETRY_SECONDS))

    def _send_to(self, server: BackendServer, eligible: int) -> None:
        """Send the request to one of a number of eligible servers."""
        forwarder = self._forwarder
        now = forwarder.clock()
        others = eligible - len(self._attempts.tried) - 1
        fail_fast = self._attempts.should_fail_fast(others, len(self._request.body))
        if self._loop_timer is None:
            # An earlier answer has broken off on its way.
            self._start_timer()
        call = self._call(server, fail_fast, now)
        forwarder.selector.record_sent(server, self._rank)
        attempt = ServerAttempt(self, server, fail_fast)
        self._open_attempts.append(attempt)
        if server.host == forwarder.fleet_view.host:
            cancel = forwarder.executor.submit(call, attempt)
        else:
            cancel = forwarder.peers.call(server.host, call, attempt)
        # The outcome may have arrived before the call above returned, and may have
        # started another attempt.
        if attempt.is_open:
            attempt.cancel = cancel
            self._schedule_hedge(attempt, now)

    def _schedule_hedge(self, attempt: ServerAttempt, now: float) -> None:
        """Schedule a hedged attempt, in case the server stays silent."""
        if not self._entry.route.idempotent:
            return
        times = self._forwarder.route_times
        hedge_delay = times.hedge_delay(self._entry.route.name, self._deadline - now)
        if hedge_delay is not None:
            loop = asyncio.get_running_loop()
            attempt.hedge_timer = loop.call_later(hedge_delay, self._hedge, attempt)

    def _hedge(self, attempt: ServerAttempt) -> None:
        """Send the request to a second server; the first answer counts."""
        attempt.hedge_timer = None
        if not attempt.is_open or len(self._open_attempts) > 1:
            return
        self._attempts.tried.add(attempt.server.id)
        eligible = self._eligible_servers()
        server = self._choose(eligible)
        if server is None:
            return
        attempt.hedged = True
        self._attempts.record_run()
        if not self._attempts.may_repeat(self._forwarder.clock()):
            return
        self._forwarder.counters.add("silent_servers")
        if self._forwarder.log.wants_line():
            self._log("request sent again", reason="silent", silent=attempt.server.id)
        self._send_to(server, len(eligible))

    def _call(self, server: BackendServer, fail_fast: bool, now: float) -> Call:
        request = self._request
        outgoing, holder = self._outgoing, self._holder
        lineage, root_remaining = self._lineage, 0
        if lineage.root_deadline > now:
            root_remaining = int(1000 * (lineage.root_deadline - now) + 0.5)
        return Call(
            0,
            server.id,
            request.request_id,
            outgoing.head_for(server.id),
            request.body,
            request.method == b"HEAD",
            self._entry.route.idempotent,
            self._deadline - now,
            self._target - now,
            self._priority,
            self._is_call,
            self._entry.route.name,
            holder.digest if holder is not None else b"",
            outgoing.fingerprint,
            self._attempts.repeat_share,
            fail_fast,
            self._forwarder.selector.rate_limit_of(server) or 0,
            lineage.rank,
            lineage.team,
            root_remaining,
            self._waited_ms(now),
        )

    def _waited_ms(self, now: float) -> int:
        """Milliseconds since this request of a caller was first refused."""
        if self._return is None:
            return 0
        return max(1, round(1000 * (now - self._return.refused_at)))

    def answer_started(self, attempt: ServerAttempt) -> None:
        """Deliver an answer that is on its way even after the deadline."""
        if self._loop_timer is not None:
            self._loop_timer.cancel()
            self._loop_timer = None

    def answered(
        self,
        attempt: ServerAttempt,
        status: int,
        head: bytes,
        body: bytes | BodySource,
        load: Load,
    ) -> None:
        """Return the answer to the caller, or try again if that may help."""
        self._record_attempt_end(attempt, load, failed=status >= 500)
        repeatable = status in (500, 502, 503) and (
            self._is_outlier(attempt.server) or self._should_repeat_chain()
        )
        if self._inference is not NO_INFERENCE:
            forwarder = self._forwarder
            forwarder.call_outcomes.record(self._entry.route.name, status < 500)
        if not attempt.hedged:
            self._attempts.record_run()
        if status >= 500 and self._open_attempts:
            self._keep_fallback(status, head, body)
            return
        if repeatable and self._attempts.may_repeat(self._forwarder.clock()):
            self._keep_fallback(status, head, body)
            self._send()
            return
        self._respond(status, head, body)

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

    def _should_repeat_chain(self) -> bool:
        """Whether to repeat a call of an important chain that failed further below.

        A repeat makes the calls below once more, so it is worth its cost only if such
        calls often end well and there is time for a whole run.
        """
        forwarder = self._forwarder
        if not forwarder.chain_control or not self._is_call:
            return False
        now, route = forwarder.clock(), self._entry.route.name
        if not self._attempts.outranks_others(now):
            return False
        often_good = forwarder.call_outcomes.success_share(route) >= MIN_REPEAT_SUCCESS
        return often_good and not forwarder.route_times.is_tight(
            route, self._deadline - now
        )

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

    def refused(
        self,
        attempt: ServerAttempt,
        reason: Reason,
        wait: float,
        arrived: bool,
        load: Load | None,
    ) -> None:
        """Try another server, as this one has not run the request."""
        server = attempt.server
        self._record_attempt_end(attempt, load, failed=None)
        forwarder, attempts = self._forwarder, self._attempts
        now = forwarder.clock()
        if reason is Reason.CONNECT_FAILED:
            forwarder.selector.eject(server, EJECTION_SECONDS, now)
        if reason is Reason.OVERLOADED and not arrived and not attempt.fail_fast:
            forwarder.selector.record_refusal(server, self._rank, now)
        if reason is Reason.KEY_WITHDRAWN:
            # One of the two nodes has an older configuration; which of them is unknown.
            reason, wait = Reason.BELIEF_TOO_OLD, MISSING_CONFIGURATION_RETRY_SECONDS
        if reason is Reason.ZONE_EVACUATED:
            # The whole zone is passed over from now on, so this spends no refusal.
            forwarder.counters.add("evacuated_zone_refusals")
            forwarder.eligibility.record_refused_zone(server.zone)
        else:
            by_room = reason in (Reason.OVERLOADED, Reason.CONNECT_FAILED)
            warmup_left = load.warmup_left if load is not None and by_room else 0.0
            by_limit = warmup_left > 0 or (load is not None and load.rate_wait > 0)
            attempts.record_refusal(wait, arrived, by_limit, warmup_left)
        if self._open_attempts:
            return
        if reason is Reason.QUARANTINED:
            self._refuse(reason, 0.0)
        elif reason is Reason.CHAIN_STRESSED:
            # Other servers depend on the same services further below.
            self._refuse(reason, wait)
        elif attempts.may_try_elsewhere(arrived, now):
            self._send()
        else:
            self._refuse(reason, attempts.wait)

    def failed(self, attempt: ServerAttempt, reason: Reason, load: Load | None) -> None:
        """Try again if the request may run twice, else report an unknown outcome."""
        self._record_attempt_end(attempt, load, failed=True)
        forwarder = self._forwarder
        if reason is Reason.BACKEND_SERVER_LOST:
            forwarder.selector.eject(
                attempt.server, EJECTION_SECONDS, forwarder.clock()
            )
        if not attempt.hedged:
            self._attempts.record_run()
        if self._open_attempts:
            return
        if self._attempts.may_repeat(forwarder.clock()):
            self._send()
            return
        self._refuse(reason, 0.0)

    def _record_attempt_end(
        self, attempt: ServerAttempt, load: Load | None, failed: bool | None
    ) -> None:
        """Record the end of an attempt and the load that came with it."""
        attempt.close()
        self._open_attempts.remove(attempt)
        server, forwarder = attempt.server, self._forwarder
        forwarder.selector.record_end(server, failed)
        if load is not None:
            now = forwarder.clock()
            forwarder.selector.record_load(
                server, load, now, self._rank, self._entry.route.name
            )
            forwarder.loads.record_answer(server, load, now)
            if load.leaving:
                announcements = forwarder.fleet_view.leaving_announcements
                announcements.record(server.id, server.started)
            forwarder.depths.record_reported_depth(self._service, load.depth, now)
            if forwarder.chain_control:
                self._record_pressure(load, now)
        self._attempts.tried.add(server.id)

    def _record_pressure(self, load: Load, now: float) -> None:
        """Record what an answer says of the services further below."""
        pressure = unpack_pressure(load.pressure)
        if pressure:
            self._chain_service = max(pressure, key=lambda e: e.calls * e.fail).service
        if self._is_call:
            self._forwarder.executor.chains.record_statement(
                self._entry.route.name, self._service, pressure, now
            )

    def _record_call_end(self, lost: bool, denied: bool) -> None:
        """Record the end of a call for the pressure on its service."""
        forwarder = self._forwarder
        if forwarder.chain_control and self._service and self._is_call:
            forwarder.executor.chains.record_outcome(
                self._entry.route.name, lost, denied, forwarder.clock()
            )

    def _is_outlier(self, server: BackendServer) -> bool:
        servers = self._forwarder.fleet_view.directory.of_service(self._service)
        return self._forwarder.selector.is_outlier(server, servers)

    def _timed_out(self) -> None:
        self._cancel_attempts()
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
        self._request.on_disconnect = None
        if self._loop_timer is not None:
            self._loop_timer.cancel()
            self._loop_timer = None

    def _remaining_permits(self) -> float | None:
        """Permits that the request's team has on this host; None without a limit."""
        if self._holder is None:
            return None
        return self._forwarder.permits.level(self._holder.team)

    def _log(self, event: str, **fields: object) -> None:
        forwarder, request = self._forwarder, self._request
        fleet_view = forwarder.fleet_view
        route = self._entry.route.name if self._entry is not None else ""
        if self._inference is not NO_INFERENCE:
            fields["lineage"] = self._inference.confidence.value
            fields["root_rank"] = self._inference.lineage.rank
            fields["root_team"] = self._inference.lineage.team
        forwarder.log.write(
            event,
            request_id=request.request_id.decode("latin-1"),
            route=route,
            service=self._service,
            team=self._holder.team.name if self._holder is not None else "",
            permits=self._remaining_permits(),
            servers=len(fleet_view.directory.of_service(self._service)),
            tried=sorted(self._attempts.tried),
            arrivals=self._attempts.arrivals,
            version=fleet_view.version,
            age_seconds=round(fleet_view.freshness.age, 3),
            took_seconds=round(forwarder.clock() - request.started, 4),
            **fields,
        )
