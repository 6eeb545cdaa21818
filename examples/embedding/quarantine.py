"""Quarantine: a request that killed two backend servers is refused everywhere."""

from damaskramp.config import QuarantineSettings
from damaskramp.core import HostId, TeamId, VirtualTimers, ZoneName
from damaskramp.membership import Broadcast, Item, Topic
from damaskramp.quarantine import Quarantine, fingerprint


class MemoryBroadcast(Broadcast):
    """Broadcast that delivers each item to the other nodes immediately."""

    def __init__(self, own: HostId, nodes: list["MemoryBroadcast"]) -> None:
        super().__init__()
        self._own = own
        self._nodes = nodes
        nodes.append(self)

    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Deliver an item to all other nodes."""
        item = Item(topic, key, version, payload, self._own)
        for node in self._nodes:
            if node is not self:
                node.deliver(item)


def main() -> str:
    """Let a request kill the backend servers of two hosts; query a third host."""
    timers = VirtualTimers()
    settings = QuarantineSettings()
    zone = ZoneName("perth-north")
    nodes: list[MemoryBroadcast] = []
    first, second, third = (
        Quarantine(settings, timers, host, zone, MemoryBroadcast(host, nodes))
        for host in (HostId("desk-1"), HostId("desk-2"), HostId("desk-3"))
    )
    item = fingerprint(TeamId("clubs"), "/desk", "POST", "/desk/a", b"poison")
    statuses = [third.quarantine_status(item)]
    for node in (first, second):
        timers.advance(1.0)
        node.record_death([item])
        statuses.append(third.quarantine_status(item))
    timers.advance(settings.quarantine_seconds + 1.0)
    statuses.append(third.quarantine_status(item))
    return " > ".join(quarantine_status.value for quarantine_status in statuses)


if __name__ == "__main__":
    print(main())
