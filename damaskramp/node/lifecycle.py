"""States of a node."""

from enum import Enum

__all__ = ["Lifecycle"]


class Lifecycle(Enum):
    """State of the node process.

    A node that is ``STARTING`` has no bundle yet. One that is ``LEAVING`` finishes
    its running calls and accepts no new ones.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
