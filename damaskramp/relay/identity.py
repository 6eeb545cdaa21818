"""Identification of the team that sent a request, by the key in the request."""

from damaskramp.core import Reason
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.fleet_view import FleetView, KeyHolder

__all__ = ["identify"]


def identify(
    fleet_view: FleetView, request: CallerRequest, public: bool, scheme: bytes
) -> KeyHolder | Reason | None:
    """Find the holder of the request's key, or why the request may not run.

    This runs for each request, and making a `Result` takes 3 % of a node's time for it.

    Parameters
    ----------
    public : bool
        Whether the route takes requests without a key.
    scheme : bytes
        Word that precedes the key in its header field.

    Returns
    -------
    KeyHolder, Reason or None
        The holder, None if no key is needed, or the reason of the refusal.
    """
    configuration = fleet_view.configuration
    needs_key = configuration.needs_keys
    if not needs_key or not request.has_key:
        return Reason.KEY_MISSING if needs_key and not public else None
    holder = None
    key = request.key
    if key[: len(scheme)].lower() == scheme.lower():
        holder = fleet_view.find_key_holder(key[len(scheme) :].strip())
    if holder is None:
        if public:
            return None
        if not configuration.keys_complete:
            return Reason.CONFIGURATION_UNREADABLE
        return Reason.KEY_UNKNOWN
    if not fleet_view.keys_usable:
        return Reason.BELIEF_TOO_OLD
    if not holder.team.usable:
        return Reason.CONFIGURATION_UNREADABLE
    return holder
