"""Ownership of resources by the nodes of a zone, without a vote."""

from damaskramp.ownership.activation import AcknowledgedOwnership
from damaskramp.ownership.messages import Ack, Ask, KnownHost, OwnershipSettings
from damaskramp.ownership.ownership import Owner, Ownership
from damaskramp.ownership.rendezvous import ListedOwnership, rank_members

__all__ = [
    "Ack",
    "AcknowledgedOwnership",
    "Ask",
    "KnownHost",
    "ListedOwnership",
    "Owner",
    "Ownership",
    "OwnershipSettings",
    "rank_members",
]
