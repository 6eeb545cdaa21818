"""Items spread by gossip: the greatest version of each key, at every node."""

from damaskramp.core import HostId
from damaskramp.membership.broadcast import Broadcast, Item, Topic
from damaskramp.membership.digests import BucketDigests, bucket_of
from damaskramp.membership.dissemination import Dissemination, retransmissions
from damaskramp.wire.membership_pb2 import ItemEntry

__all__ = ["GossipBroadcast"]

TOPICS = {topic.value: topic for topic in Topic}
FAR_TIMES = 6


class GossipBroadcast(Broadcast):
    """Broadcast piggybacked on the messages of membership.

    Of two items with one version the greater payload wins, alike at every node.

    Parameters
    ----------
    own : HostId
        This host.
    capacity : int
        Most items kept; new keys beyond it are refused and counted.
    """

    def __init__(self, own: HostId, capacity: int) -> None:
        super().__init__()
        self._own = own
        self._capacity = capacity
        self._entries: dict[str, ItemEntry] = {}
        self._digests = BucketDigests()
        self._near: Dissemination[ItemEntry] = Dissemination()
        self._far: Dissemination[ItemEntry] = Dissemination()
        self._zone_members = 1
        self._refused = 0

    @property
    def digests(self) -> BucketDigests:
        """Digests of all items."""
        return self._digests

    @property
    def refused(self) -> int:
        """Items refused for lack of room."""
        return self._refused

    def __len__(self) -> int:
        return len(self._entries)

    def set_zone_members(self, count: int) -> None:
        """Set the number of members that news must reach inside the zone."""
        self._zone_members = count

    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Spread an item of this host."""
        self._accept(
            ItemEntry(
                topic=topic.value,
                key=key,
                version=version,
                payload=payload,
                origin=self._own,
            )
        )

    def receive(self, entry: ItemEntry) -> None:
        """Take an item from another node; subscribers hear of news once."""
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

    def take(self, budget: int, far: bool) -> list[ItemEntry]:
        """Items for one message, to another zone where `far`."""
        return (self._far if far else self._near).take(budget)

    def in_buckets(self, buckets: set[int]) -> list[ItemEntry]:
        """Items of some buckets."""
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
        self._near.put(name, entry, size, retransmissions(self._zone_members))
        self._far.put(name, entry, size, FAR_TIMES)
        return True


def _order(entry: ItemEntry) -> tuple[int, bytes]:
    return entry.version, entry.payload
