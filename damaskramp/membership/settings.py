"""Settings of membership."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times and bounds of membership; they don't depend on the zone's size.

    Attributes
    ----------
    period_seconds : float
        Time between two probes of one node.
    suspicion_periods : int
        Periods in which a suspected member may refute.
    helpers : int
        Members asked to probe in this node's place.
    piggyback_bytes : int
        Most bytes of updates and items in one message.
    sync_bytes : int
        Most bytes of updates and items in one answer to a sync.
    sync_periods : int
        Periods between two syncs of one node.
    contacts : int
        Members of a zone that talk to one other zone.
    tombstone_seconds : float
        Time for which a dead member that isn't listed is remembered.
    items : int
        Most items kept.
    """

    period_seconds: float = 1.0
    suspicion_periods: int = 4
    helpers: int = 2
    piggyback_bytes: int = 400
    sync_bytes: int = 8192
    sync_periods: int = 4
    contacts: int = 2
    tombstone_seconds: float = 600.0
    items: int = 4096
