"""Each team's rate and burst over all hosts together."""

from damaskramp.quota.bucket import TokenBucket
from damaskramp.quota.limiter import RateLimiter, StaticSplit

__all__ = ["RateLimiter", "StaticSplit", "TokenBucket"]
