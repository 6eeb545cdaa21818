"""Broadcast of items by gossip, which brings the greatest version to every node."""

from damaskramp.core import HostId
from damaskramp.membership.broadcast import Broadcast, Item, Topic
from damaskramp.membership.digests import BucketDigests, bucket_of
from damaskramp.membership.dissemination import Dissemination, retransmissions
from damaskramp.wire.membership_pb2 import ItemEntry

__all__ = ["GossipBroadcast"]

TOPICS = {topic.value: topic for topic in Topic}
CROSS_ZONE_TRANSMISSIONS = 6


class GossipBroadcast(Broadcast):
    """Broadcast piggybacked on the messages of membership.

    Of two items with the same version, the greater payload wins, so that all nodes keep
    the same item.

    Parameters
    ----------
    own_host : HostId
        This host.
    capacity : int
        Maximum number of items kept. Items with further keys are refused and counted.
    """

    def __init__(self, own_host: HostId, capacity: int) -> None:
        super().__init__()
        self._own_host = own_host
        self._capacity = capacity
        self._entries: dict[str, ItemEntry] = {}
        self._digests = BucketDigests()
        self._zone_queue: Dissemination[ItemEntry] = Dissemination()
        self._cross_zone_queue: Dissemination[ItemEntry] = Dissemination()
        self._zone_members = 1
        self._refused = 0

    @property
    def digests(self) -> BucketDigests:
        """Digests of all items."""
        return self._digests

    @property
    def refused(self) -> int:
        """Number of items refused because the capacity was reached."""
        return self._refused

    def __len__(self) -> int:
        return len(self._entries)

    def set_zone_members(self, count: int) -> None:
        """Set the number of members inside the zone that an item must reach."""
        self._zone_members = count

    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Broadcast an item of this host."""
        self._accept(
            ItemEntry(
                topic=topic.value,
                key=key,
                version=version,
                payload=payload,
                origin=self._own_host,
            )
        )

    def receive(self, entry: ItemEntry) -> None:
        """Merge an item from another node, and pass it to subscribers if it is new."""
        if entry.topic in TOPICS and self._accept(entry):
            self.deliver(
                Item(
                    TOPICS[entry.topic],
                    entry.key,
                    entry.version,
                    entry.payload,
                    HostId(entry.origin),
                )
            )

    def take(self, budget: int, cross_zone: bool) -> list[ItemEntry]:
        """Take items for one message.

        Parameters
        ----------
        budget : int
            Maximum size of the items in bytes.
        cross_zone : bool
            Whether the message goes to another zone.
        """
        return (self._cross_zone_queue if cross_zone else self._zone_queue).take(budget)

    def in_buckets(self, buckets: set[int]) -> list[ItemEntry]:
        """Return the items of some buckets."""
        return [e for name, e in self._entries.items() if bucket_of(name) in buckets]

    def _accept(self, entry: ItemEntry) -> bool:
        name = f"{entry.topic}/{entry.key}"
        known = self._entries.get(name)
        if known is None and len(self._entries) >= self._capacity:
            self._refused += 1
            return False
        if known is not None and _order(entry) <= _order(known):
            return False
        self._entries[name] = entry
        self._digests.set(name, f"{entry.version}/{entry.payload.hex()}")
        size = entry.ByteSize()
        self._zone_queue.put(name, entry, size, retransmissions(self._zone_members))
        self._cross_zone_queue.put(name, entry, size, CROSS_ZONE_TRANSMISSIONS)
        return True


def _order(entry: ItemEntry) -> tuple[int, bytes]:
    return entry.version, entry.payload
