"""Copies of claims on a second node of the zone, which fence off former homes."""

from damaskramp.core import HostId, Reason
from damaskramp.dedup import ClaimState, ClaimTable, RangeHistory, resource_of
from damaskramp.node.calls import Reply
from damaskramp.node.home_messages import (
    ClaimCopy,
    CopyResult,
    HomeMessages,
    unreachable,
)
from damaskramp.ownership import Owner, Ownership

__all__ = ["ClaimCopies"]

COPY_TIMEOUT_SECONDS = 0.5
MAX_COPY_CANDIDATES = 3


class ClaimCopies:
    """Keeps copies of other homes' claims and sends copies of this home's claims.

    Parameters
    ----------
    host : HostId
        This host.
    ownership : Ownership
        Owners of resources within the zone.
    ranges : RangeHistory
        Ranges that this node owns.
    claims : ClaimTable
        Claims made at this node.
    copies : ClaimTable of Owner
        Copies kept at this node, with the homes that made the claims.
    messages : HomeMessages
        Messages to the other nodes.
    """

    def __init__(
        self,
        host: HostId,
        ownership: Ownership,
        ranges: RangeHistory,
        claims: ClaimTable[Reply],
        copies: ClaimTable[Owner],
        messages: HomeMessages,
    ) -> None:
        self._host = host
        self._ownership = ownership
        self._ranges = ranges
        self._claims = claims
        self._copies = copies
        self._messages = messages

    def keep(self, copy: ClaimCopy) -> CopyResult:
        """Keep a copy of another home's claim.

        A home with an outdated view of ownership is fenced off here, because this
        node has acknowledged the newer owner of the range.
        """
        if not self._ownership.active:
            return CopyResult.LOST
        if not self._ownership.may_release(resource_of(copy.key), copy.home):
            return CopyResult.FENCED
        if self._claims.get(copy.key) is not None:
            return CopyResult.KNOWN
        if self._copies.get(copy.key) is not None:
            same_home = self._copies.answer(copy.key) == copy.home
            return CopyResult.KEPT if same_home else CopyResult.KNOWN
        if copy.probe:
            return CopyResult.KEPT
        if self._copies.full:
            return CopyResult.LOST
        self._copies.claim(copy.key, copy.fingerprint)
        self._copies.settle(copy.key, ClaimState.UNKNOWN, copy.home)
        return CopyResult.KEPT

    async def send(self, copy: ClaimCopy, first_attempt: bool = False) -> Reply | None:
        """Copy a claim to the next node in rank.

        Returns
        -------
        Reply or None
            Refusal if the claim must not be released, else None.
        """
        result = await self._send(copy)
        if result is CopyResult.FENCED:
            # A newer owner may already have released the call.
            return unreachable(first_attempt=False)
        if result is CopyResult.KNOWN:
            return Reply.unknown(Reason.HISTORY_LOST, "claimed by a home that is gone")
        if result is CopyResult.LOST or self._ranges.owned_since(copy.key) is None:
            return unreachable(first_attempt)
        return None

    async def _send(self, copy: ClaimCopy) -> CopyResult:
        ranked = self._ownership.successors(resource_of(copy.key), MAX_COPY_CANDIDATES)
        others = [owner for owner in ranked if owner.host != self._host]
        if not others:
            return CopyResult.KEPT
        for owner in others:
            result = await self._messages.copy(owner.peer, copy, COPY_TIMEOUT_SECONDS)
            if result is not CopyResult.LOST:
                return result
        return CopyResult.LOST
