"""Attempts of one caller's request at backend servers, and what their outcomes mean."""

import asyncio

from damaskramp.core import Reason
from damaskramp.dispatch import NO_INFERENCE, Load, unpack_pressure
from damaskramp.fleet import BackendServer
from damaskramp.relay.body_source import BodySource
from damaskramp.relay.request_answer import (
    MISSING_CONFIGURATION_RETRY_SECONDS,
    RequestAnswer,
)
from damaskramp.relay.server_attempt import AttemptOwner, ServerAttempt

__all__ = ["RequestAttempts"]

MIN_NO_SERVER_RETRY_SECONDS = 0.02
"""Shortest retry-after, in seconds, where the request could be sent to no server."""

EJECTION_SECONDS = 0.3
"""Ejection time, in seconds, of a server that could not be reached. It is the time in
which a broken link is opened again."""

MIN_REPEAT_SUCCESS = 0.3
"""Share of the calls of a route that must end well for one that failed below to be
repeated. A call that makes four others costs about four repeats below, and a service
that is asked once more in vain gives them away."""


class RequestAttempts(RequestAnswer, AttemptOwner):
    """Request that is sent to one server after another.

    It may have attempts at two servers at once if the first one stays silent.
    """

    __slots__ = ()

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
            self._send_to(server, eligible)
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

    def _send_to(self, server: BackendServer, eligible: list[BackendServer]) -> None:
        """Send the request to one of the eligible servers."""
        forwarder, attempts = self._forwarder, self._attempts
        now = forwarder.clock()
        others = len(eligible) - len(attempts.tried) - 1
        fail_fast = attempts.should_fail_fast(
            others, len(self._request.body)
        ) and not forwarder.selector.has_only_room(
            server, eligible, attempts.tried, self._rank, now
        )
        if self._loop_timer is None:
            # An earlier answer has broken off on its way.
            self._start_timer()
        call = self._call(server, fail_fast, now)
        forwarder.selector.record_sent(server, self._rank)
        attempt = ServerAttempt(self, server, fail_fast)
        self._open_attempts.append(attempt)
        if server.host == forwarder.fleet_view.host:
            cancel = forwarder.executor.submit(call, attempt).cancel
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
        self._send_to(server, eligible)

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

    def _is_outlier(self, server: BackendServer) -> bool:
        servers = self._forwarder.fleet_view.directory.of_service(self._service)
        return self._forwarder.selector.is_outlier(server, servers)
