"""What is known of one caller's request, from its route and key to its lineage."""

from damaskramp.dispatch import (
    NO_INFERENCE,
    UNKNOWN_LINEAGE,
    Attempts,
    Confidence,
    Inference,
    Return,
    RouteEntry,
)
from damaskramp.fleet import BackendServer, RegionName
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.fleet_view import KeyHolder
from damaskramp.relay.forwarding_state import ForwardingState
from damaskramp.relay.messages import Call
from damaskramp.relay.outgoing import OutgoingRequest

__all__ = ["RequestRecord"]

CALL_RANK_STEP = 1 / 1024
"""Difference in rank between calls whose roots differ by one in priority. All calls go
before new requests, which have ranks from 1."""


class RequestRecord:
    """What is known of one caller's request.

    Most of it is found when the request is checked and admitted.
    """

    __slots__ = (
        "_attempts",
        "_deadline",
        "_entry",
        "_forwarder",
        "_holder",
        "_homes",
        "_inference",
        "_is_call",
        "_lineage",
        "_outgoing",
        "_priority",
        "_rank",
        "_request",
        "_return",
        "_service",
        "_target",
    )

    def __init__(self, forwarder: ForwardingState, request: CallerRequest) -> None:
        self._forwarder = forwarder
        self._request = request
        self._attempts = Attempts(
            forwarder.budget, forwarder.depths, forwarder.counters
        )
        self._entry: RouteEntry | None = None
        self._holder: KeyHolder | None = None
        self._homes: list[frozenset[RegionName]] = []
        self._inference = NO_INFERENCE
        self._is_call = False
        self._lineage = UNKNOWN_LINEAGE
        self._return: Return | None = None
        self._service = ""
        self._outgoing: OutgoingRequest | None = None
        self._deadline = 0.0
        self._target = 0.0
        self._priority = 0
        self._rank = 0.0

    def _infer_lineage(self) -> Inference:
        """Infer which running request of this host's server has made this call."""
        forwarder, request = self._forwarder, self._request
        stated_ms = request.deadline_ms
        # The route's own timeout may be shorter than the time that the call states.
        deadline = None if stated_ms is None else request.started + stated_ms / 1000
        inference = forwarder.executor.running_requests.infer(
            self._entry.route.name, deadline, stated_ms
        )
        found = ("unmatched", "matched", "ambiguous")[min(inference.matches, 2)]
        forwarder.counters.add("lineage", reason=found)
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
