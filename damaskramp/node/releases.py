"""Check by the executing node before it releases a non-idempotent call."""

from damaskramp.core import HostId, Reason
from damaskramp.dedup import ExecutionLedger, resource_of
from damaskramp.node.calls import CallContext, Reply
from damaskramp.ownership import Owner, Ownership

__all__ = ["ReleaseGuard"]

RETRY_AFTER_SECONDS = 1.0


class ReleaseGuard:
    """Guard that releases a claimed call at most once, and only for its current home.

    Parameters
    ----------
    zone : str
        Zone of this node. Its ownership does not cover homes of other zones, so
        their calls are released without a check of the home.
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
        """Record a release before its first byte is sent.

        Returns
        -------
        Reply or None
            None if the call may be released, else the refusal.
        """
        if context.idempotent:
            return None
        if not context.claim:
            return Reply.not_run(Reason.BAD_REQUEST, detail="no claim, no release")
        if self._ledger.released(context.claim):
            return Reply.unknown(Reason.ANSWER_LOST, "released here before")
        if self._is_ownership_unknown(context):
            # Until its ownership is active, this node can't tell a current home from
            # a former one that it has to refuse.
            return Reply.not_run(Reason.NO_BACKEND_SERVER, RETRY_AFTER_SECONDS)
        if not self._home_may_release(context):
            # The newer home may have released the call already.
            return Reply.unknown(Reason.HISTORY_LOST, "released by a former home")
        if self._ledger.full:
            return Reply.not_run(Reason.OVERLOADED, RETRY_AFTER_SECONDS)
        self._ledger.record(context.claim)
        return None

    def end(self, context: CallContext, ran: bool) -> None:
        """Record the end of a release, and whether the call ran."""
        if not context.idempotent:
            self._ledger.end(context.claim, ran)

    def _is_ownership_unknown(self, context: CallContext) -> bool:
        return context.home.zone == self._zone and not self._ownership.active

    def _home_may_release(self, context: CallContext) -> bool:
        home = context.home
        if home.zone != self._zone:
            return True
        releaser = Owner(HostId(home.host), home.incarnation, "")
        return self._ownership.may_release(resource_of(context.claim), releaser)
