"""Adaptive admission: limit, short queue, shed levels and fair shares."""

import asyncio
from collections.abc import Mapping

import numpy as np
from expression import Error, Ok, Result

from damaskramp.admission.admission import (
    AdmissionController,
    AdmissionRequest,
    Load,
    Permit,
    Refusal,
    Sample,
)
from damaskramp.admission.capacity import CapacityEstimate
from damaskramp.admission.events import AdmissionEvent, AdmissionEvents
from damaskramp.admission.levels import ShedLevels
from damaskramp.admission.limiter import ConcurrencyLimiter
from damaskramp.admission.order import ShedOrder
from damaskramp.admission.permit import AdaptivePermit, PermitOwner
from damaskramp.admission.queue import AdmissionCallback, Waiter, WaitQueue
from damaskramp.admission.rank import rank_of
from damaskramp.config import AdmissionSettings
from damaskramp.core import Reason, TeamId, TimerService

__all__ = ["AdaptiveAdmission"]

DEFAULT_CLASSES = 3
INTERVAL_SERVICE_TIMES = 4.0
TARGET_SERVICE_TIMES = 1.0
WAIT_SHARE = 0.25
SPARED_FACTOR = 16
ORDER_MARGIN_SECONDS = 0.001
LONGEST_RETRY_AFTER_SECONDS = 10.0


