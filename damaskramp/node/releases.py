"""The executing node's own check before a non-idempotent call is released."""

from damaskramp.core import HostId, Reason
from damaskramp.dedup import ExecutionLedger, resource_of
from damaskramp.node.calls import CallContext, Reply
from damaskramp.ownership import Owner, Ownership

__all__ = ["ReleaseGuard"]

FULL_HINT_SECONDS = 1.0


class ReleaseGuard:
    """Lets a claimed call through once, and only for the home that may release it.

    Parameters
    ----------
    zone : str
        Zone of this node; homes of other zones are beyond its ownership.
    ledger : ExecutionLedger
        Record of releases on this host.
    ownership : Ownership
        Owners inside the zone.
    """

    def __init__(
        self, zone: str, ledger: ExecutionLedger, ownership: Ownership
    ) -> None:
        self._zone = zone
        self._ledger = ledger
        self._ownership = ownership

    def begin(self, context: CallContext) -> Reply | None:
        """Record a release before its first byte; the refusal where it may not be."""
        if context.idempotent:
            return None
        if not context.claim:
            return Reply.not_run(Reason.BAD_REQUEST, detail="no claim, no release")
        if self._ledger.released(context.claim):
            return Reply.unknown(Reason.ANSWER_LOST, "released here before")
        if self._is_beyond_own_word(context):
            # Not active yet, this node does not know whom it has to refuse.
            return Reply.not_run(Reason.NO_BACKEND_SERVER, FULL_HINT_SECONDS)
        if not self._home_may_release(context):
            # The newer home may have released it already.
            return Reply.unknown(Reason.HISTORY_LOST, "released by a former home")
        if self._ledger.full:
            return Reply.not_run(Reason.OVERLOADED, FULL_HINT_SECONDS)
        self._ledger.record(context.claim)
        return None

    def end(self, context: CallContext, ran: bool) -> None:
        """Record the end of a release."""
        if not context.idempotent:
            self._ledger.end(context.claim, ran)

    def _is_beyond_own_word(self, context: CallContext) -> bool:
        return context.home.zone == self._zone and not self._ownership.active

    def _home_may_release(self, context: CallContext) -> bool:
        home = context.home
        if home.zone != self._zone:
            return True
        releaser = Owner(HostId(home.host), home.incarnation, "")
        return self._ownership.may_release(resource_of(context.claim), releaser)
