"""Choice of a server by the expected finish of one kind of request on it now.

This serves where servers state how long work takes on their hosts. The expected finish
is the wait in the server's queue, the run time of the kind at the usual pace times the
stated pace, and the way there and back. Servers of one service differ in speed and
become slow for parts of a second, which a mean time of all requests shows late and
mixes with the kinds that were run.

Only a few servers, drawn at random, are compared for each request. Many hosts learn at
the same time that a server has recovered, and would otherwise all choose it at once. A
request leaves the availability zone only where it gains by it, as bytes between zones
have a price.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from damaskramp.core.ids import ZoneName
from damaskramp.dispatch.kind_times import KindTimes
from damaskramp.dispatch.load import Load
from damaskramp.fleet.model import BackendServer, ServerId

__all__ = ["FinishSelection", "FinishSettings", "QueueState"]

UNKNOWN_RUN_SECONDS = 0.02
"""Run time in seconds that is assumed for a kind that no server has run; it is short,
so that new servers receive requests soon."""


@dataclass(frozen=True, slots=True)
class FinishSettings:
    """Settings of the choice by expected finish.

    Attributes
    ----------
    near_samples, far_samples : int
        Number of servers of the own zone, and of other zones, that are compared.
    gain_share, gain_seconds, target_share : float
        A request leaves its zone if that shortens its time by this share of the time,
        by this many seconds more, and by this share of the time to its latency target
        more. A short call far from its target gains nothing that a caller would notice.
    fade_seconds : float
        Time over which the weight of what is known of a server's pace and queue falls
        from 1 to 0.
    crowding : float
        The expected run time is multiplied by 1 + `crowding` * (share of slots in use),
        as a server with more requests is more likely to have a queue on arrival.
    refusal_factor : float
        Factor for a server where the request would wait longer than it runs, as its
        node is likely to refuse it.
    load_weight : float
        Weight of the newest report in a server's mean load.
    far_seconds : float
        Way to another zone and back, in seconds, while it is not known.
    run_weight : float
        Weight of the newest report in the mean run time of a kind over the fleet.
    """

    near_samples: int = 3
    far_samples: int = 2
    gain_share: float = 0.2
    gain_seconds: float = 0.002
    target_share: float = 0.03
    fade_seconds: float = 1.0
    crowding: float = 1.0
    refusal_factor: float = 1.4
    load_weight: float = 0.1
    far_seconds: float = 0.005
    run_weight: float = 0.05


@dataclass(frozen=True, slots=True)
class QueueState:
    """State of a server's queue as this host knows it.

    Attributes
    ----------
    load : float
        Requests there, as a share of its slots.
    wait : float
        Expected wait of a further request in seconds.
    penalty : float
        Factor for a server that fails or is cold.
    delay : float
        Seconds until a limit of the server has room.
    """

    load: float
    wait: float
    penalty: float
    delay: float


class _CapabilityRecord:
    """What is known of one server that states its pace.

    Attributes
    ----------
    pace : float
        Stated pace as a multiple of the usual; 0 if none is known.
    stated_at : float
        Clock time in seconds of the pace.
    mean_load : float
        Mean of the reported share of slots in use.
    run_times : dict
        Run time of each kind at the usual pace, in seconds.
    queue_waits : dict
        Expected wait in the queue in seconds and its clock time, by rank.
    """

    __slots__ = ("mean_load", "pace", "queue_waits", "run_times", "stated_at")

    def __init__(self) -> None:
        self.mean_load = 0.0
        self.pace = 0.0
        self.stated_at = 0.0
        self.run_times = KindTimes(weight=1.0)
        self.queue_waits: dict[int, tuple[float, float]] = {}


class FinishSelection:
    """Choice by expected finish, with what is known of each server.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this host.
    round_trip : callable
        Returns the seconds of the way to a zone and back; 0 if not known.

    Attributes
    ----------
    has_records : bool
        Whether a server has stated its pace; read for every request.
    """

    def __init__(
        self,
        settings: FinishSettings,
        zone: ZoneName,
        random_source: random.Random,
        round_trip: Callable[[ZoneName], float] = lambda zone: 0.0,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random_source
        self._round_trip = round_trip
        self._records: dict[ServerId, _CapabilityRecord] = {}
        self._run_times = KindTimes(settings.run_weight)
        self.has_records = False

    def is_informed(self, servers: Iterable[BackendServer], now: float) -> bool:
        """Whether one of some servers has stated its pace lately."""
        oldest = now - self._settings.fade_seconds
        return any(
            record is not None and record.pace > 0.0 and record.stated_at > oldest
            for record in (self._records.get(server.id) for server in servers)
        )

    def record(
        self, server: BackendServer, load: Load, rank: int, kind: str, now: float
    ) -> None:
        """Record the load that came with the outcome of a request of a kind."""
        if not load.pace:
            return
        record = self._records.get(server.id)
        if record is None:
            record = self._add_record(server.id)
        record.pace, record.stated_at = load.pace, now
        in_use = (load.running + load.waiting) / max(1, load.limit)
        weight = self._settings.load_weight
        record.mean_load += weight * (in_use - record.mean_load)
        record.queue_waits[rank] = (load.queue_wait, now)
        if load.run_time > 0.0:
            record.run_times.record(kind, load.run_time)
            self._run_times.record(kind, load.run_time)

    def record_pace(self, server: ServerId, pace: float, stated_at: float) -> None:
        """Record a pace that another host has told, newer than what is known."""
        record = self._records.get(server)
        if record is None:
            record = self._add_record(server)
        record.pace, record.stated_at = pace, stated_at

    def retain(self, known: Collection[ServerId]) -> None:
        """Drop the records of other servers."""
        for name in [name for name in self._records if name not in known]:
            del self._records[name]
        self.has_records = bool(self._records)

    def choose(
        self,
        servers: Sequence[BackendServer],
        rank: int,
        kind: str,
        now: float,
        state: Callable[[BackendServer], QueueState],
        retried: bool = False,
        to_target: float = 0.0,
    ) -> BackendServer:
        """Choose one of some servers, of which there is at least one.

        Parameters
        ----------
        state : callable
            Returns the state of a server's queue as far as it is known.
        retried : bool
            Whether other servers have refused the request.
        to_target : float
            Seconds to the latency target of the request.
        """
        settings = self._settings
        # A request that was refused has few attempts left, so all servers are compared.
        samples = (len(servers),) * 2
        if not retried:
            samples = settings.near_samples, settings.far_samples
        near = [server for server in servers if server.zone == self._zone]
        far = [server for server in servers if server.zone != self._zone]
        best_near = self._best(near, samples[0], rank, kind, now, state)
        best_far = self._best(far, samples[1], rank, kind, now, state)
        if best_near is None or best_far is None:
            return (best_near or best_far)[1]
        gain = best_near[0] - best_far[0]
        least_gain = settings.gain_share * best_near[0] + settings.gain_seconds
        least_gain += settings.target_share * max(0.0, to_target)
        return best_far[1] if gain > least_gain else best_near[1]

    def _add_record(self, server: ServerId) -> _CapabilityRecord:
        record = self._records[server] = _CapabilityRecord()
        self.has_records = True
        return record

    def _best(
        self,
        servers: Sequence[BackendServer],
        samples: int,
        rank: int,
        kind: str,
        now: float,
        state: Callable[[BackendServer], QueueState],
    ) -> tuple[float, BackendServer] | None:
        if not servers:
            return None
        compared = self._random.sample(servers, min(samples, len(servers)))
        return min(
            ((self._finish(s, rank, kind, now, state(s)), s) for s in compared),
            key=lambda pair: pair[0],
        )

    def _finish(
        self,
        server: BackendServer,
        rank: int,
        kind: str,
        now: float,
        state: QueueState,
    ) -> float:
        """Seconds until the answer of a request that is sent now."""
        settings = self._settings
        record = self._records.get(server.id)
        pace, wait, load = 1.0, state.wait, state.load
        if record is not None:
            age = now - record.stated_at
            weight = max(0.0, 1.0 - age / settings.fade_seconds)
            if record.pace:
                pace += weight * (record.pace - 1.0)
            # A server that was not asked lately is taken for as full as it usually is.
            load += (1.0 - weight) * record.mean_load
            stated, stated_at = record.queue_waits.get(rank, (0.0, 0.0))
            if stated_at:
                wait = max(wait, stated - (now - stated_at))
        run = self._run_time(record, kind) * pace
        time = wait + run * (1.0 + settings.crowding * min(1.0, load))
        if wait > run:
            time *= settings.refusal_factor
        if server.zone != self._zone:
            time += self._round_trip(server.zone) or settings.far_seconds
        return time * state.penalty + state.delay

    def _run_time(self, record: _CapabilityRecord | None, kind: str) -> float:
        """Run time of a kind at the usual pace, in seconds.

        Of a server that has not run it yet, the speed is taken from its other kinds.
        """
        mean = self._run_times.get(kind, UNKNOWN_RUN_SECONDS)
        if record is None:
            return mean
        own = record.run_times.get(kind)
        if own is not None:
            return own
        ratios = [
            seconds / self._run_times[other]
            for other, seconds in record.run_times.items()
            if self._run_times.get(other)
        ]
        return mean * sum(ratios) / len(ratios) if ratios else mean
