"""Copies of claims on a second node of the zone, and the fence that they are."""

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

COPY_SECONDS = 0.5
COPY_CANDIDATES = 3


class ClaimCopies:
    """Keeps copies for other homes and sends those of this one.

    Parameters
    ----------
    host : HostId
        This host.
    ownership : Ownership
        Owners inside the zone.
    ranges : RangeHistory
        Ranges that this node owns.
    claims : ClaimTable
        Claims made here.
    kept : ClaimTable of Owner
        Copies kept here, with the homes that made the claims.
    messages : HomeMessages
        Way to the other nodes.
    """

    def __init__(
        self,
        host: HostId,
        ownership: Ownership,
        ranges: RangeHistory,
        claims: ClaimTable[Reply],
        kept: ClaimTable[Owner],
        messages: HomeMessages,
    ) -> None:
        self._host = host
        self._ownership = ownership
        self._ranges = ranges
        self._claims = claims
        self._kept = kept
        self._messages = messages

    def keep(self, copy: ClaimCopy) -> CopyResult:
        """Keep a copy of another home's claim.

        A home that acts on old beliefs is stopped here: this node has acknowledged
        the newer owner of the range.
        """
        if not self._ownership.active:
            return CopyResult.LOST
        if not self._ownership.may_release(resource_of(copy.key), copy.home):
            return CopyResult.FENCED
        if self._claims.get(copy.key) is not None:
            return CopyResult.KNOWN
        if self._kept.get(copy.key) is not None:
            same = self._kept.answer(copy.key) == copy.home
            return CopyResult.KEPT if same else CopyResult.KNOWN
        if copy.probe:
            return CopyResult.KEPT
        if self._kept.full:
            return CopyResult.LOST
        self._kept.claim(copy.key, copy.fingerprint)
        self._kept.settle(copy.key, ClaimState.UNKNOWN, copy.home)
        return CopyResult.KEPT

    async def send(self, copy: ClaimCopy, first_attempt: bool = False) -> Reply | None:
        """Copy a claim to the next node in rank.

        Returns
        -------
        Reply or None
            The refusal where the claim must not be released.
        """
        result = await self._send(copy)
        if result is CopyResult.FENCED:
            # A newer owner may already have released it.
            return unreachable(first_attempt=False)
        if result is CopyResult.KNOWN:
            return Reply.unknown(Reason.HISTORY_LOST, "claimed by a home that is gone")
        if result is CopyResult.LOST or self._ranges.owned_since(copy.key) is None:
            return unreachable(first_attempt)
        return None

    async def _send(self, copy: ClaimCopy) -> CopyResult:
        ranked = self._ownership.successors(resource_of(copy.key), COPY_CANDIDATES)
        others = [owner for owner in ranked if owner.host != self._host]
        if not others:
            return CopyResult.KEPT
        for owner in others:
            result = await self._messages.copy(owner.peer, copy, COPY_SECONDS)
            if result is not CopyResult.LOST:
                return result
        return CopyResult.LOST
