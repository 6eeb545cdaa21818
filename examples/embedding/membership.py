"""Membership: of three nodes, two detect by probes that the third has stopped."""

from numpy.random import default_rng

from damaskramp.core import HostId, Incarnation, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import (
    GossipProtocol,
    ListedMember,
    Member,
    MembershipSettings,
)

ZONE = ZoneName("perth-north")
SERVICE = ServiceName("desk")
HOSTS = tuple(HostId(f"desk-{number}") for number in (1, 2, 3))
STOPPED_HOST = HOSTS[2]
PERIODS_BEFORE = 5
PERIODS_AFTER = 20


def _build(settings: MembershipSettings, timers: VirtualTimers) -> dict:
    listed = [ListedMember(host, ZONE, f"{host}:1", SERVICE) for host in HOSTS]
    nodes = {}
    for seed, host in enumerate(HOSTS):
        own = Member(host, ZONE, f"{host}:1", SERVICE, incarnation=Incarnation(1))
        nodes[host] = GossipProtocol(settings, timers, own, default_rng(seed))
        nodes[host].roster.receive_list(listed)
    return nodes


def _run_period(
    nodes: dict, running: tuple[HostId, ...], timers: VirtualTimers
) -> None:
    """Let each running node probe one other; messages are direct method calls."""
    for host in running:
        node = nodes[host]
        target = node.begin_period().probe
        if target is None:
            continue
        message = node.message(target)
        if target.host in running:
            node.receive_answer(nodes[target.host].receive_probe(message))
        else:
            node.record_probe_failure(target.host, timers.now)


def main() -> str:
    """Run three nodes, stop one, and report its state as seen by the others."""
    timers = VirtualTimers()
    settings = MembershipSettings()
    nodes = _build(settings, timers)
    seen_states = []
    for running, periods in ((HOSTS, PERIODS_BEFORE), (HOSTS[:2], PERIODS_AFTER)):
        for _ in range(periods):
            timers.advance(settings.period_seconds)
            _run_period(nodes, running, timers)
        records = [nodes[host].roster.get(STOPPED_HOST) for host in HOSTS[:2]]
        seen_states.append(
            "/".join(record.as_member().state.value for record in records)
        )
    return " > ".join(seen_states)


if __name__ == "__main__":
    print(main())
