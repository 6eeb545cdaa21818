"""Three services in a chain under a virtual clock, for `benchmarks.admission`.

Each backend server runs calls on slots, first come, first served, holds a bounded
number of connections and gives up a call at its deadline. The parts that decide are
those of `damaskramp.admission` itself.
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

__all__ = ["ChainModel", "Control", "Place", "ServiceModel", "Verdict"]

NETWORK_SECONDS = 0.0005
INFINITE = float("inf")
CLASSES = 3


@dataclass(frozen=True)
class ServiceModel:
    """A service with one backend server.

    Attributes
    ----------
    seconds : float
        Mean time of a call on its slot.
    """

    name: str
    slots: int
    connections: int
    seconds: float

    @property
    def capacity(self) -> float:
        """Calls a second at full speed."""
        return self.slots / self.seconds


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a place decided on a call; a waiting call has `since` before `moment`."""

    moment: float
    since: float
    priority: int
    admitted: bool
    shed: bool


Done = Callable[[bool], None]


class Backend:
    """Backend server: slots, connections, first come, first served."""

    def __init__(self, timers: VirtualTimers, model: ServiceModel, seed: int) -> None:
        self._timers = timers
        self._model = model
        self._random = np.random.default_rng(seed)
        self._waiting: deque[tuple[float, Done]] = deque()
        self._running = 0
        self.slow = 1.0

    def run(self, deadline: float, done: Done) -> None:
        """Run a call; `done` is told whether it was answered."""
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

    def _end(self, done: Done, answered: bool) -> None:
        self._running -= 1
        done(answered)
        self._start()


class Control(ABC):
    """Admission before one backend server, as the model drives it."""

    @abstractmethod
    def offer(
        self, demand: AdmissionRequest, verdict: Callable[[Refusal | None], None]
    ) -> None:
        """Decide now or later."""

    @abstractmethod
    def begin(self) -> object:
        """Permit of a call that may start."""

    @abstractmethod
    def load(self, team: TeamId) -> Load:
        """State told on replies."""


class FixedControl(Control):
    """A fixed number of calls at once; infinite for no control."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._running = 0

    def offer(
        self, demand: AdmissionRequest, verdict: Callable[[Refusal | None], None]
    ) -> None:
        """Admit below the limit."""
        if self._running >= self._limit:
            verdict(Refusal(Reason.OVERLOADED))
        else:
            verdict(None)

    def begin(self) -> "FixedControl":
        """Count a call."""
        self._running += 1
        return self

    def park(self) -> None:
        """Do nothing: the baseline counts calls that wait for others."""

    def resume(self) -> None:
        """Do nothing."""

    def release(self, sample: Sample | None) -> None:
        """Count a call as ended."""
        self._running -= 1

    def load(self, team: TeamId) -> Load:
        """No level."""
        return Load()


class AdaptiveControl(Control):
    """`AdaptiveAdmission` itself."""

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
        self, demand: AdmissionRequest, verdict: Callable[[Refusal | None], None]
    ) -> None:
        """Ask the admission."""
        self.admission.offer(demand, verdict)

    def begin(self) -> object:
        """Permit."""
        return self.admission.permit()

    def load(self, team: TeamId) -> Load:
        """State with the team's level."""
        return self.admission.load_for(team)


@dataclass
class Place:
    """A service's node and backend server, with the verdicts given there."""

    model: ServiceModel
    backend: Backend
    control: Control
    verdicts: list[Verdict] = field(default_factory=list)


class ChainModel:
    """The chain; calls enter at the first service.

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
        self.places: list[Place] = []
        self.entries: list[list[Verdict]] = [[] for _ in services]
        for hop, model in enumerate(services):
            if mode == "adaptive":
                control = AdaptiveControl(timers, model.slots, weights, seed + hop)
            else:
                control = FixedControl(INFINITE if mode == "none" else model.slots)
            backend = Backend(timers, model, seed + 100 + hop)
            self.places.append(Place(model, backend, control))
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
        """Make a call from the node of the hop before; told the level known."""
        early = self._early[hop]
        path = TrafficClass(ServiceName(self.places[hop].model.name), "/", team)
        refused = early.check(path, rank_of(priority, team, request)).is_error()
        now = self._timers.now
        self.entries[hop].append(Verdict(now, now, priority, not refused, refused))
        if refused:
            done(False, early.level(path))
            return

        def replied(answered: bool, load: Load) -> None:
            early.record_load(path, HostId("only"), load)
            done(answered, early.level(path))

        demand = AdmissionRequest(request, team, priority, hop, deadline)
        self._timers.after(
            NETWORK_SECONDS, lambda: _Execution(self, hop, demand, replied).offer()
        )


class _Execution:
    """One call at one place."""

    def __init__(
        self,
        chain: ChainModel,
        hop: int,
        demand: AdmissionRequest,
        replied: Callable[[bool, Load], None],
    ) -> None:
        self._chain = chain
        self._timers = chain._timers
        self._hop = hop
        self._place = chain.places[hop]
        self._demand = demand
        self._replied = replied
        self._since = self._timers.now
        self._level = INFINITE
        self._nested_seconds = 0.0

    def offer(self) -> None:
        self._since = self._timers.now
        self._place.control.offer(self._demand, self._decided)

    def _decided(self, refusal: Refusal | None) -> None:
        shed = refusal is not None and refusal.reason is Reason.OVERLOADED
        self._place.verdicts.append(
            Verdict(
                self._timers.now,
                self._since,
                self._demand.priority,
                refusal is None,
                shed,
            )
        )
        if refusal is not None:
            self._reply(False)
            return
        self._permit = self._place.control.begin()
        self._started = self._timers.now
        self._place.backend.run(self._demand.deadline, self._served)

    def _served(self, answered: bool) -> None:
        if not answered or self._hop + 1 == len(self._chain.places):
            self._finish(answered, not answered)
            return
        self._permit.park()
        self._parked = self._timers.now
        demand = self._demand
        self._chain.call(
            self._hop + 1,
            demand.request_id,
            demand.team,
            demand.priority,
            demand.deadline,
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
        load = self._place.control.load(self._demand.team)
        told = Load(shed_level=min(load.shed_level, self._level))
        self._timers.after(NETWORK_SECONDS, lambda: self._replied(answered, told))
