"""Which nodes are there, in what state, and how small items reach them."""

from damaskramp.membership.broadcast import Broadcast, Item, LocalBroadcast, Topic
from damaskramp.membership.table import Member, MemberState, MemberTable

__all__ = [
    "Broadcast",
    "Item",
    "LocalBroadcast",
    "Member",
    "MemberState",
    "MemberTable",
    "Topic",
]
