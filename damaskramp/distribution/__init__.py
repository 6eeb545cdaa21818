"""How a bundle reaches every node: a tree of watches, gossip behind it."""

from damaskramp.distribution.sections import HeldSections, Parcel, unpack_parcel
from damaskramp.distribution.tree import WatchTree

__all__ = ["HeldSections", "Parcel", "WatchTree", "unpack_parcel"]
