"""Model of a zone under a virtual clock, with messages and a lagging host list."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from damaskramp.core import HostId, Incarnation, VirtualTimers
from damaskramp.ownership import (
    AcknowledgedOwnership,
    Owner,
    Ownership,
    OwnershipSettings,
)

HOSTS = tuple(HostId(name) for name in ("a", "b", "c", "d"))
RESOURCES = tuple(f"quota/{number}" for number in range(6))
STEP_SECONDS = 0.5
SILENCE_SECONDS = 12.0
LIST_LAG_SECONDS = 8.0
MAX_DELAY_SECONDS = 0.4
TRANSIT_SECONDS = 1.0
LOSS_PROBABILITY = 0.1
DUPLICATION_PROBABILITY = 0.1

Factory = Callable[[VirtualTimers, Owner], Ownership]


def acknowledged(timers: VirtualTimers, own: Owner) -> AcknowledgedOwnership:
    return AcknowledgedOwnership(OwnershipSettings(SILENCE_SECONDS), timers, own)


@dataclass
class Process:
    """Process of a node.

    Attributes
    ----------
    generation : int
        Number that tells successive processes of a host apart.
    unsent : list of (str, Owner)
        Releases that the process had decided on, but not sent, when it was frozen.
    """

    host: HostId
    ownership: Ownership
    generation: int
    frozen: bool = False
    unsent: list[tuple[str, Owner]] = field(default_factory=list)
    inbox: list[Callable[[], None]] = field(default_factory=list)


class Zone:
    """Hosts of a zone and the platform's list of them.

    Attributes
    ----------
    violations : list of tuple
        Each case in which live executing nodes would accept releases of two owners
        of one resource at the same time. Releases count for as long after sending
        as a message may be in transit.
    """

    def __init__(
        self,
        factory: Factory = acknowledged,
        seed: int = 0,
        loss: float = LOSS_PROBABILITY,
    ) -> None:
        self.timers = VirtualTimers()
        self.processes: dict[HostId, Process] = {}
        self.violations: list[tuple] = []
        self.list_lag = dict.fromkeys(HOSTS, 0.0)
        self.list_cut = dict.fromkeys(HOSTS, False)
        self._lists: list[tuple[float, frozenset[HostId]]] = []
        self._claims: list[tuple[float, str, Owner]] = []
        self._factory = factory
        self._loss = loss
        self._generation = 0
        self._random = np.random.default_rng(seed)

    @property
    def listed(self) -> frozenset[HostId]:
        return self._lists[-1][1] if self._lists else frozenset()

    @property
    def settled(self) -> bool:
        """Whether every node that is not cut off from the list has the last one."""
        return (
            not self._lists
            or self.timers.now - self._lists[-1][0] > LIST_LAG_SECONDS + STEP_SECONDS
        )

    def publish(self, *hosts: str) -> None:
        self._lists.append((self.timers.now, frozenset(map(HostId, hosts))))

    def start(self, host: str) -> None:
        self._generation += 1
        incarnation = Incarnation(int(self.timers.wall_now * 1e6) + self._generation)
        own = Owner(HostId(host), incarnation, f"{host}:1")
        ownership = self._factory(self.timers, own)
        self.processes[host] = Process(HostId(host), ownership, self._generation)

    def crash(self, host: str) -> None:
        del self.processes[host]

    def stop(self, host: str) -> None:
        process = self.processes[host]
        process.ownership.leave()
        incarnation = process.ownership.own.incarnation
        for other in list(self.processes):
            self._send(
                other,
                lambda node: node.receive_leave(host, incarnation),
            )
        self.crash(host)

    def freeze(self, host: str) -> None:
        process = self.processes[host]
        process.frozen = True
        owned = [resource for resource in RESOURCES if process.ownership.owns(resource)]
        process.unsent = [(resource, self._identity(process)) for resource in owned]

    def wake(self, host: str) -> None:
        process = self.processes[host]
        process.frozen = False
        now = self.timers.now
        self._claims += [(now, resource, owner) for resource, owner in process.unsent]
        for deliver in process.inbox:
            deliver()
        process.inbox.clear()

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            for process in list(self.processes.values()):
                if not process.frozen:
                    self._run(process)
            self.timers.advance(STEP_SECONDS)
            self.check()

    def owners(self, resource: str) -> set[HostId]:
        return {p.host for p in self._running() if p.ownership.owns(resource)}

    def active(self) -> set[HostId]:
        return {p.host for p in self._running() if p.ownership.active}

    def check(self) -> None:
        now = self.timers.now
        self._claims = [c for c in self._claims if now - c[0] <= TRANSIT_SECONDS]
        for process in self._running():
            for resource in RESOURCES:
                if process.ownership.owns(resource):
                    self._claims.append((now, resource, self._identity(process)))
        for resource in RESOURCES:
            self._check_resource(resource)

    def _check_resource(self, resource: str) -> None:
        claimed = {
            owner
            for _, claimed_resource, owner in self._claims
            if claimed_resource == resource
        }
        accepted = {
            (owner, process.host)
            for process in self._running()
            for owner in claimed
            if process.ownership.may_release(resource, owner)
        }
        if len({owner for owner, _ in accepted}) > 1:
            self.violations.append((self.timers.now, resource, accepted))

    def _running(self) -> list[Process]:
        return [p for p in self.processes.values() if not p.frozen]

    def _identity(self, process: Process) -> Owner:
        own = getattr(process.ownership, "own", None)
        return own or Owner(process.host, Incarnation(0), f"{process.host}:1")

    def _run(self, process: Process) -> None:
        node = process.ownership
        host = process.host
        if not self.list_cut[host]:
            listed = self._read(host)
            if listed is not None:
                node.receive_list((name, f"{name}:1") for name in sorted(listed))
        if not isinstance(node, AcknowledgedOwnership):
            return
        for contact, ask in node.tick():
            self._send(contact.host, self._exchange(process, ask))
        incarnation = node.own.incarnation
        for other in list(self.processes):
            if other != host:
                self._send(other, lambda to: to.receive_heartbeat(host, incarnation))

    def _exchange(self, asker: Process, ask: object) -> Callable:
        def answer(node: AcknowledgedOwnership) -> None:
            ack = node.receive_ask(ask)
            if ack is not None:
                same = asker.generation
                self._send(asker.host, lambda to: to.receive_ack(ack), same)

        return answer

    def _read(self, host: HostId) -> frozenset[HostId] | None:
        moment = self.timers.now - self.list_lag[host]
        seen = [hosts for time, hosts in self._lists if time <= moment]
        return seen[-1] if seen else None

    def _send(self, host: HostId, act: Callable, generation: int | None = None) -> None:
        """Deliver a message late, twice, out of order or not at all."""
        if self._random.random() < self._loss:
            return
        copies = 2 if self._random.random() < DUPLICATION_PROBABILITY else 1
        for _ in range(copies):
            delay = float(self._random.uniform(0.0, MAX_DELAY_SECONDS))
            self.timers.after(delay, lambda: self._deliver(host, act, generation))

    def _deliver(self, host: HostId, act: Callable, generation: int | None) -> None:
        process = self.processes.get(host)
        if process is None or generation not in (None, process.generation):
            return
        if process.frozen:
            process.inbox.append(lambda: act(process.ownership))
        else:
            act(process.ownership)
