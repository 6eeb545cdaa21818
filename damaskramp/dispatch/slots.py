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
from enum import Enum

from damaskramp.dispatch.call_depths import UNKNOWN
from damaskramp.dispatch.cold_server import ColdServer
from damaskramp.dispatch.kind_times import KindTimes
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.outcome_limits import OutcomeLimits
from damaskramp.dispatch.server_pace import ServerPace
from damaskramp.dispatch.server_rate import ServerRate
from damaskramp.dispatch.server_slots import ServerSlots
from damaskramp.dispatch.slot_settings import SlotSettings
from damaskramp.dispatch.team_shares import TeamWeights
from damaskramp.dispatch.two_queues import TwoQueues
from damaskramp.dispatch.weighted_queue import LOWEST_PRIORITY
from damaskramp.dispatch.work import Work

__all__ = ["QueueDecision", "SlotQueue"]

INITIAL_SERVICE_SECONDS = 0.02
"""Mean run time, in seconds, that is assumed before the first runs have ended."""

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
        self.team_weights = TeamWeights()
        self._service_times = KindTimes(settings.smoothing)
        self._mean_service_time = INITIAL_SERVICE_SECONDS
        self._queues = TwoQueues(
            settings.call_weight, settings.new_request_weight, self.team_weights
        )
        self._slots = ServerSlots(settings.full_share, settings.full_slowdown)
        self._bounds = OutcomeLimits(settings.outcome_limit)
        self.resize(slots)

    @property
    def limit(self) -> int:
        """Largest number of requests that run at the same time."""
        return self._slots.limit

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._slots.runs)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._queues.waiting

    @property
    def is_idle(self) -> bool:
        """Whether no request waits, and the server can't limit the requests."""
        return not self._queues.waiting and self.rate.is_unlimited

    @property
    def waiting_teams(self) -> int:
        """Number of teams that have a waiting request."""
        return len(self._queues.teams)

    @property
    def load(self) -> Load:
        """Current load of the server."""
        slots = self._slots
        return Load(
            len(slots.runs),
            self._queues.waiting,
            slots.limit,
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
            self._slots.time_to_free(self.service_time, now),
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
        if change < SLOWER_FACTOR or not self._queues.waiting:
            return []
        released = []
        for queue in self._queues.both:
            ahead = 0.0
            for work in sorted(queue.waiting, key=lambda w: (w.priority, w.order)):
                wait = ahead * change / self._slots.limit
                if work.fail_fast and wait > self.service_time(work.kind):
                    released.append(work)
                else:
                    ahead += work.cost
        for work in released:
            self._remove_waiting(work)
        return released

    def estimated_retry_wait(self, is_call: bool, priority: int) -> float:
        """Seconds until a refused request is likely to find room."""
        wait = max(
            self.expected_wait(is_call, priority), self.rate_wait(is_call, priority)
        )
        if is_call or not self._bounds.is_reached(priority):
            return wait
        return max(wait, self._settings.bad_outcome_retry_wait)

    def resize(self, slots: int) -> None:
        """Set the number of slots of the server; 0 if it is not known."""
        if self._slots.resize(slots):
            self._bounds.reset(self._slots.limit)

    def service_time(self, kind: str) -> float:
        """Mean run time of requests of a kind, in seconds."""
        return self._service_times.get(kind, self._mean_service_time)

    def expected_wait(self, is_call: bool, priority: int, team: str = "") -> float:
        """Seconds that a request offered now is expected to wait."""
        queues, limit = self._queues, self._slots.limit
        if len(self._slots.runs) + queues.waiting < limit:
            return 0.0
        own, share = queues.own_and_share(is_call)
        slots = float(limit)
        if queues.waiting > own.count(LOWEST_PRIORITY):
            # The other queue keeps receiving requests, so this queue can count only on
            # the share of the slots' time that its own weight gives it.
            slots *= share
        return (own.cost_ahead(priority, team) + self._mean_service_time) / slots

    def rate_wait(self, is_call: bool, priority: int) -> float:
        """Seconds that a request must wait for the limit that the server states."""
        if self.rate.limit is None:
            return 0.0
        own, share = self._queues.own_and_share(is_call)
        return self.rate.wait(is_call, priority, own.count(priority), share)

    def offer(self, work: Work, now: float) -> QueueDecision:
        """Decide whether a request that has arrived runs, waits or is refused."""
        work.enqueued = now
        if not work.is_call and not work.chain_known:
            bounds, rank = self._bounds, work.priority
            if not bounds.of(rank, now).admits(bounds.held.get(rank, 0)):
                return QueueDecision.REFUSE
        self.rate.record_offer(work.is_call, work.priority, now)
        queues, slots = self._queues, self._slots
        if (
            len(slots.runs) < slots.limit
            and not queues.waiting
            and self.rate.may_start(work.is_call, work.priority)
        ):
            if not work.is_call:
                self._bounds.change_held(work, 1)
            self._start(work, now)
            return QueueDecision.RUN
        if queues.waiting >= self._settings.max_waiting_per_slot * slots.limit:
            return QueueDecision.REFUSE
        wait = max(
            self.expected_wait(work.is_call, work.priority, work.team),
            self.rate_wait(work.is_call, work.priority),
        )
        max_wait = self._settings.max_wait_share * self._max_wait(work, now)
        if work.fail_fast:
            wait = max(wait, slots.time_to_free(self.service_time, now))
            max_wait = min(max_wait, self.service_time(work.kind))
        if wait > max_wait:
            return QueueDecision.REFUSE
        work.cost = self.service_time(work.kind)
        queues.push(work)
        self._bounds.change_held(work, 1)
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
        self._slots.runs.discard(work)
        if not work.is_call and not work.chain_known and good is not None:
            # Only the run time is judged, because the wait in this queue is bounded
            # already. A run that alone takes most of the time to the latency target is
            # waiting for a service further down the call graph.
            span = work.target - work.enqueued
            slow = now - work.started > self._settings.slow_share * span
            bounds, rank = self._bounds, work.priority
            held = bounds.held.get(rank, 0)
            bounds.of(rank, now).record_end(not good or slow, held, now)
        if not work.is_call:
            self._bounds.change_held(work, -1)
        if good is not None:
            took = now - work.started
            self._service_times.record(work.kind, took)
            self._mean_service_time += self._settings.smoothing * (
                took - self._mean_service_time
            )

    def cancel(self, work: Work, now: float) -> None:
        """Remove a request that waits or runs."""
        if work.state == "waiting":
            self._remove_waiting(work)
        else:
            self.finish(work, now)

    def next_runs(self, now: float) -> Iterator[Work]:
        """Start waiting requests while there is room, and yield each of them."""
        self.rate.refill(now)
        queues, slots = self._queues, self._slots
        while len(slots.runs) < slots.limit and queues.waiting:
            work = queues.pop(self.rate.may_start)
            if work is None:
                return
            queues.charge(work, self._start_cost(work))
            self._start(work, now)
            yield work

    def next_start_delay(self, now: float) -> float | None:
        """Seconds until the server's limit lets a waiting request start.

        The result is None if none waits, or if a free slot is needed as well.
        """
        if not self._queues.waiting or len(self._slots.runs) >= self._slots.limit:
            return None
        self.rate.refill(now)
        return min(
            (
                self.rate.wait(head.is_call, head.priority, 0)
                for queue in self._queues.both
                if (head := queue.head()) is not None
            ),
            default=None,
        )

    def expire(self, now: float) -> list[Work]:
        """Remove and return the waiting requests that can no longer end in time."""
        late = [
            work
            for queue in self._queues.both
            for work in queue.waiting
            if self._max_wait(work, now) < 0
        ]
        for work in late:
            self._remove_waiting(work)
        return late

    def _remove_waiting(self, work: Work) -> None:
        self._bounds.change_held(work, -1)
        self._queues.remove(work)

    def _max_wait(self, work: Work, now: float) -> float:
        # The request that made a call needs the answer until the deadline. A new
        # request that misses its latency target has lost most of its value.
        end = work.deadline if work.is_call else min(work.deadline, work.target)
        return end - now - self.service_time(work.kind)

    def _start_cost(self, work: Work) -> float:
        # A limit on requests a second counts requests, however long they run.
        if self.rate.limit is not None:
            return self._mean_service_time
        return self.service_time(work.kind)

    def _start(self, work: Work, now: float) -> None:
        work.state = "running"
        work.started = now
        self.rate.record_start(now)
        self._slots.runs.add(work)
