"""Other nodes: calls and loans over links to them, and gossip.

Several times a second, each node asks a few others for their fleet views. Changes
therefore also reach nodes that the platform refuses. A node that starts without knowing
any other learns of the others when they ask it.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters, Reason
from damaskramp.fleet import FleetSource, SourceChanges
from damaskramp.relay.fleet_exchange import FleetExchange
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.gossip_view import GossipView
from damaskramp.relay.messages import Call, Kind
from damaskramp.relay.outcome_sink import Cancel, OutcomeSink
from damaskramp.relay.peer_hosts import PeerHosts
from damaskramp.relay.peer_link import LoanCallback, PeerLink
from damaskramp.relay.peer_links import PeerLinks

__all__ = ["Peers"]

GOSSIP_FANOUT = 1
"""Peers asked in each round besides a reader of the own zone. Data that no reader has
reaches all hosts in about log(hosts) rounds."""

BROADCAST_FANOUT = 6
"""Peers of the own zone to which each reader sends a change at once."""

CONSULTED_PEERS = 6
"""Peers that a node asks at once when it starts. Some may be out of reach, or may have
just started themselves."""


class Peers:
    """Nodes of other hosts.

    Parameters
    ----------
    port : int
        Port on which nodes listen for each other.
    memory : ByteBudget
        Budget for the bodies of answers that arrive on the links.

    Attributes
    ----------
    hosts : PeerHosts
        States of the other hosts.
    links : PeerLinks
        Links to them.
    exchange : FleetExchange
        What pings, pongs and updates say of the fleet.
    usable : callable
        `PeerHosts.usable`, which is called for every request.
    """

    def __init__(
        self,
        port: int,
        fleet_view: FleetView,
        source: FleetSource,
        clock: Callable[[], float],
        counters: Counters,
        random_source: random.Random,
        memory: ByteBudget,
    ) -> None:
        self._fleet_view = fleet_view
        self._random = random_source
        self._view = GossipView(random_source)
        self._informed = asyncio.Event()
        self.hosts = PeerHosts(fleet_view, clock)
        self.usable = self.hosts.usable
        self.exchange = FleetExchange(fleet_view, self.hosts, source, clock, counters)
        self.links = PeerLinks(
            port, self.hosts, clock, counters, memory, self._receive_pong, self._ping
        )

    def call(self, host: str, call: Call, reply: OutcomeSink) -> Cancel:
        """Send a call to another node; return a function that cancels it."""
        link = self.links.get(host)
        if link is None:
            reply.refused(Reason.CONNECT_FAILED, 0.0, False, None)
            return _cancel_unsent
        return link.call(call, reply)

    def borrow(
        self,
        host: str,
        team: str,
        min_permits: float,
        max_permits: float,
        done: LoanCallback,
    ) -> None:
        """Ask another node for permits; `done` gets those lent and those left there."""
        link = self.links.get(host)
        if link is None:
            done(0.0, 0.0)
        else:
            link.borrow(team, min_permits, max_permits, done)

    def return_permits(self, host: str, team: str, amount: float) -> None:
        """Return permits to a share host, which can use them."""
        link = self.links.get(host)
        if link is not None:
            link.send((Kind.GIVE_BACK, team, amount))

    def in_own_zone(self, hosts: list[str]) -> set[str]:
        """Select the hosts in this node's availability zone."""
        zones, own_zone = self._fleet_view.host_zones, self._fleet_view.zone
        return {host for host in hosts if zones.get(host) == own_zone}

    def gossip(self) -> None:
        """Ask some peers for their fleet views, and close idle links."""
        self._ping_hosts(self._gossip_targets())
        self.hosts.forget_old()
        self.links.close_idle()

    async def consult(self, seconds: float) -> None:
        """Ask peers; wait until one has answered that has proof, for a time at most."""
        hosts = [host for host, _ in self._fleet_view.directory.hosts()]
        hosts = self.hosts.reachable(hosts)
        self._informed.clear()
        self._ping_hosts(self._random.sample(hosts, min(CONSULTED_PEERS, len(hosts))))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._informed.wait()

    def check_links(self) -> None:
        """Break silent links, and try to reach lost hosts again."""
        self.links.check()

    def answer_ping(self, ping: list) -> tuple:
        """Record the sender of a ping; return the fields of the answer."""
        fields = self.exchange.answer_ping(ping)
        # Its ping says that it can be reached again, so it need not wait its turn.
        self.links.try_lost(ping[2])
        return fields

    def announce_leaving(self) -> None:
        """Tell all linked peers at once that this node is leaving."""
        self.exchange.leaving = True
        for link in self.links.up:
            self._ping(link)

    def announce_end(self, end_at: float) -> None:
        """Tell all linked peers when this node ends, so that no call waits longer.

        Parameters
        ----------
        end_at : float
            Clock time in seconds.
        """
        for link in self.links.by_host.values():
            link.end_calls(end_at)

    def broadcast_changes(self, changes: SourceChanges) -> None:
        """Send changes at once to peers of the own zone; the others ask for them."""
        update = self.exchange.update_message(changes)
        links = {self.links.get(host) for host in self._broadcast_targets()}
        if changes.evacuations:
            # Evacuations are rare, and each second before they take effect has a cost.
            links.update(self.links.up)
        for link in links:
            if link is not None:
                link.send(update)

    def close(self) -> None:
        """Close all links."""
        self.links.close()

    def _gossip_targets(self) -> list[str]:
        """Choose a reader of the own zone, which has the newest proof, and others."""
        hosts = self.hosts.known
        near = self.hosts.reachable(self._fleet_view.readers)
        asked = self._random.sample(near, min(1, len(near)))
        count = GOSSIP_FANOUT + 1 - len(asked)
        return asked + self._view.choose(hosts, self.hosts.unreachable, asked, count)

    def _broadcast_targets(self) -> list[str]:
        """Choose some hosts of the own zone; other zones have readers of their own."""
        fleet_view = self._fleet_view
        hosts = [
            host
            for host, zone in fleet_view.directory.hosts()
            if zone == fleet_view.zone and host != fleet_view.host
        ]
        return self._random.sample(hosts, min(BROADCAST_FANOUT, len(hosts)))

    def _ping_hosts(self, hosts: list[str]) -> None:
        for host in hosts:
            link = self.links.get(host)
            if link is not None:
                self._ping(link)

    def _ping(self, link: PeerLink) -> None:
        link.ping(*self.exchange.ping_fields())

    def _receive_pong(self, host: str, message: list) -> None:
        if self.exchange.receive_pong(host, message):
            self._informed.set()


def _cancel_unsent() -> bool:
    """Cancel a call that was not sent."""
    return True
