"""Model of three chained services on a virtual clock, for `benchmarks.admission`.

Each backend server runs calls on slots in order of arrival, holds a bounded number of
connections and aborts a call at its deadline. The admission decisions are made by
`damaskramp.admission` itself.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from damaskramp.admission import (
    AdaptiveAdmission,
    AdmissionRequest,
    EarlyRefusal,
    Load,
    ProbingLimiter,
    Refusal,
    Sample,
    TrafficClass,
    rank_of,
)
from damaskramp.config import AdmissionSettings
from damaskramp.core import (
    HostId,
    Reason,
    RequestId,
    ServiceName,
    TeamId,
    VirtualTimers,
)

__all__ = ["ChainModel", "Control", "Decision", "ServiceModel", "ServiceNode"]

NETWORK_SECONDS = 0.0005
INFINITE = float("inf")
CLASSES = 3


@dataclass(frozen=True)
class ServiceModel:
    """Service with one backend server.

    Attributes
    ----------
    seconds : float
        Mean time that a call occupies a slot.
    """

    name: str
    slots: int
    connections: int
    seconds: float

    @property
    def capacity(self) -> float:
        """Calls per second at full speed."""
        return self.slots / self.seconds


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a call at a node.

    Attributes
    ----------
    moment : float
        Time of the decision in seconds.
    since : float
        Time of the offer in seconds; earlier than `moment` if the call waited.
    """

    moment: float
    since: float
    priority: int
    admitted: bool
    shed: bool


DoneCallback = Callable[[bool], None]


class Backend:
    """Backend server with slots and connections; runs calls in order of arrival."""

    def __init__(self, timers: VirtualTimers, model: ServiceModel, seed: int) -> None:
        self._timers = timers
        self._model = model
        self._random = np.random.default_rng(seed)
        self._waiting: deque[tuple[float, DoneCallback]] = deque()
        self._running = 0
        self.slow = 1.0

    def run(self, deadline: float, done: DoneCallback) -> None:
        """Run a call; `done` is called with whether it was answered."""
        if self._running + len(self._waiting) >= self._model.connections:
            done(False)
            return
        self._waiting.append((deadline, done))
        self._start()

    def _start(self) -> None:
        while self._waiting and self._running < self._model.slots:
            deadline, done = self._waiting.popleft()
            left = deadline - self._timers.now
            if left <= 0:
                done(False)
                continue
            self._running += 1
            seconds = self._model.seconds * self.slow * self._random.gamma(8.0, 1 / 8)
            answered = seconds <= left
            self._timers.after(
                min(seconds, left), lambda d=done, a=answered: self._end(d, a)
            )

    def _end(self, done: DoneCallback, answered: bool) -> None:
        self._running -= 1
        done(answered)
        self._start()


class Control(ABC):
    """Admission control in front of one backend server of the model."""

    @abstractmethod
    def offer(
        self,
        admission_request: AdmissionRequest,
        callback: Callable[[Refusal | None], None],
    ) -> None:
        """Offer a call; the callback receives the decision at once or later."""

    @abstractmethod
    def begin(self) -> object:
        """Start an admitted call and return its permit."""

    @abstractmethod
    def load(self, team: TeamId) -> Load:
        """Return the load that replies to a team report."""


class FixedControl(Control):
    """Fixed limit on concurrent calls; an infinite limit means no control."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._running = 0

    def offer(
        self,
        admission_request: AdmissionRequest,
        callback: Callable[[Refusal | None], None],
    ) -> None:
        """Admit a call if fewer calls than the limit are running."""
        if self._running >= self._limit:
            callback(Refusal(Reason.OVERLOADED))
        else:
            callback(None)

    def begin(self) -> "FixedControl":
        """Count a call as running."""
        self._running += 1
        return self

    def park(self) -> None:
        """Do nothing: the baseline also counts calls that wait for nested calls."""

    def resume(self) -> None:
        """Do nothing, as `park` does not change the count."""

    def release(self, sample: Sample | None) -> None:
        """Stop counting a call as running."""
        self._running -= 1

    def load(self, team: TeamId) -> Load:
        """Return a load without a shed level."""
        return Load()


class AdaptiveControl(Control):
    """Control by `AdaptiveAdmission`."""

    def __init__(
        self, timers: VirtualTimers, slots: int, weights: dict, seed: int
    ) -> None:
        settings = AdmissionSettings()
        limiter = ProbingLimiter(settings.minimum_limit, slots)
        random_state = np.random.default_rng(seed)
        self.admission = AdaptiveAdmission(
            settings, timers, limiter, slots, random_state
        )
        self.admission.configure(slots, weights, CLASSES)

    def offer(
        self,
        admission_request: AdmissionRequest,
        callback: Callable[[Refusal | None], None],
    ) -> None:
        """Offer a call to the adaptive admission."""
        self.admission.offer(admission_request, callback)

    def begin(self) -> object:
        """Return a permit of the adaptive admission."""
        return self.admission.permit()

    def load(self, team: TeamId) -> Load:
        """Return the load with the team's shed level."""
        return self.admission.load_for(team)


