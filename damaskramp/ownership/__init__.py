"""Which node of a zone owns a thing, without a vote."""

from damaskramp.ownership.ownership import Owner, Ownership
from damaskramp.ownership.rendezvous import ListedOwnership, rank_members

__all__ = ["ListedOwnership", "Owner", "Ownership", "rank_members"]
