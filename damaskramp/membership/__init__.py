"""Which nodes are there, and in what state."""

from damaskramp.membership.table import Member, MemberState, MemberTable

__all__ = ["Member", "MemberState", "MemberTable"]
