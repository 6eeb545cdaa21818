"""Random sources that differ between hosts and repeat from run to run."""

from typing import TYPE_CHECKING

import xxhash

from damaskramp.core.ids import HostId

if TYPE_CHECKING:
    import numpy as np

__all__ = ["host_generator"]


def host_generator(seed: int, host: HostId) -> "np.random.Generator":
    """Generator of one host.

    Examples
    --------
    >>> first = host_generator(7, HostId("desk-1")).random()
    >>> first == host_generator(7, HostId("desk-1")).random()
    True
    """
    # Imported late: a node that draws no such numbers starts faster without it.
    import numpy as np

    return np.random.default_rng([seed, xxhash.xxh3_64_intdigest(host.encode())])
