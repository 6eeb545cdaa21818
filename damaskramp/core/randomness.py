"""Random number generators that differ between hosts and are reproducible."""

from typing import TYPE_CHECKING

import xxhash

from damaskramp.core.ids import HostId

if TYPE_CHECKING:
    import numpy as np

__all__ = ["host_generator"]


def host_generator(seed: int, host: HostId) -> "np.random.Generator":
    """Create the generator of one host, the same for each run with the same seed.

    Examples
    --------
    >>> first = host_generator(7, HostId("desk-1")).random()
    >>> first == host_generator(7, HostId("desk-1")).random()
    True
    """
    # Imported here because a node that needs no such generator starts faster without
    # NumPy.
    import numpy as np

    return np.random.default_rng([seed, xxhash.xxh3_64_intdigest(host.encode())])
