"""Types that the other packages share: ids, outcomes, findings, counters, timers."""

from damaskramp.core.blackboard import Blackboard, Section
from damaskramp.core.byte_budget import ByteBudget
from damaskramp.core.counters import Counters
from damaskramp.core.durations import parse_seconds
from damaskramp.core.findings import (
    Finding,
    Findings,
    FindingsError,
    Place,
    Severity,
)
from damaskramp.core.ids import (
    BundleVersion,
    HostId,
    Incarnation,
    KeyDigest,
    RequestId,
    ServiceName,
    TeamId,
    ZoneName,
)
from damaskramp.core.memory_account import (
    MemoryAccount,
    MemoryHolder,
    MemoryShare,
    worst_holders,
)
from damaskramp.core.outcomes import STATUS_BY_REASON, Outcome, Reason
from damaskramp.core.randomness import host_generator
from damaskramp.core.timers import LoopTimers, TimerHandle, TimerService, VirtualTimers

__all__ = [
    "STATUS_BY_REASON",
    "Blackboard",
    "BundleVersion",
    "ByteBudget",
    "Counters",
    "Finding",
    "Findings",
    "FindingsError",
    "HostId",
    "Incarnation",
    "KeyDigest",
    "LoopTimers",
    "MemoryAccount",
    "MemoryHolder",
    "MemoryShare",
    "Outcome",
    "Place",
    "Reason",
    "RequestId",
    "Section",
    "ServiceName",
    "Severity",
    "TeamId",
    "TimerHandle",
    "TimerService",
    "VirtualTimers",
    "ZoneName",
    "host_generator",
    "parse_seconds",
    "worst_holders",
]
