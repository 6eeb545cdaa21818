"""Last checks of a call before it is sent to the backend server on this host."""

from damaskramp.core import Reason
from damaskramp.dispatch import Eligibility
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import Call

__all__ = ["CallChecks"]


class CallChecks:
    """Checks of calls against what is known of the fleet.

    Attributes
    ----------
    leaving : bool
        Whether calls are refused because the node stops.
    """

    def __init__(self, fleet_view: FleetView, eligibility: Eligibility) -> None:
        self._fleet_view = fleet_view
        self._eligibility = eligibility
        self.leaving = False

    def find_refusal_reason(self, call: Call, now: float) -> Reason | None:
        """Find why a call may not be run; None if it may."""
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