@dataclass
class ServiceNode:
    """Node and backend server of a service, with the decisions made there."""

    model: ServiceModel
    backend: Backend
    control: Control
    decisions: list[Decision] = field(default_factory=list)


class ChainModel:
    """Chain of services; calls enter at the first one.

    Parameters
    ----------
    mode : str
        ``none``, ``fixed`` or ``adaptive``.
    """

    def __init__(
        self,
        timers: VirtualTimers,
        services: list[ServiceModel],
        mode: str,
        weights: dict[TeamId, float],
        seed: int,
    ) -> None:
        self._timers = timers
        self._early: list[EarlyRefusal] = []
        self.service_nodes: list[ServiceNode] = []
        self.entries: list[list[Decision]] = [[] for _ in services]
        for hop, model in enumerate(services):
            if mode == "adaptive":
                control = AdaptiveControl(timers, model.slots, weights, seed + hop)
            else:
                control = FixedControl(INFINITE if mode == "none" else model.slots)
            backend = Backend(timers, model, seed + 100 + hop)
            self.service_nodes.append(ServiceNode(model, backend, control))
            random_state = np.random.default_rng(seed + 200 + hop)
            early = EarlyRefusal(AdmissionSettings(), timers, random_state)
            early.configure(CLASSES)
            self._early.append(early)

    def call(
        self,
        hop: int,
        request: RequestId,
        team: TeamId,
        priority: int,
        deadline: float,
        done: Callable[[bool, float], None],
    ) -> None:
        """Make a call from the node of the previous hop.

        `done` receives whether the call was answered, and the shed level known there.
        """
        early = self._early[hop]
        traffic_class = TrafficClass(
            ServiceName(self.service_nodes[hop].model.name), "/", team
        )
        refused = early.check(
            traffic_class, rank_of(priority, team, request)
        ).is_error()
        now = self._timers.now
        self.entries[hop].append(Decision(now, now, priority, not refused, refused))
        if refused:
            done(False, early.level(traffic_class))
            return

        def replied(answered: bool, load: Load) -> None:
            early.record_load(traffic_class, HostId("only"), load)
            done(answered, early.level(traffic_class))

        admission_request = AdmissionRequest(request, team, priority, hop, deadline)
        self._timers.after(
            NETWORK_SECONDS,
            lambda: _Execution(self, hop, admission_request, replied).offer(),
        )


class _Execution:
    """Execution of one call at one service node."""

    def __init__(
        self,
        chain: ChainModel,
        hop: int,
        admission_request: AdmissionRequest,
        replied: Callable[[bool, Load], None],
    ) -> None:
        self._chain = chain
        self._timers = chain._timers
        self._hop = hop
        self._service_node = chain.service_nodes[hop]
        self._admission_request = admission_request
        self._replied = replied
        self._since = self._timers.now
        self._level = INFINITE
        self._nested_seconds = 0.0

    def offer(self) -> None:
        self._since = self._timers.now
        self._service_node.control.offer(self._admission_request, self._decided)

    def _decided(self, refusal: Refusal | None) -> None:
        shed = refusal is not None and refusal.reason is Reason.OVERLOADED
        self._service_node.decisions.append(
            Decision(
                self._timers.now,
                self._since,
                self._admission_request.priority,
                refusal is None,
                shed,
            )
        )
        if refusal is not None:
            self._reply(False)
            return
        self._permit = self._service_node.control.begin()
        self._started = self._timers.now
        self._service_node.backend.run(self._admission_request.deadline, self._served)

    def _served(self, answered: bool) -> None:
        if not answered or self._hop + 1 == len(self._chain.service_nodes):
            self._finish(answered, not answered)
            return
        self._permit.park()
        self._parked = self._timers.now
        admission_request = self._admission_request
        self._chain.call(
            self._hop + 1,
            admission_request.request_id,
            admission_request.team,
            admission_request.priority,
            admission_request.deadline,
            self._nested_done,
        )

    def _nested_done(self, answered: bool, level: float) -> None:
        self._permit.resume()
        self._nested_seconds = self._timers.now - self._parked
        self._level = level
        self._finish(answered, False)

    def _finish(self, answered: bool, overloaded: bool) -> None:
        seconds = self._timers.now - self._started
        self._permit.release(Sample(seconds, overloaded, self._nested_seconds))
        self._reply(answered)

    def _reply(self, answered: bool) -> None:
        load = self._service_node.control.load(self._admission_request.team)
        reported_load = Load(shed_level=min(load.shed_level, self._level))
        self._timers.after(
            NETWORK_SECONDS, lambda: self._replied(answered, reported_load)
        )
