"""Queue of a backend server: order of its requests and early refusal.

Every request of a backend server passes through the node beside it, so the node knows
which requests run and which wait there. It keeps as many requests running as the server
has slots for, below the share of slots at which servers slow down, and queues a few
more. If the server limits the requests a second that it takes, they start no faster.

This protects against a surge on a service deep in the call graph. Calls made by running
requests go before new requests, because refusing a call wastes the work done by the
services above. Among calls whose root is known, those of more important and then of
more advanced roots go first. New requests still keep a share of the slots, so that a
service that receives both kinds serves both. A request that would wait past its latency
target is refused on arrival, while its caller can still use another server or retry
later. A waiting request that others overtake is refused as soon as it can no longer end
in time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from damaskramp.dispatch.call_depths import UNKNOWN
from damaskramp.dispatch.cold_server import ColdServer
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.outcome_limit import OutcomeLimit, OutcomeLimitSettings
from damaskramp.dispatch.server_pace import ServerPace
from damaskramp.dispatch.server_rate import ServerRate, ServerRateSettings
from damaskramp.dispatch.team_shares import TeamWeights
from damaskramp.dispatch.weighted_queue import LOWEST_PRIORITY, WeightedQueue
from damaskramp.dispatch.work import Work

__all__ = ["QueueDecision", "SlotQueue", "SlotSettings"]

MAX_BOUND_PER_SLOT = 5
"""Ceiling of the bound on new requests, per slot. It is so high that in practice it
does not limit new requests."""

MAX_INSPECTED_RUNS = 16
"""Number of running requests up to which the remaining time of each is estimated; with
more of them, one ends soon anyway."""

MIN_REMAINING_SHARE = 0.25
"""Shortest remaining time that is assumed for a run, as a share of the mean service
time of its kind, however long it has run already."""


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Settings of a slot queue.

    Attributes
    ----------
    full_share : float
        Share of the slots in use from which some servers slow down; the queue stays
        below it. The platform's servers slow down at about 0.95.
    full_slowdown : float
        Factor by which runs may take longer at a server whose slots are all in use.
    call_weight, new_request_weight : float
        Weights by which calls of running requests and new requests share the time of
        the slots while both wait. A request at one level makes several calls at the
        level below, so calls have the greater weight.
    max_waiting_per_slot : float
        Largest number of waiting requests per slot. It bounds memory and is far above
        the number that the bounds on waiting time admit.
    max_wait_share : float
        Share of a request's spare time that its expected wait may take. The spare time
        is the time until the deadline or latency target, less the mean run time. Run
        times vary, so a queue that uses all the spare time makes most admitted requests
        late.
    slow_share : float
        Share of the time to the latency target that a run may take before it counts as
        bad.
    bad_outcome_retry_wait : float
        Seconds after which requests refused because of bad outcomes should be retried.
        The time spans several steps of the outcome limit and is a fraction of the
        deadlines of interactive callers.
    smoothing : float
        Weight of the newest service time in its exponential moving average, which
        covers about the last dozen runs.
    outcome_limit : OutcomeLimitSettings
        Settings of the bounds on new requests that follow their outcomes.
    server_rate : ServerRateSettings
        Settings for servers that limit the requests a second that they take.
    """

    full_share: float = 0.95
    full_slowdown: float = 1.4
    call_weight: float = 4.0
    new_request_weight: float = 1.0
    max_waiting_per_slot: float = 40.0
    max_wait_share: float = 0.5
    slow_share: float = 0.8
    bad_outcome_retry_wait: float = 0.7
    smoothing: float = 0.08
    outcome_limit: OutcomeLimitSettings = field(default_factory=OutcomeLimitSettings)
    server_rate: ServerRateSettings = field(default_factory=ServerRateSettings)


SLOWER_FACTOR = 1.4
"""Change of the pace from which a server counts as having become slow; statements of a
server that is as fast as usual vary by less."""


