"""Distribution of bundles to every node: a tree of watches, backed by gossip."""

from damaskramp.distribution.sections import (
    BundleDelta,
    HeldSections,
    apply_bundle_delta,
)
from damaskramp.distribution.tree import WatchTree

__all__ = ["BundleDelta", "HeldSections", "WatchTree", "apply_bundle_delta"]
