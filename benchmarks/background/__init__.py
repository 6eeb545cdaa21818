"""Activities of a relay node besides relaying, for `benchmarks.fleet_background`.

The modules import each other relatively, and run against the `damaskramp` of another
checkout as the package ``background``.
"""

__all__ = []