class QueueDecision(Enum):
    """Decision on a request that is offered to the queue."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class SlotQueue:
    """Requests that run or wait at one backend server.

    Attributes
    ----------
    depth : int
        Number of levels of services that the server's calls reach, reported in `load`.
    rate : ServerRate
        Limit on the requests a second, as stated by the server or while it is cold.
    team_weights : TeamWeights
        Weights by which teams of one rank share the slots while their requests wait.

    Parameters
    ----------
    cold : ColdServer or None
        Warm-up of the server; None if none is known.
    """

    def __init__(
        self, settings: SlotSettings, slots: int, cold: ColdServer | None = None
    ) -> None:
        self._settings = settings
        self.depth = UNKNOWN
        self.rate = ServerRate(settings.server_rate, cold)
        self._running = 0
        self._waiting = 0
        self._service_times: dict[str, float] = {}
        self._mean_service_time = 0.02
        self.team_weights = TeamWeights()
        self._calls = WeightedQueue(settings.call_weight, self.team_weights)
        self._new_requests = WeightedQueue(
            settings.new_request_weight, self.team_weights
        )
        self._limit = 1
        self._slots = -1
        self._held: dict[int, int] = {}
        self._runs: set[Work] = set()
        self._bounds: dict[int, OutcomeLimit] = {}
        self.resize(slots)

    @property
    def limit(self) -> int:
        """Largest number of requests that run at the same time."""
        return self._limit

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def is_idle(self) -> bool:
        """Whether no request waits, and the server can't limit the requests."""
        return not self._waiting and self.rate.is_unlimited

    @property
    def waiting_teams(self) -> int:
        """Number of teams that have a waiting request."""
        return len(self._calls.teams | self._new_requests.teams)

    @property
    def load(self) -> Load:
        """Current load of the server."""
        return Load(
            self._running,
            self._waiting,
            self._limit,
            self._mean_service_time,
            self.depth,
            self.rate.limit or 0,
        )

    def load_with_pace(
        self, pace: ServerPace, kind: str, is_call: bool, priority: int, now: float
    ) -> Load:
        """Load with what a sender needs to know of a server that states its pace.

        Without a stated pace it is the same as `load`.
        """
        value = pace.value(now)
        if not value:
            return self.load
        wait = max(
            self.expected_wait(is_call, priority) * max(1.0, pace.change(now)),
            self._time_to_free_slot(now),
        )
        return self.load._replace(
            pace=value, run_time=pace.run_time(kind), queue_wait=wait
        )

    def release_waiting(self, now: float, change: float) -> list[Work]:
        """Remove and return waiting requests that other servers can run sooner.

        These are requests that were to be refused rather than wait longer than they
        run, at a server that has become slow since they were accepted.

        Parameters
        ----------
        change : float
            Current pace of the server as a multiple of its average.
        """
        if change < SLOWER_FACTOR or not self._waiting:
            return []
        released = []
        for queue in (self._calls, self._new_requests):
            ahead = 0.0
            for work in sorted(queue.waiting, key=lambda w: (w.priority, w.order)):
                wait = ahead * change / self._limit
                if work.fail_fast and wait > self.service_time(work.kind):
                    released.append(work)
                else:
                    ahead += work.cost
        for work in released:
            self._change_held(work, -1)
            self._mark_dequeued(work)
        return released

    def estimated_retry_wait(self, is_call: bool, priority: int) -> float:
        """Seconds until a refused request is likely to find room."""
        wait = max(
            self.expected_wait(is_call, priority), self.rate_wait(is_call, priority)
        )
        bound = self._bounds.get(priority)
        if is_call or bound is None or self._held.get(priority, 0) < bound.value:
            return wait
        return max(wait, self._settings.bad_outcome_retry_wait)

    def resize(self, slots: int) -> None:
        """Set the number of slots of the server; 0 if it is not known."""
        if slots == self._slots or not slots:
            return
        self._slots = slots
        below_full = int(slots * self._settings.full_share - 1e-9)
        # With few slots, a slot kept free costs more throughput than the slowdown of a
        # server whose slots are all in use.
        use_all_slots = slots / self._settings.full_slowdown > below_full
        limit = max(1, slots if use_all_slots else below_full)
        if limit != self._limit:
            self._limit = limit
            self._bounds.clear()

    def service_time(self, kind: str) -> float:
        """Mean run time of requests of a kind, in seconds."""
        return self._service_times.get(kind, self._mean_service_time)

    def expected_wait(self, is_call: bool, priority: int, team: str = "") -> float:
        """Seconds that a request offered now is expected to wait."""
        if self._running + self._waiting < self._limit:
            return 0.0
        own, share = self._own_queue_and_share(is_call)
        slots = float(self._limit)
        if self._waiting > own.count(LOWEST_PRIORITY):
            # The other queue keeps receiving requests, so this queue can count only on
            # the share of the slots' time that its own weight gives it.
            slots *= share
        return (own.cost_ahead(priority, team) + self._mean_service_time) / slots

    def rate_wait(self, is_call: bool, priority: int) -> float:
        """Seconds that a request must wait for the limit that the server states."""
        if self.rate.limit is None:
            return 0.0
        own, share = self._own_queue_and_share(is_call)
        return self.rate.wait(is_call, priority, own.count(priority), share)

    def _own_queue_and_share(self, is_call: bool) -> tuple[WeightedQueue, float]:
        """Queue of calls or new requests, and its share while the other waits too."""
        own, other = self._calls, self._new_requests
        if not is_call:
            own, other = other, own
        return own, own.weight / (own.weight + other.weight)

    def _time_to_free_slot(self, now: float) -> float:
        """Expected seconds until a slot is free.

        The result is 0 if more than `MAX_INSPECTED_RUNS` requests run, because one of
        them ends soon.
        """
        if self._running < self._limit or len(self._runs) > MAX_INSPECTED_RUNS:
            return 0.0
        return min(
            (
                max(
                    MIN_REMAINING_SHARE * self.service_time(work.kind),
                    self._remaining_time(work, now),
                )
                for work in self._runs
            ),
            default=0.0,
        )

    def _remaining_time(self, work: Work, now: float) -> float:
        return self.service_time(work.kind) - (now - work.started)

    def offer(self, work: Work, now: float) -> QueueDecision:
        """Decide whether a request that has arrived runs, waits or is refused."""
        work.enqueued = now
        if not work.is_call and not work.chain_known:
            held = self._held.get(work.priority, 0)
            if not self._bound(work.priority, now).admits(held):
                return QueueDecision.REFUSE
        self.rate.record_offer(work.is_call, work.priority, now)
        if (
            self._running < self._limit
            and not self._waiting
            and self.rate.may_start(work.is_call, work.priority)
        ):
            self._change_held(work, 1)
            self._start(work, now)
            return QueueDecision.RUN
        if self._waiting >= self._settings.max_waiting_per_slot * self._limit:
            return QueueDecision.REFUSE
        wait = max(
            self.expected_wait(work.is_call, work.priority, work.team),
            self.rate_wait(work.is_call, work.priority),
        )
        max_wait = self._settings.max_wait_share * self._max_wait(work, now)
        if work.fail_fast:
            wait = max(wait, self._time_to_free_slot(now))
            max_wait = min(max_wait, self.service_time(work.kind))
        if wait > max_wait:
            return QueueDecision.REFUSE
        queue = self._queue_of(work)
        if queue.is_empty:
            self._raise_virtual_time(queue)
        work.cost = self.service_time(work.kind)
        queue.push(work)
        self._change_held(work, 1)
        self._waiting += 1
        return QueueDecision.WAIT

    def finish(self, work: Work, now: float, good: bool | None = None) -> None:
        """Record that a running request has ended.

        Parameters
        ----------
        good : bool or None
            Whether the server answered successfully; None if it did not answer.
        """
        if work.state != "running":
            return
        work.state = "done"
        self.rate.record_end(now, work.reached)
        self._runs.discard(work)
        if not work.is_call and not work.chain_known and good is not None:
            held = self._held.get(work.priority, 0)
            # Only the run time is judged, because the wait in this queue is bounded
            # already. A run that alone takes most of the time to the latency target is
            # waiting for a service further down the call graph.
            span = work.target - work.enqueued
            slow = now - work.started > self._settings.slow_share * span
            bad = not good or slow
            self._bound(work.priority, now).record_end(bad, held, now)
        self._change_held(work, -1)
        self._running -= 1
        if good is not None:
            weight = self._settings.smoothing
            took = now - work.started
            mean = self._service_times.get(work.kind, took)
            self._service_times[work.kind] = mean + weight * (took - mean)
            self._mean_service_time += weight * (took - self._mean_service_time)

    def cancel(self, work: Work, now: float) -> None:
        """Remove a request that waits or runs."""
        if work.state == "waiting":
            self._change_held(work, -1)
            self._mark_dequeued(work)
        else:
            self.finish(work, now)

    def next_runs(self, now: float) -> Iterator[Work]:
        """Start waiting requests while there is room, and yield each of them."""
        self.rate.refill(now)
        while self._running < self._limit and self._waiting:
            work = self._pop()
            if work is None:
                return
            self._start(work, now)
            yield work

    def next_start_delay(self, now: float) -> float | None:
        """Seconds until the server's limit lets a waiting request start.

        The result is None if none waits, or if a free slot is needed as well.
        """
        if not self._waiting or self._running >= self._limit:
            return None
        self.rate.refill(now)
        return min(
            (
                self.rate.wait(head.is_call, head.priority, 0)
                for queue in (self._calls, self._new_requests)
                if (head := queue.head()) is not None
            ),
            default=None,
        )

    def expire(self, now: float) -> list[Work]:
        """Remove and return the waiting requests that can no longer end in time."""
        late = [
            work
            for queue in (self._calls, self._new_requests)
            for work in queue.waiting
            if self._max_wait(work, now) < 0
        ]
        for work in late:
            self._change_held(work, -1)
            self._mark_dequeued(work)
        return late

    def _max_wait(self, work: Work, now: float) -> float:
        # The request that made a call needs the answer until the deadline. A new
        # request that misses its latency target has lost most of its value.
        end = work.deadline if work.is_call else min(work.deadline, work.target)
        return end - now - self.service_time(work.kind)

    def _change_held(self, work: Work, change: int) -> None:
        if not work.is_call:
            held = self._held.get(work.priority, 0)
            self._held[work.priority] = held + change

    def _bound(self, priority: int, now: float) -> OutcomeLimit:
        bound = self._bounds.get(priority)
        if bound is None:
            ceiling = self._limit * MAX_BOUND_PER_SLOT
            settings = self._settings.outcome_limit
            bound = OutcomeLimit(settings, priority, ceiling, now)
            self._bounds[priority] = bound
        return bound

    def _queue_of(self, work: Work) -> WeightedQueue:
        return self._calls if work.is_call else self._new_requests

    def _raise_virtual_time(self, queue: WeightedQueue) -> None:
        # A queue that was empty gets no credit for the slots that it did not use.
        other = self._new_requests if queue is self._calls else self._calls
        if not other.is_empty:
            queue.virtual_time = max(queue.virtual_time, other.virtual_time)

    def _mark_dequeued(self, work: Work) -> None:
        self._waiting -= 1
        self._queue_of(work).remove(work)

    def _pop(self) -> Work | None:
        """Take the next request that may start out of its queue."""
        queues = (self._calls, self._new_requests)
        for queue in sorted(queues, key=lambda queue: queue.virtual_time):
            work = queue.head()
            if work is None or not self.rate.may_start(work.is_call, work.priority):
                continue
            self._mark_dequeued(work)
            queue.charge(work, self._start_cost(work))
            return work
        return None

    def _start_cost(self, work: Work) -> float:
        # A limit on requests a second counts requests, however long they run.
        if self.rate.limit is not None:
            return self._mean_service_time
        return self.service_time(work.kind)

    def _start(self, work: Work, now: float) -> None:
        work.state = "running"
        work.started = now
        self.rate.record_start(now)
        self._runs.add(work)
        self._running += 1
