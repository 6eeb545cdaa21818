"""Random sources that differ between hosts and repeat from run to run."""

import numpy as np
import xxhash

from damaskramp.core.ids import HostId

__all__ = ["host_generator"]


def host_generator(seed: int, host: HostId) -> np.random.Generator:
    """Generator of one host.

    Examples
    --------
    >>> first = host_generator(7, HostId("desk-1")).random()
    >>> first == host_generator(7, HostId("desk-1")).random()
    True
    """
    return np.random.default_rng([seed, xxhash.xxh3_64_intdigest(host.encode())])
