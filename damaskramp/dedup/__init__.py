"""At-most-once execution by request ids and claims kept for a retention time."""

from damaskramp.dedup.accounting import HistoryCoverage, may_release_own_id
from damaskramp.dedup.claims import Claim, ClaimState, ClaimTable
from damaskramp.dedup.executions import ExecutionLedger
from damaskramp.dedup.ranges import RangeHistory, resource_of
from damaskramp.dedup.request_ids import (
    ClaimKey,
    IssuedId,
    OwnId,
    RequestIdIssuer,
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
    "HistoryCoverage",
    "HomeZones",
    "IssuedId",
    "OwnId",
    "RangeHistory",
    "RequestIdIssuer",
    "claim_key",
    "fingerprint",
    "may_release_own_id",
    "parse_request_id",
    "resource_of",
    "uuid7_seconds",
]
