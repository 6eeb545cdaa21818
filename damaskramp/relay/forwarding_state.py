"""State shared by all requests that a node forwards to backend servers."""

import random
from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import (
    CallOutcomes,
    Eligibility,
    LoadExchange,
    PlacementSettings,
    RefusedCallers,
    RetryBudget,
    RouteTimes,
    ServerSelector,
)
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.execution import Executor
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.headers import HeaderNames
from damaskramp.relay.outgoing import OutgoingHeaders
from damaskramp.relay.peers import Peers
from damaskramp.relay.permits import Permits

__all__ = ["MIN_STOP_RETRY_SECONDS", "ForwardingState"]


MIN_STOP_RETRY_SECONDS = 0.1
"""Shortest time, in seconds, after which a caller is told to come again when a node
stops."""


class ForwardingState:
    """State that all requests of callers share.

    Attributes
    ----------
    stops_at : float or None
        Clock time in seconds at which open requests get their final answers because
        the node stops; None while it does not.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        selector: ServerSelector,
        budget: RetryBudget,
        permits: Permits,
        executor: Executor,
        peers: Peers,
        header_names: HeaderNames,
        clock: Callable[[], float],
        counters: Counters,
        log: DecisionLog,
        random_source: random.Random,
        eligibility: Eligibility,
        loads: LoadExchange,
    ) -> None:
        self.fleet_view = fleet_view
        self.eligibility = eligibility
        self.loads = loads
        self.selector = selector
        self.budget = budget
        self.permits = permits
        self.executor = executor
        self.peers = peers
        self.headers = OutgoingHeaders(header_names, fleet_view.service)
        self.key_scheme = header_names.key_scheme
        self.clock = clock
        self.counters = counters
        self.log = log
        self.random = random_source
        self.route_times = RouteTimes()
        self.depths = executor.depths
        self.placement = PlacementSettings()
        self.chain_control = False
        self.call_outcomes = CallOutcomes()
        self.refused_callers = RefusedCallers()
        self.stops_at: float | None = None

    def use_chain_control(self) -> None:
        """Treat calls by what is known of the roots of their chains."""
        self.chain_control = self.executor.chain_control = True

    def announce_stop(self, stops_at: float) -> None:
        """Refuse requests that may still run when the node stops.

        Parameters
        ----------
        stops_at : float
            Clock time in seconds at which open requests get their final answers.
        """
        self.stops_at = stops_at

    def wait_for_stop(self, route: str, deadline: float, is_call: bool) -> float | None:
        """Seconds until the node stops, if a new request may outlast it; else None.

        A call belongs to a request that already runs, so only one that usually takes
        as long is refused.

        Parameters
        ----------
        deadline : float
            Clock time in seconds after which nobody waits for the answer.
        """
        if self.stops_at is None or deadline <= self.stops_at:
            return None
        remaining = self.stops_at - self.clock()
        if is_call and not self.route_times.is_tight(route, remaining):
            return None
        return max(remaining, MIN_STOP_RETRY_SECONDS)
