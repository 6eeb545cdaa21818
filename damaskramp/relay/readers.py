"""Choice of the hosts that read the platform for their availability zone.

Every host computes the same readers from the list of hosts, without a message. The
other hosts of the zone ask the readers first for changes and for the age of their
proof.
"""

from damaskramp.core import ZoneName
from damaskramp.core.rendezvous import rendezvous_score

__all__ = ["zone_readers"]

MIN_READERS = 2
"""Fewest readers of a zone: one may be lost without a gap in reading."""

HOSTS_PER_READER = 40
"""Hosts of a zone per reader. Each host asks a reader 2.5 times a second, and an answer
takes about 50 microseconds, so the answers to 40 hosts take 0.5 % of a core."""


def zone_readers(hosts: list[tuple[str, ZoneName]], zone: ZoneName) -> list[str]:
    """Choose the hosts that read the platform for a zone.

    Examples
    --------
    >>> hosts = [(f"10.0.{n % 2}.{n}", "ab"[n % 2]) for n in range(10)]
    >>> len(zone_readers(hosts, "a"))
    2
    """
    zone_hosts = [host for host, of_zone in hosts if of_zone == zone]
    count = max(MIN_READERS, -(-len(zone_hosts) // HOSTS_PER_READER))
    zone_hosts.sort(key=lambda host: rendezvous_score(host, "reader"), reverse=True)
    return zone_hosts[:count]
