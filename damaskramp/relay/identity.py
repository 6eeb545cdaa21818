"""Identification of the team that sent a request, by the key in the request."""

from expression import Error, Ok, Result

from damaskramp.core import Reason
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.fleet_view import FleetView, KeyHolder

__all__ = ["identify"]


def identify(
    fleet_view: FleetView, request: CallerRequest, public: bool, scheme: bytes
) -> Result[KeyHolder | None, Reason]:
    """Find the holder of the request's key, or why the request may not run.

    Parameters
    ----------
    public : bool
        Whether the route takes requests without a key.
    scheme : bytes
        Word that precedes the key in its header field.

    Returns
    -------
    Result
        The holder, None if no key is needed, or the reason of the refusal.
    """
    configuration = fleet_view.configuration
    needs_key = configuration.needs_keys
    if not needs_key or not request.has_key:
        return Error(Reason.KEY_MISSING) if needs_key and not public else Ok(None)
    holder = None
    key = request.key
    if key[: len(scheme)].lower() == scheme.lower():
        holder = fleet_view.find_key_holder(key[len(scheme) :].strip())
    if holder is None:
        if public:
            return Ok(None)
        if not configuration.keys_complete:
            return Error(Reason.CONFIGURATION_UNREADABLE)
        return Error(Reason.KEY_UNKNOWN)
    if not fleet_view.keys_usable:
        return Error(Reason.BELIEF_TOO_OLD)
    if not holder.team.usable:
        return Error(Reason.CONFIGURATION_UNREADABLE)
    return Ok(holder)
