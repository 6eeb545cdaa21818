"""Lineage of calls: what a backend server's call inherits from the root of its chain.

The root of a chain of calls is the request of a caller outside. Its rank, team and
deadline are inferred for a call at the node beside the server that makes it, see
`RunningRequests`, and travel with the call from there.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

__all__ = [
    "NO_INFERENCE",
    "UNKNOWN_LINEAGE",
    "UNKNOWN_RANK",
    "Confidence",
    "Inference",
    "Lineage",
    "common_lineage",
]

UNKNOWN_RANK = -1
"""Rank of a request whose root is not known."""

ROOT_TOLERANCE_SECONDS = 0.005
"""Difference up to which root deadlines count as equal. They travel in milliseconds and
gain the time on the way at each hop."""


class Confidence(Enum):
    """Confidence of an inferred lineage.

    ``SURE``: the deadline matches exactly one running request. ``AGREED``: all running
    requests that can have made the call agree on the properties that are given.
    ``NONE``: nothing is known.
    """

    SURE = "sure"
    AGREED = "agreed"
    NONE = "none"


class Lineage(NamedTuple):
    """Properties of the caller's request that a call serves in the end, its root.

    Attributes
    ----------
    rank : int
        Priority of the root; 0 is the most important, `UNKNOWN_RANK` if unknown.
    team : str
        Team of the root; empty if unknown.
    root_deadline : float
        Clock time in seconds after which nobody waits for the root's answer; 0 if
        unknown.
    repeat_share : float
        Probability that the run repeats another, from 0 to 1.
    """

    rank: int = UNKNOWN_RANK
    team: str = ""
    root_deadline: float = 0.0
    repeat_share: float = 0.0


UNKNOWN_LINEAGE = Lineage()
"""Lineage of a call without any inference."""


class Inference(NamedTuple):
    """Lineage inferred for a call.

    Attributes
    ----------
    parent_kind : str
        Route of the request that made the call; empty unless `confidence` is sure.
    matches : int
        Number of running requests with the call's deadline.
    """

    lineage: Lineage
    confidence: Confidence
    parent_kind: str = ""
    matches: int = 0


NO_INFERENCE = Inference(UNKNOWN_LINEAGE, Confidence.NONE)
"""Result where nothing can be inferred."""


def common_lineage(lineages: Iterable[Lineage]) -> Lineage:
    """Properties that all lineages have in common."""
    ranks, teams, deadlines, repeats = zip(*lineages, strict=True)
    same_root = max(deadlines) - min(deadlines) <= ROOT_TOLERANCE_SECONDS
    return Lineage(
        ranks[0] if len(set(ranks)) == 1 else UNKNOWN_RANK,
        teams[0] if len(set(teams)) == 1 else "",
        min(deadlines) if same_root else 0.0,
        sum(repeats) / len(repeats),
    )
