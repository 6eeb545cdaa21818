"""The daemon ``damaskramp-node``: the parts wired to sockets."""

from damaskramp.node.assembly import Node
from damaskramp.node.lifecycle import Lifecycle

__all__ = ["Lifecycle", "Node"]
