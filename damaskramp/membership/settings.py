"""Settings of membership."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times and bounds of membership, which don't depend on the size of the zone.

    Attributes
    ----------
    period_seconds : float
        Time in seconds between two probes that one node sends.
    suspicion_periods : int
        Number of periods in which a suspected member may refute.
    helpers : int
        Number of members asked to probe a host on behalf of this node.
    piggyback_bytes : int
        Maximum size in bytes of the updates and items in one message.
    sync_bytes : int
        Maximum size in bytes of the updates and items in one answer to a sync.
    sync_periods : int
        Minimum number of periods between two syncs of one node.
    contacts : int
        Number of members of a zone that send to one other zone.
    tombstone_seconds : float
        Time in seconds for which a dead member that isn't listed is kept.
    items : int
        Maximum number of broadcast items kept.
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