class AdaptiveAdmission(AdmissionController, PermitOwner):
    """Admission to one backend server.

    A call waits at most for the queue interval, and only for the shorter target
    while the queue stands. A call whose own backend server waits for another
    service is parked: it keeps its slot but does not count against the adaptive
    limit, so a slow service further down neither lowers the limit nor uses it up.

    Parameters
    ----------
    settings : AdmissionSettings
        Settings.
    timers : TimerService
        Time.
    limiter : ConcurrencyLimiter
        Limit on the calls at once.
    slots : int
        Calls that the backend server can hold at once.
    random_state : numpy.random.Generator
        Spreads the retry-after hints.
    events : AdmissionEvents, optional
        Told of what happens.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        timers: TimerService,
        limiter: ConcurrencyLimiter,
        slots: int,
        random_state: np.random.Generator,
        events: AdmissionEvents | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._limiter = limiter
        self._slots = slots
        self._random = random_state
        self._events = events or AdmissionEvents()
        self._active = 0
        self._parked = 0
        self._queue = WaitQueue({})
        self._levels = ShedLevels({}, DEFAULT_CLASSES)
        self._capacity = CapacityEstimate()
        self._empty_at: dict[int, float] = {}
        self._order = ShedOrder(settings.order_seconds)
        self._updated = timers.now

    @property
    def load(self) -> Load:
        """Current state, with the level of teams that ask for less than a share."""
        self._refresh()
        return self._load(self._levels.common)

    @property
    def levels(self) -> ShedLevels:
        """Shed levels of the teams."""
        return self._levels

    def load_for(self, team: TeamId) -> Load:
        """Current state, with the shed level that holds for `team`."""
        self._refresh()
        return self._load(self._levels.level(team))

    def configure(
        self, slots: int, weights: Mapping[TeamId, float], classes: int
    ) -> None:
        """Follow a bundle."""
        if slots != self._slots:
            self._slots = slots
            self._limiter.set_bound(slots)
        self._queue.set_weights(weights)
        self._levels.configure(weights, classes)
        self._pump()

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Wait for a permit, or refuse."""
        decided = asyncio.get_running_loop().create_future()

        def decide(refusal: Refusal | None) -> None:
            if decided.cancelled():
                self._give_back(refusal)
            else:
                decided.set_result(refusal)

        waiter = self.offer(request, decide)
        try:
            refusal = await decided
        except asyncio.CancelledError:
            if not decided.cancelled():
                self._give_back(decided.result())
            self.withdraw(waiter)
            raise
        if refusal is not None:
            return Error(refusal)
        return Ok(self.permit())

    def offer(
        self, request: AdmissionRequest, callback: AdmissionCallback
    ) -> Waiter | None:
        """Decide now or later; `callback` is called exactly once unless withdrawn.

        Returns
        -------
        Waiter or None
            The waiting call, None where it was decided at once.
        """
        self._refresh()
        now = self._timers.now
        rank = rank_of(request.priority, request.team, request.request_id)
        self._levels.arrived(request.priority, request.team, rank)
        if self._is_late(request, now):
            self._refuse(callback, Reason.DEADLINE_EXCEEDED, AdmissionEvent.LATE)
            return None
        if not self._order.may_admit(request.priority, now):
            self._shed(request, callback, AdmissionEvent.SHED)
            return None
        if self._is_free() and not self._queue:
            self._queue.charge(request)
            self._start(request, callback)
            return None
        self._capacity.saturate()
        above = rank > self._levels.level(request.team)
        if above and now > self._order.may_shed_from(request.priority):
            self._shed(request, callback, AdmissionEvent.SHED)
            return None
        waiter = Waiter(request, rank, now, callback)
        self._enqueue(waiter, now)
        return waiter

    def withdraw(self, waiter: Waiter | None) -> None:
        """Let a cancelled call leave the queue; its verdict is not called."""
        if waiter is not None and waiter.waiting:
            waiter.timer.cancel()
            self._queue.remove(waiter)
            self._events.count(AdmissionEvent.WITHDRAWN)

    def permit(self) -> AdaptivePermit:
        """Permit of a call that was told to start."""
        saturated = self._active >= self._limiter.limit
        return AdaptivePermit(self, self._limiter.window if saturated else None)

    def park(self) -> None:
        """Note that a running call waits for another service."""
        self._active -= 1
        self._parked += 1
        self._pump()

    def resume(self) -> None:
        """Note that a call no longer waits for another service.

        It does not queue again: that could deadlock with calls that wait for it.
        """
        self._parked -= 1
        self._active += 1

    def leave(self, sample: Sample | None, window: int | None) -> None:
        """Count one call as ended, and learn from it."""
        self._active -= 1
        if sample is not None:
            self._learn(sample, window)
        self._pump()

    def _learn(self, sample: Sample, window: int | None) -> None:
        now = self._timers.now
        if not sample.overloaded:
            self._capacity.observe(sample.own_seconds, sample.seconds, now)
        if window is not None:
            before = self._limiter.limit
            self._limiter.observe(sample.own_seconds, sample.overloaded, window)
            if self._limiter.limit < before:
                self._events.count(AdmissionEvent.LIMIT_LOWERED)

    def _give_back(self, refusal: Refusal | None) -> None:
        """Return a permit that came together with the caller's cancellation."""
        if refusal is None:
            self.leave(None, None)

    def _is_late(self, request: AdmissionRequest, now: float) -> bool:
        return request.deadline - now <= self._capacity.least_seconds(now)

    def _is_free(self) -> bool:
        if self._active + self._parked >= self._slots:
            return False
        return self._active < self._limiter.limit

    def _is_half_idle(self) -> bool:
        running = self._active + self._parked
        return running < min(self._slots, self._limiter.limit + self._parked) / 2

    def _start(self, request: AdmissionRequest, callback: AdmissionCallback) -> None:
        self._active += 1
        self._order.admitted(request.priority, self._timers.now)
        self._levels.admitted(request.priority, request.team)
        if not self._is_free():
            self._capacity.saturate()
        callback(None)

    def _enqueue(self, waiter: Waiter, now: float) -> None:
        priority = waiter.request.priority
        best = self._queue.best_priority()
        if best is None or best > priority:
            self._empty_at[priority] = now
        self._queue.push(waiter)
        if len(self._queue) > self._queue_bound():
            self._make_room(now)
            if not waiter.waiting:
                return
        end = max(
            now
            + min(
                self._longest_wait(priority, now),
                WAIT_SHARE * (waiter.request.deadline - now),
            ),
            self._order.may_shed_from(priority) + ORDER_MARGIN_SECONDS,
        )
        self._expire_at(waiter, min(end, waiter.request.deadline))

    def _make_room(self, now: float) -> None:
        """Shed the last in order; one that must not be shed yet may stay a while."""
        last = self._queue.last()
        spared = now <= self._order.may_shed_from(last.request.priority)
        if spared and len(self._queue) <= SPARED_FACTOR * self._queue_bound():
            return
        self._capacity.press()
        self._evict(last, AdmissionEvent.EVICTED)

    def _expire_at(self, waiter: Waiter, moment: float) -> None:
        delay = moment - self._timers.now
        waiter.timer = self._timers.after(delay, lambda: self._expire(waiter))

    def _queue_bound(self) -> int:
        return max(1, int(self._limiter.limit * self._settings.queue_factor))

    def _longest_wait(self, priority: int, now: float) -> float:
        """Bound on the wait, short while the queue stands (controlled delay).

        Only calls of the same or a more important class are ahead, so only those
        make a standing queue.
        """
        settings = self._settings
        mean = self._capacity.own_seconds
        interval = settings.queue_interval_seconds
        interval = max(interval, INTERVAL_SERVICE_TIMES * mean)
        if now - self._empty_at.setdefault(priority, now) < interval:
            return interval
        return max(settings.queue_target_seconds, TARGET_SERVICE_TIMES * mean)

    def _expire(self, waiter: Waiter) -> None:
        self._capacity.press()
        self._evict(waiter, AdmissionEvent.WAITED_TOO_LONG)

    def _evict(self, waiter: Waiter, event: AdmissionEvent) -> None:
        waiter.timer.cancel()
        self._queue.remove(waiter)
        self._shed(waiter.request, waiter.callback, event)

    def _shed(
        self,
        request: AdmissionRequest,
        callback: AdmissionCallback,
        event: AdmissionEvent,
    ) -> None:
        """Shed a call, and all lesser ones that wait."""
        self._order.shed(request.priority, self._timers.now)
        self._refuse(callback, Reason.OVERLOADED, event)
        while (self._queue.worst_priority() or 0) > request.priority:
            last = self._queue.last()
            last.timer.cancel()
            self._queue.remove(last)
            self._order.shed(last.request.priority, self._timers.now)
            self._refuse(last.callback, Reason.OVERLOADED, AdmissionEvent.GAVE_WAY)

    def _refuse(
        self, callback: AdmissionCallback, reason: Reason, event: AdmissionEvent
    ) -> None:
        self._events.count(event)
        callback(Refusal(reason, self._retry_after()))

    def _pump(self) -> None:
        """Start waiting calls while there is room."""
        while self._queue and self._is_free():
            waiter = self._queue.pop()
            waiter.timer.cancel()
            now = self._timers.now
            if self._is_late(waiter.request, now):
                event = AdmissionEvent.LATE
                self._refuse(waiter.callback, Reason.DEADLINE_EXCEEDED, event)
                continue
            self._start(waiter.request, waiter.callback)

    def _refresh(self) -> None:
        now = self._timers.now
        elapsed = now - self._updated
        if elapsed < self._settings.level_seconds:
            return
        self._updated = now
        self._adjust_gain()
        self._levels.update(elapsed, self._calls_per_second() * self._capacity.gain)

    def _adjust_gain(self) -> None:
        stands = len(self._queue) > self._queue_bound() / 2
        self._capacity.adjust(stands, self._is_half_idle(), self._is_free())

    def _calls_per_second(self) -> float:
        limit = self._limiter.steady_limit
        return self._capacity.calls_per_second(limit, self._slots)

    def _retry_after(self) -> float:
        """Hint in proportion to the overload, spread so that none come together."""
        capacity = max(self._calls_per_second(), 1e-9)
        excess = max(1.0, self._levels.demand() / capacity)
        middle = self._settings.retry_after_seconds * excess / 2
        spread = self._random.uniform(0.5, 1.5)
        return float(min(LONGEST_RETRY_AFTER_SECONDS, middle) * spread)

    def _load(self, level: float) -> Load:
        running = self._active + self._parked
        limit = min(self._slots, self._limiter.limit + self._parked)
        return Load(running, limit, len(self._queue), level)
