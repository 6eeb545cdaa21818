"""Start of a caller's request whose turn has come."""

import logging

from damaskramp.core import Outcome, Reason
from damaskramp.relay.caller_context import CallerContext
from damaskramp.relay.caller_memory import ClientHolder
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.request_charges import RequestCharges

__all__ = ["RequestStarter"]

LOGGER = logging.getLogger(__name__)

ANSWERS_RETRY_SECONDS = 1.0
"""Retry-after, in seconds, of requests that are refused because too many answers are
unread. Callers that read nothing are closed at once while memory is short."""


class RequestStarter:
    """Hands requests of one connection on, and answers those that can't run."""

    def __init__(self, context: CallerContext, charges: RequestCharges) -> None:
        self._context = context
        self._charges = charges

    def start(self, request: CallerRequest, connection: ClientHolder) -> None:
        """Hand a request on, or answer it.

        Parameters
        ----------
        connection : ClientHolder
            Connection that needs memory for the answer. A reference to it that is kept
            here would be a cycle, which keeps closed connections until the collector
            runs.
        """
        if request.error_status:
            request.reject(request.error_status)
            return
        context = self._context
        if not (
            self._charges.reserve_run(request) and context.memory.may_begin(connection)
        ):
            request.refuse(Reason.OVERLOADED, Outcome.NOT_RUN, ANSWERS_RETRY_SECONDS)
            return
        try:
            context.handler.handle(request)
        except Exception:
            # A failed request must not affect others or leave its caller waiting.
            LOGGER.exception("request failed unexpectedly")
            context.counters.add("unexpected_errors")
            request.closes_connection = True
            request.respond_plain(502, Reason.NONE, Outcome.UNKNOWN)
