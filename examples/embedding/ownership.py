"""Ownership: a resource moves only after its silent owner has certainly lost it."""

from damaskramp.core import HostId, Incarnation, VirtualTimers
from damaskramp.ownership import AcknowledgedOwnership, Owner, OwnershipSettings

HOSTS = tuple(HostId(f"desk-{number}") for number in (1, 2, 3))
RESOURCE = "quota/clubs"
STEP_SECONDS = 0.5
STEPS = 80


def _run(nodes: dict, timers: VirtualTimers) -> set[HostId]:
    """Run one step of all nodes with direct calls as messages; return the owners."""
    for node in nodes.values():
        node.receive_list((host, f"{host}:1") for host in nodes)
        for contact, ask in node.tick():
            if contact.host in nodes:
                ack = nodes[contact.host].receive_ask(ask)
                if ack is not None:
                    node.receive_ack(ack)
    for host, node in nodes.items():
        for other in nodes.values():
            if other is not node:
                other.receive_heartbeat(host, node.own.incarnation)
    timers.advance(STEP_SECONDS)
    return {host for host, node in nodes.items() if node.owns(RESOURCE)}


def main() -> str:
    """Start three nodes, stop the owner, and wait for the next owner."""
    timers = VirtualTimers()
    settings = OwnershipSettings()
    nodes = {}
    for host in HOSTS:
        own = Owner(host, Incarnation(1), f"{host}:1")
        nodes[host] = AcknowledgedOwnership(settings, timers, own)
    max_owners = 0
    for _ in range(STEPS):
        owners = _run(nodes, timers)
        max_owners = max(max_owners, len(owners))
    (first,) = owners
    del nodes[first]
    last_heard = timers.now - STEP_SECONDS
    owners = set()
    while not owners:
        owners = _run(nodes, timers)
        max_owners = max(max_owners, len(owners))
    (second,) = owners
    waited = timers.now - last_heard >= settings.silence_seconds
    return (
        f"{first} > {second}, most owners at once {max_owners}, silence kept: {waited}"
    )


if __name__ == "__main__":
    print(main())
