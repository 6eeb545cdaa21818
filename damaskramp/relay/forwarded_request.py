"""Forwarding of one caller's request to backend servers, and of the answer back."""

from damaskramp.core import Reason
from damaskramp.dispatch import Lineage, RefusalBudget
from damaskramp.relay.identity import identify
from damaskramp.relay.outgoing import OutgoingRequest
from damaskramp.relay.request_answer import MISSING_CONFIGURATION_RETRY_SECONDS
from damaskramp.relay.request_attempts import RequestAttempts

__all__ = ["ForwardedRequest"]

MAX_REJECTION_AGE_SECONDS = 1.5
"""Age of the configuration, in seconds, from which a key or route that it lacks may
have been added since. Changes take well under a second to arrive where the platform can
be reached."""


class ForwardedRequest(RequestAttempts):
    """One caller's request, from its check to the answer."""

    __slots__ = ()

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
        request.on_stop = self._limit_deadline
        self._start_timer()
        if forwarder.stops_at is not None:
            self._limit_deadline(forwarder.stops_at)
        if self._holder is not None:
            team = self._holder.team
            forwarder.permits.admit(team, self._on_admission)
        else:
            self._on_admission(True)

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
