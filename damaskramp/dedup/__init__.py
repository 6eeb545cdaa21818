"""At-most-once execution: request ids, claims and their retention."""

from damaskramp.dedup.accounting import Standing, may_release_own_id
from damaskramp.dedup.claims import Claim, ClaimState, ClaimTable
from damaskramp.dedup.executions import ExecutionLedger
from damaskramp.dedup.ranges import RangeHistory, thing_of
from damaskramp.dedup.request_ids import (
    ClaimKey,
    IdMint,
    IssuedId,
    OwnId,
    claim_key,
    fingerprint,
    parse_request_id,
    uuid7_seconds,
)
from damaskramp.dedup.zones import HomeZones

__all__ = [
    "Claim",
    "ClaimKey",
    "ClaimState",
    "ClaimTable",
    "ExecutionLedger",
    "HomeZones",
    "IdMint",
    "IssuedId",
    "OwnId",
    "RangeHistory",
    "Standing",
    "claim_key",
    "fingerprint",
    "may_release_own_id",
    "parse_request_id",
    "thing_of",
    "uuid7_seconds",
]
