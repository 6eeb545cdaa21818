"""Forwarding of callers' requests to backend servers."""

from damaskramp.relay.caller_request import CallerRequest, RequestHandler
from damaskramp.relay.forwarded_request import ForwardedRequest
from damaskramp.relay.forwarding_state import ForwardingState

__all__ = ["Forwarder"]


class Forwarder(ForwardingState, RequestHandler):
    """Handler of callers' requests, with the state that they all share."""

    def handle(self, request: CallerRequest) -> None:
        """Forward a complete request."""
        ForwardedRequest(self, request).start()
