"""States of a node."""

from enum import Enum

__all__ = ["Lifecycle"]


class Lifecycle(Enum):
    """State of the node process.

    ``STARTING`` has no bundle yet, ``LEAVING`` finishes what it has and takes
    nothing new.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
