"""Tests with random histories that all nodes agree on the real states after faults.

The histories crash, freeze, restart and partition nodes and lose messages. A lost or
wrongly ordered update would leave nodes with different states.
"""

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from damaskramp.core import Incarnation
from damaskramp.membership import GossipProtocol, MemberState, Topic
from damaskramp.membership.tests.network import Network

SETTLE_SECONDS = 60.0
HOSTS = tuple(f"z{zone}-n{number}" for zone in range(2) for number in range(3))
hosts = st.sampled_from(HOSTS)


class FleetMachine(RuleBasedStateMachine):
    """Two zones of three nodes."""

    @initialize()
    def begin(self):
        self.net = Network(2, 3, loss=0.05, duplication=0.05)
        self.net.publish()
        self.incarnation = 1
        self.versions = 0
        self.net.timers.advance(5.0)

    @rule(seconds=st.sampled_from((0.5, 2.0, 10.0, 40.0)))
    def advance(self, seconds):
        self.net.timers.advance(seconds)

    @rule(host=hosts)
    def crash(self, host):
        self.net.stations[host].running = False

    @rule(host=hosts)
    def restart(self, host):
        self.net.stations[host].running = False
        self.incarnation += 1
        station = self.net.add(host, host[:2], self.incarnation)
        station.protocol.roster.receive_list(self.net.listed)

    @rule(host=hosts)
    def leave(self, host):
        station = self.net.stations[host]
        if station.running and not station.frozen:
            station.protocol.roster.leave()
            self.net.timers.advance(1.0)
            station.running = False

    @rule(host=hosts)
    def freeze(self, host):
        self.net.freeze(host)

    @rule(host=hosts)
    def wake(self, host):
        self.net.wake(host)

    @rule(host=hosts)
    def renew(self, host):
        self.incarnation += 1
        station = self.net.stations[host]
        if station.running and not station.frozen:
            station.protocol.roster.renew(Incarnation(self.incarnation))

    @rule(host=hosts)
    def announce(self, host):
        self.versions += 1
        station = self.net.stations[host]
        if station.running and not station.frozen:
            broadcast = station.protocol.broadcast
            broadcast.announce(Topic.QUOTA, "k", self.versions, host.encode())

    @rule()
    def cut(self):
        self.net.cut = {"z1"}

    @rule()
    def heal(self):
        self.net.cut = set()

    @rule(hosts_seen=st.sets(hosts))
    def publish(self, hosts_seen):
        listed = [member for member in self.net.listed if member.host in hosts_seen]
        for station in self.net.stations.values():
            if station.running and not station.frozen:
                station.protocol.roster.receive_list(listed)

    @rule()
    def settle(self):
        for host in HOSTS:
            if self.net.stations[host].frozen:
                self.net.wake(host)
        self.net.cut = set()
        self.net.publish()
        self.net.timers.advance(SETTLE_SECONDS)
        # Lost messages can make a live member suspect at any time, so the states are
        # compared after a time without loss.
        loss, self.net.loss = self.net.loss, 0.0
        self.net.timers.advance(SETTLE_SECONDS / 2)
        self.net.loss = loss
        running = {h for h in HOSTS if self.net.stations[h].running}
        for host in HOSTS:
            expected = MemberState.LIVE if host in running else MemberState.DEAD
            if not self.net.stations[host].running and not running - {host}:
                continue
            seen = self.net.seen(host)
            zone_mates = {h for h in running if h[:2] == host[:2]}
            if zone_mates - {host} or host in running:
                assert seen <= {expected}, (host, seen, expected)
        totals = {
            self.net.stations[h].protocol.broadcast.digests.total for h in running
        }
        assert len(totals) <= 1, totals


class ProtocolWithoutRefutation(GossipProtocol):
    """Protocol with a planted fault: a node doesn't refute its own death."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.roster._refute = lambda update: None


def search(examples: int) -> None:
    checks = settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        stateful_step_count=30,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        database=None,
    )
    run_state_machine_as_test(FleetMachine, settings=checks)


class ConvergenceTest(testtools.TestCase):
    def test_all_agree_once_faults_end(self):
        search(40)

    def test_search_finds_missing_refutation(self):
        target = "damaskramp.membership.tests.network.GossipProtocol"
        self.patch_protocol(target)
        self.assertRaises(AssertionError, search, 400)

    def patch_protocol(self, target: str) -> None:
        module, _, name = target.rpartition(".")
        network = __import__(module, fromlist=[name])
        self.patch(network, name, ProtocolWithoutRefutation)
