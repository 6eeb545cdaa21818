"""Model of hosts that choose among servers of one service, on a virtual clock.

The decisions are the real ones: the selection of a server at each entry host, the queue
at each server, and the number of servers that may refuse a request. Modelled are the
arrivals, the links and the servers: these differ in speed, and noisy neighbours slow
them for a time. Demand moves between the zones in waves.
"""

import math
import random
from collections.abc import Callable

from benchmarks.placement_choosers import Chooser
from benchmarks.placement_result import Result
from benchmarks.placement_server import Attempt, Request, ServerNode
from benchmarks.placement_settings import Kind, ModelSettings
from damaskramp.core import VirtualTimers

__all__ = ["PlacementModel"]

SWEEP_SECONDS = 0.05
"""Interval between checks of waiting requests at a server, as in a node."""

GOSSIP_SECONDS = 0.4
"""Interval between the exchanges of a host with others, as in a node."""

DRAIN_SECONDS = 2.0
"""Time after the last arrival in which requests may end."""


class PlacementModel:
    """Entry hosts, servers and arrivals.

    Parameters
    ----------
    make_chooser : callable
        Makes the selection of an entry host from its zone and a source of randomness.
    node_state : callable
        Makes what a server's node keeps for the selection, its `extra`.

    Attributes
    ----------
    on_run, on_sweep : callable
        Called after each run at a server's node, and at each of its sweeps.
    servers : list of BackendServer
        Servers of the service.
    """

    def __init__(
        self,
        settings: ModelSettings,
        make_chooser: Callable[[str, random.Random], Chooser],
        node_state: Callable[[ServerNode], object] = lambda node: None,
        seed: int = 1,
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.node_state = node_state
        self._timers = VirtualTimers()
        self.result = Result()
        self.on_run: Callable[[ServerNode, Attempt], None] = lambda node, attempt: None
        self.on_sweep: Callable[[ServerNode], None] = lambda node: None
        zones = settings.zones
        self.nodes = {}
        for number in range(len(zones) * settings.servers_per_zone):
            zone = zones[number // settings.servers_per_zone]
            node = ServerNode(self, number, zone)
            self.nodes[node.description.id] = node
        self.servers = [node.description for node in self.nodes.values()]
        self.entry_zones = [z for z in zones for _ in range(settings.entries_per_zone)]
        self.choosers = [
            make_chooser(zone, random.Random(seed * 1000 + n))
            for n, zone in enumerate(self.entry_zones)
        ]
        mean = sum(kind.share * kind.mean for kind in settings.kinds)
        speed = sum(node.speed for node in self.nodes.values())
        self.rate = settings.load * speed * settings.slots / mean

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._timers.now

    def draw(self, kind: Kind) -> float:
        """Draw the run time at speed 1 and the usual pace, in seconds."""
        return kind.mean * self.random.lognormvariate(
            -(kind.spread**2) / 2, kind.spread
        )

    def link(self, attempt: Attempt) -> float:
        """One-way delay between an attempt's entry host and server, in seconds."""
        return self.settings.link_seconds(attempt.request.zone, attempt.server.zone)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self._timers.after(seconds, action)

    def _sweep(self) -> None:
        for node in self.nodes.values():
            for work in node.queue.expire(self.now):
                work.refuse()
            self.on_sweep(node)
        self.after(SWEEP_SECONDS, self._sweep)

    def _gossip(self) -> None:
        for chooser in self.choosers:
            for other in self.random.sample(self.choosers, 2):
                if other is not chooser:
                    chooser.exchange(other, self.now)
        self.after(GOSSIP_SECONDS, self._gossip)

    def _schedule_noise(self, node: ServerNode) -> None:
        settings = self.settings
        if not settings.noise_share:
            return
        quiet = settings.noise_seconds * (1.0 - settings.noise_share)
        pause = self.random.expovariate(settings.noise_share / quiet)

        def begin() -> None:
            node.set_noise(self.now + settings.noise_seconds)
            self.after(settings.noise_seconds, end)

        def end() -> None:
            node.set_noise(0.0)
            self._schedule_noise(node)

        self.after(pause, begin)

    def _entry_of_next(self) -> int:
        settings = self.settings
        weights = [
            1.0
            + settings.wave
            * math.sin(2 * math.pi * (self.now / settings.wave_seconds + n / 3))
            for n, _ in enumerate(settings.zones)
        ]
        zone = self.random.choices(range(len(weights)), weights)[0]
        entries = settings.entries_per_zone
        return zone * entries + self.random.randrange(entries)

    def play(self, seconds: float) -> Result:
        """Simulate arrivals for a number of seconds."""
        self._sweep()
        self._gossip()
        for node in self.nodes.values():
            self._schedule_noise(node)
        kinds = self.settings.kinds
        shares = [kind.share for kind in kinds]
        arrival = self.now
        while True:
            arrival += self.random.expovariate(self.rate)
            if arrival > seconds:
                break
            self._timers.advance(arrival - self.now)
            kind = self.random.choices(kinds, shares)[0]
            self.result.asked[kind.name] = self.result.asked.get(kind.name, 0) + 1
            Request(self, kind, self._entry_of_next()).send()
        self._timers.advance(seconds + DRAIN_SECONDS - self.now)
        return self.result
