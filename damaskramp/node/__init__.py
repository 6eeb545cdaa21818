"""The daemon ``damaskramp-node``, with its parts connected to sockets."""

from damaskramp.node.assembly import Node
from damaskramp.node.lifecycle import Lifecycle

__all__ = ["Lifecycle", "Node"]
