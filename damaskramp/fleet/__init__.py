"""View that a host has of the fleet: configuration, backend servers and freshness."""

from damaskramp.fleet.announcements import LeavingAnnouncements
from damaskramp.fleet.directory import Directory, DirectoryUpdate
from damaskramp.fleet.evacuation_terms import (
    EvacuationChange,
    EvacuationSource,
    EvacuationState,
    EvacuationTerms,
    ReportedStatement,
)
from damaskramp.fleet.evacuations import Evacuations
from damaskramp.fleet.freshness import Freshness, boot_clock
from damaskramp.fleet.model import (
    NO_EPOCH,
    BackendServer,
    CallerLimits,
    Epoch,
    EvacuationStatement,
    FleetConfiguration,
    RegionName,
    Removal,
    Revision,
    Route,
    ServerId,
    ServerReport,
    ServiceWarmup,
    StorePosition,
    Team,
    WeightedService,
)
from damaskramp.fleet.sources import (
    FleetSource,
    RevisionExpiredError,
    SourceBusyError,
    SourceChanges,
    SourceError,
    SourceSnapshot,
)

__all__ = [
    "NO_EPOCH",
    "BackendServer",
    "CallerLimits",
    "Directory",
    "DirectoryUpdate",
    "Epoch",
    "EvacuationChange",
    "EvacuationSource",
    "EvacuationState",
    "EvacuationStatement",
    "EvacuationTerms",
    "Evacuations",
    "FleetConfiguration",
    "FleetSource",
    "Freshness",
    "LeavingAnnouncements",
    "RegionName",
    "Removal",
    "ReportedStatement",
    "Revision",
    "RevisionExpiredError",
    "Route",
    "ServerId",
    "ServerReport",
    "ServiceWarmup",
    "SourceBusyError",
    "SourceChanges",
    "SourceError",
    "SourceSnapshot",
    "StorePosition",
    "Team",
    "WeightedService",
    "boot_clock",
]
