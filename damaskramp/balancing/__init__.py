"""Load balancing of calls over backend servers."""

from damaskramp.balancing.balancer import Attempt, AttemptResult, LoadBalancer
from damaskramp.balancing.observed import ObservedBalancer
from damaskramp.balancing.round_robin import RoundRobin

__all__ = [
    "Attempt",
    "AttemptResult",
    "LoadBalancer",
    "ObservedBalancer",
    "RoundRobin",
]
