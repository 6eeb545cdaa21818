"""Membership of the nodes with their states, and broadcast of small items to them."""

from damaskramp.membership.broadcast import Broadcast, Item, LocalBroadcast, Topic
from damaskramp.membership.items import GossipBroadcast
from damaskramp.membership.protocol import GossipProtocol, Period
from damaskramp.membership.roster import ListedMember
from damaskramp.membership.settings import MembershipSettings
from damaskramp.membership.table import Member, MemberState, MemberTable

__all__ = [
    "Broadcast",
    "GossipBroadcast",
    "GossipProtocol",
    "Item",
    "ListedMember",
    "LocalBroadcast",
    "Member",
    "MemberState",
    "MemberTable",
    "MembershipSettings",
    "Period",
    "Topic",
]
