"""Which team a request comes from, by the key that it carries."""

from expression import Error, Ok, Result

from damaskramp.core import Reason
from damaskramp.relay.beliefs import Beliefs, KeyHolder
from damaskramp.relay.caller_request import CallerRequest

__all__ = ["identify"]


def identify(
    beliefs: Beliefs, request: CallerRequest, public: bool, scheme: bytes
) -> Result[KeyHolder | None, Reason]:
    """Holder of the request's key, or why the request may not run.

    Parameters
    ----------
    public : bool
        Whether the route takes requests without a key.
    scheme : bytes
        Word before the key in its header field.

    Returns
    -------
    Result
        The holder; None where no key is needed.
    """
    configuration = beliefs.configuration
    needs_key = configuration.needs_keys
    if not needs_key or not request.keyed:
        return Error(Reason.KEY_MISSING) if needs_key and not public else Ok(None)
    holder = None
    key = request.key
    if key[: len(scheme)].lower() == scheme.lower():
        holder = beliefs.key(key[len(scheme) :].strip())
    if holder is None:
        if public:
            return Ok(None)
        if not configuration.keys_complete:
            return Error(Reason.CONFIGURATION_UNREADABLE)
        return Error(Reason.KEY_UNKNOWN)
    if not beliefs.keys_usable:
        return Error(Reason.BELIEF_TOO_OLD)
    if not holder.team.usable:
        return Error(Reason.CONFIGURATION_UNREADABLE)
    return Ok(holder)
