"""Adaptive admission with a limit, a short queue, shed levels and fair shares."""

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
MAX_WAIT_DEADLINE_SHARE = 0.25
PROTECTED_QUEUE_FACTOR = 16
ORDER_MARGIN_SECONDS = 0.001
MAX_RETRY_AFTER_SECONDS = 10.0


class AdaptiveAdmission(AdmissionController, PermitOwner):
    """Adaptive admission control for one backend server.

    A call waits in the queue for at most the queue interval; during a standing queue,
    for at most the queue target, which is shorter. A call is parked while its backend
    server waits for another service: the call keeps its slot but does not count against
    the adaptive limit, so a slow downstream service neither lowers the limit nor
    exhausts it.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits and periods of admission.
    timers : TimerService
        Clock and timers.
    limiter : ConcurrencyLimiter
        Limit on concurrent calls.
    slots : int
        Number of calls that the backend server can hold at once.
    random_state : numpy.random.Generator
        Source of jitter for the retry-after hints.
    events : AdmissionEvents, optional
        Receiver of admission events.
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
        self._last_empty_at: dict[int, float] = {}
        self._order = ShedOrder(settings.order_seconds)
        self._updated = timers.now

    @property
    def load(self) -> Load:
        """Current load, with the level of teams that have no level of their own."""
        self._update_levels()
        return self._load(self._levels.default_level)

    @property
    def levels(self) -> ShedLevels:
        """Shed levels of the teams."""
        return self._levels

    def load_for(self, team: TeamId) -> Load:
        """Current load, with the shed level of `team`."""
        self._update_levels()
        return self._load(self._levels.level(team))

    def configure(
        self, slots: int, weights: Mapping[TeamId, float], classes: int
    ) -> None:
        """Apply a bundle: bound of the limit, team weights and number of classes."""
        if slots != self._slots:
            self._slots = slots
            self._limiter.set_bound(slots)
        self._queue.set_weights(weights)
        self._levels.configure(weights, classes)
        self._start_waiting_calls()

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """Return a permit, once one is free, or a refusal."""
        decided = asyncio.get_running_loop().create_future()

        def decide(refusal: Refusal | None) -> None:
            if decided.cancelled():
                self._return_permit(refusal)
            else:
                decided.set_result(refusal)

        waiter = self.offer(request, decide)
        try:
            refusal = await decided
        except asyncio.CancelledError:
            if not decided.cancelled():
                self._return_permit(decided.result())
            self.withdraw(waiter)
            raise
        if refusal is not None:
            return Error(refusal)
        return Ok(self.permit())

    def offer(
        self, request: AdmissionRequest, callback: AdmissionCallback
    ) -> Waiter | None:
        """Admit, queue or refuse a call.

        The callback is called exactly once, now or later, unless the call is withdrawn.

        Returns
        -------
        Waiter or None
            The queued call; None if the call was decided immediately.
        """
        self._update_levels()
        now = self._timers.now
        rank = rank_of(request.priority, request.team, request.request_id)
        self._levels.record_arrival(request.priority, request.team, rank)
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
        self._capacity.record_saturation()
        is_above_level = rank > self._levels.level(request.team)
        if is_above_level and now > self._order.earliest_shed_time(request.priority):
            self._shed(request, callback, AdmissionEvent.SHED)
            return None
        waiter = Waiter(request, rank, now, callback)
        self._enqueue(waiter, now)
        return waiter

    def withdraw(self, waiter: Waiter | None) -> None:
        """Remove a cancelled call from the queue; its callback is not called."""
        if waiter is not None and waiter.waiting:
            waiter.timer.cancel()
            self._queue.remove(waiter)
            self._events.count(AdmissionEvent.WITHDRAWN)

    def permit(self) -> AdaptivePermit:
        """Return the permit of a call whose callback reported admission."""
        saturated = self._active >= self._limiter.limit
        return AdaptivePermit(self, self._limiter.window if saturated else None)

    def park(self) -> None:
        """Record that a running call waits for another service."""
        self._active -= 1
        self._parked += 1
        self._start_waiting_calls()

    def resume(self) -> None:
        """Record that a call no longer waits for another service.

        The call does not queue again, because that could deadlock with calls that
        wait for it.
        """
        self._parked -= 1
        self._active += 1

    def record_end(self, sample: Sample | None, window: int | None) -> None:
        """Record the end of a call and its observation."""
        self._active -= 1
        if sample is not None:
            self._record_sample(sample, window)
        self._start_waiting_calls()

    def _record_sample(self, sample: Sample, window: int | None) -> None:
        now = self._timers.now
        if not sample.overloaded:
            self._capacity.observe(sample.own_seconds, sample.seconds, now)
        if window is not None:
            before = self._limiter.limit
            self._limiter.observe(sample.own_seconds, sample.overloaded, window)
            if self._limiter.limit < before:
                self._events.count(AdmissionEvent.LIMIT_LOWERED)

    def _return_permit(self, refusal: Refusal | None) -> None:
        """Return a permit that was granted to a call cancelled at the same time."""
        if refusal is None:
            self.record_end(None, None)

    def _is_late(self, request: AdmissionRequest, now: float) -> bool:
        return request.deadline - now <= self._capacity.min_seconds(now)

    def _is_free(self) -> bool:
        if self._active + self._parked >= self._slots:
            return False
        return self._active < self._limiter.limit

    def _is_half_idle(self) -> bool:
        running = self._active + self._parked
        return running < min(self._slots, self._limiter.limit + self._parked) / 2

    def _start(self, request: AdmissionRequest, callback: AdmissionCallback) -> None:
        self._active += 1
        self._order.record_admission(request.priority, self._timers.now)
        self._levels.record_admission(request.priority, request.team)
        if not self._is_free():
            self._capacity.record_saturation()
        callback(None)

    def _enqueue(self, waiter: Waiter, now: float) -> None:
        priority = waiter.request.priority
        best_priority = self._queue.best_priority()
        if best_priority is None or best_priority > priority:
            self._last_empty_at[priority] = now
        self._queue.push(waiter)
        if len(self._queue) > self._max_queue_length():
            self._shed_excess_call(now)
            if not waiter.waiting:
                return
        wait_until = max(
            now
            + min(
                self._max_wait(priority, now),
                MAX_WAIT_DEADLINE_SHARE * (waiter.request.deadline - now),
            ),
            self._order.earliest_shed_time(priority) + ORDER_MARGIN_SECONDS,
        )
        self._expire_at(waiter, min(wait_until, waiter.request.deadline))

    def _shed_excess_call(self, now: float) -> None:
        """Shed the least urgent call of an overfull queue.

        A call that must not be shed yet, because a less important call was admitted
        within the order window, stays while the queue is not longer than
        `PROTECTED_QUEUE_FACTOR` times its bound.
        """
        least_urgent = self._queue.least_urgent()
        is_protected = now <= self._order.earliest_shed_time(
            least_urgent.request.priority
        )
        if (
            is_protected
            and len(self._queue) <= PROTECTED_QUEUE_FACTOR * self._max_queue_length()
        ):
            return
        self._capacity.record_shed()
        self._evict(least_urgent, AdmissionEvent.EVICTED)

    def _expire_at(self, waiter: Waiter, wait_until: float) -> None:
        delay = wait_until - self._timers.now
        waiter.timer = self._timers.after(delay, lambda: self._expire(waiter))

    def _max_queue_length(self) -> int:
        return max(1, int(self._limiter.limit * self._settings.queue_factor))

    def _max_wait(self, priority: int, now: float) -> float:
        """Longest wait in seconds, which is shorter during a standing queue (CoDel).

        Only calls of the same or a more important class are ahead in the queue, so
        only those calls count as a standing queue.
        """
        settings = self._settings
        mean = self._capacity.own_seconds
        interval = settings.queue_interval_seconds
        interval = max(interval, INTERVAL_SERVICE_TIMES * mean)
        if now - self._last_empty_at.setdefault(priority, now) < interval:
            return interval
        return max(settings.queue_target_seconds, TARGET_SERVICE_TIMES * mean)

    def _expire(self, waiter: Waiter) -> None:
        self._capacity.record_shed()
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
        """Shed a call and all queued calls of less important classes."""
        self._order.record_shed(request.priority, self._timers.now)
        self._refuse(callback, Reason.OVERLOADED, event)
        while (self._queue.worst_priority() or 0) > request.priority:
            least_urgent = self._queue.least_urgent()
            least_urgent.timer.cancel()
            self._queue.remove(least_urgent)
            self._order.record_shed(least_urgent.request.priority, self._timers.now)
            self._refuse(
                least_urgent.callback, Reason.OVERLOADED, AdmissionEvent.GAVE_WAY
            )

    def _refuse(
        self, callback: AdmissionCallback, reason: Reason, event: AdmissionEvent
    ) -> None:
        self._events.count(event)
        callback(Refusal(reason, self._retry_after()))

    def _start_waiting_calls(self) -> None:
        """Start queued calls while permits are free."""
        while self._queue and self._is_free():
            waiter = self._queue.pop()
            waiter.timer.cancel()
            now = self._timers.now
            if self._is_late(waiter.request, now):
                event = AdmissionEvent.LATE
                self._refuse(waiter.callback, Reason.DEADLINE_EXCEEDED, event)
                continue
            self._start(waiter.request, waiter.callback)

    def _update_levels(self) -> None:
        now = self._timers.now
        elapsed = now - self._updated
        if elapsed < self._settings.level_seconds:
            return
        self._updated = now
        self._adjust_gain()
        self._levels.update(elapsed, self._calls_per_second() * self._capacity.gain)

    def _adjust_gain(self) -> None:
        has_standing_queue = len(self._queue) > self._max_queue_length() / 2
        self._capacity.adjust(has_standing_queue, self._is_half_idle(), self._is_free())

    def _calls_per_second(self) -> float:
        limit = self._limiter.steady_limit
        return self._capacity.calls_per_second(limit, self._slots)

    def _retry_after(self) -> float:
        """Return a hint in proportion to the overload, with jitter.

        The jitter keeps refused callers from returning at the same time.
        """
        capacity = max(self._calls_per_second(), 1e-9)
        excess = max(1.0, self._levels.demand() / capacity)
        mean_hint = self._settings.retry_after_seconds * excess / 2
        spread = self._random.uniform(0.5, 1.5)
        return float(min(MAX_RETRY_AFTER_SECONDS, mean_hint) * spread)

    def _load(self, level: float) -> Load:
        running = self._active + self._parked
        limit = min(self._slots, self._limiter.limit + self._parked)
        return Load(running, limit, len(self._queue), level)
