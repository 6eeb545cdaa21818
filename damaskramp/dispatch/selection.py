"""Choice of the backend server that a request is sent to.

The choice handles uneven load and servers that are slow, cold, failing or gone. The
node of a server reports the server's load on each answer; between reports, this host
adds the requests that it has sent itself. Servers of the host's own availability zone
are preferred while they have room and are not much slower than the others. Otherwise
the server with the shortest expected time is chosen, in any zone. The expected time of
a server grows with its share of failed answers, so where all servers fail alike none
is avoided. A server that limits its requests a second is passed over while its limit
has no room and another server can take the request. The same holds for a cold server
that its node has not reported on yet, until this host's turn for its first request.

Where servers state how long work takes on their hosts, `FinishSelection` chooses by the
expected finish of this kind of request instead.
"""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from damaskramp.core.ids import ZoneName
from damaskramp.dispatch.cold_hints import ColdHints
from damaskramp.dispatch.expected_finish import (
    FinishSelection,
    FinishSettings,
    QueueState,
)
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.load_exchange import KnownLoad
from damaskramp.fleet.model import BackendServer, ServerId

__all__ = ["SelectionSettings", "ServerSelector"]

DEFAULT_SERVICE_SECONDS = 0.02
"""Service time in seconds assumed for a server that has reported none; it is short, so
that new servers receive requests soon."""


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Settings for leaving the availability zone and for avoiding servers.

    Attributes
    ----------
    spill_load : float
        Share of a server's slots in use from which servers of other zones are
        considered. A queue begins to form soon above this load.
    slow_factor : float
        Largest expected time of a preferred server of the own zone, as a multiple of
        the shortest among all servers.
    tight_slow_factor : float
        Largest expected time of a preferred server of the own zone, as a multiple of
        the median, for requests with little time to spare. Similar servers differ in
        speed by up to a factor of two, while sending a request to another zone adds
        less than a tenth to its time.
    load_decay_seconds : float
        Time over which the weight of the reported load of other hosts falls from 1 to
        0; load changes within about a service time.
    refusal_seconds : float
        Time for which a server that has refused a request is not asked again for
        equally or less important requests; this is a few service times.
    failure_weight : float
        The expected time is multiplied by 1 + `failure_weight` * (share of failures).
    cold_factor : float
        Factor by which a server that has just started is assumed to be slower.
    smoothing : float
        Weight of the newest outcome in the moving average of failures.
    finish : FinishSettings
        Settings of the choice among servers that state their pace.
    """

    spill_load: float = 0.8
    slow_factor: float = 4.0
    tight_slow_factor: float = 1.5
    load_decay_seconds: float = 1.0
    refusal_seconds: float = 0.08
    failure_weight: float = 20.0
    cold_factor: float = 2.5
    smoothing: float = 0.1
    finish: FinishSettings = field(default_factory=FinishSettings)


class _ServerRecord:
    """State that this host keeps of one server.

    `other_in_flight` is the number of other hosts' requests: the requests that the
    server's node reported, less this host's own requests in flight at that time.
    `rate_limit` is in requests a second, 0 without a limit; `rate_room_at` holds the
    clock time in seconds at which the limit has room, by rank of the request.
    `cold_until` is the clock time at which the limit of a cold server ends, and
    `reported_start` the start of the server as listed when its node reported last.
    """

    __slots__ = (
        "cold_until",
        "ejected_until",
        "failures",
        "limit",
        "other_in_flight",
        "own_in_flight",
        "rate_limit",
        "rate_room_at",
        "refused_rank",
        "refusing_until",
        "reported_at",
        "reported_start",
        "service_time",
    )

    def __init__(self, slots: int) -> None:
        self.own_in_flight = 0
        self.other_in_flight = 0
        self.limit = slots
        self.service_time = 0.0
        self.reported_at = 0.0
        self.failures = 0.0
        self.refused_rank = 0
        self.refusing_until = 0.0
        self.ejected_until = 0.0
        self.rate_limit = 0.0
        self.rate_room_at: dict[int, float] = {}
        self.cold_until = 0.0
        self.reported_start: int | None = None


class ServerSelector:
    """Selector of backend servers, with a record of each server it has considered.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this host.
    cold_hints : ColdHints or None
        Cold servers that have not been reported on; None if they are treated as others.
    round_trip : callable
        Returns the seconds of the way to a zone and back; 0 if not known.
    """

    def __init__(
        self,
        settings: SelectionSettings,
        zone: ZoneName,
        random_source: random.Random,
        cold_hints: ColdHints | None = None,
        round_trip: Callable[[ZoneName], float] = lambda zone: 0.0,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random_source
        self._cold_hints = cold_hints
        self._records: dict[ServerId, _ServerRecord] = {}
        self._finish = FinishSelection(settings.finish, zone, random_source, round_trip)

    def choose(
        self,
        servers: Collection[BackendServer],
        excluded: Collection[ServerId],
        rank: int,
        now: float,
        tight: bool = False,
        kind: str = "",
        to_target: float = 0.0,
    ) -> BackendServer | None:
        """Choose a server; None if no server may be asked now.

        Parameters
        ----------
        excluded : collection of ServerId
            Servers that the request has already been sent to.
        rank : int
            Rank of the request; 0 is the most important.
        tight : bool
            Whether the latency target is little more than the time that such a request
            takes.
        kind : str
            Name under which run times of such requests are averaged.
        to_target : float
            Seconds to the latency target of the request.
        """
        usable = self._usable(servers, excluded, rank, now)
        if not usable:
            return None
        unlimited = [s for s in usable if self._rate_wait(s, rank, now) <= 0.0]
        if self._finish.is_informed(usable, now):
            return self._finish.choose(
                unlimited or usable,
                rank,
                kind,
                now,
                lambda server: self._queue_state(server, rank, now),
                bool(excluded),
                to_target,
            )
        if unlimited:
            scored = [(self._expected_time(s, now), s) for s in unlimited]
        else:
            scored = [
                (self._expected_time(s, now) + self._rate_wait(s, rank, now), s)
                for s in usable
            ]
        times = sorted(time for time, _ in scored)
        settings = self._settings
        max_time = settings.slow_factor * times[0]
        if tight:
            max_time = settings.tight_slow_factor * times[(len(times) - 1) // 2]
        nearby = [
            (time, server)
            for time, server in scored
            if server.zone == self._zone
            and self._load(server, now) < settings.spill_load
            and time <= max_time
        ]
        return self._pick_fastest(nearby or scored)

    def record_sent(self, server: BackendServer, rank: int = 0) -> None:
        """Record a request of a rank sent to a server."""
        record = self._record(server)
        record.own_in_flight += 1
        if record.rate_limit and rank in record.rate_room_at:
            record.rate_room_at[rank] += 1.0 / record.rate_limit

    def record_end(self, server: BackendServer, failed: bool | None) -> None:
        """Record the end of a request.

        Parameters
        ----------
        failed : bool or None
            Whether the server failed; None if the end says nothing about the server.
        """
        record = self._record(server)
        record.own_in_flight = max(0, record.own_in_flight - 1)
        if failed is not None:
            record.failures += self._settings.smoothing * (failed - record.failures)

    def record_load(
        self,
        server: BackendServer,
        load: Load,
        now: float,
        rank: int = 0,
        kind: str = "",
    ) -> None:
        """Record a server's load as its node reported it to a request of a rank."""
        self._finish.record(server, load, rank, kind, now)
        record = self._record(server)
        record.reported_start = server.started
        record.cold_until = now + load.warmup_left if load.warmup_left else 0.0
        record.rate_limit = load.rate_limit
        if load.rate_limit:
            record.rate_room_at[rank] = now + load.rate_wait
        else:
            record.rate_room_at.clear()
        record.other_in_flight = max(
            0, load.running + load.waiting - record.own_in_flight
        )
        record.limit = load.limit
        record.service_time = load.service_time
        record.reported_at = now

    def record_told_load(self, server: BackendServer, load: KnownLoad) -> None:
        """Record a load of a server that another host has told, if it is news."""
        record = self._record(server)
        if load.stated_at <= record.reported_at:
            return
        record.other_in_flight = max(0, load.in_flight - record.own_in_flight)
        record.limit = load.limit
        record.reported_at = load.stated_at
        self._finish.record_pace(server.id, load.pace, load.stated_at)

    def rate_limit_of(self, server: BackendServer) -> float:
        """Requests a second that a server states to take; 0 if no limit is known.

        The limit of a cold server is not stated by it and ends with its warm-up.
        """
        record = self._record(server)
        return 0.0 if record.cold_until else record.rate_limit

    def warmup_left(self, servers: Collection[BackendServer], now: float) -> float:
        """Seconds until the first of the servers is warm; 0 if one of them is."""
        return min((self._warmup_left(server, now) for server in servers), default=0.0)

    def record_refusal(self, server: BackendServer, rank: int, now: float) -> None:
        """Record that a server without room has refused a request of a rank."""
        record = self._record(server)
        if now >= record.refusing_until or rank < record.refused_rank:
            record.refused_rank = rank
        record.refusing_until = now + self._settings.refusal_seconds

    def is_outlier(
        self, server: BackendServer, servers: Collection[BackendServer]
    ) -> bool:
        """Whether a server fails more often than another server of its service.

        Where all servers fail alike, the cause lies elsewhere, and a second attempt
        would fail too.
        """
        own = self._record(server).failures
        others = [self._record(s).failures for s in servers if s.id != server.id]
        return bool(others) and own > 2 * min(others) + self._settings.smoothing / 2

    def eject(self, server: BackendServer, seconds: float, now: float) -> None:
        """Avoid a server that can't be reached for some seconds."""
        self._record(server).ejected_until = now + seconds

    def retain(self, known: Collection[ServerId]) -> None:
        """Drop the records of servers not in `known` that have no request in flight."""
        if self._cold_hints is not None:
            self._cold_hints.retain(known)
        for name in [name for name in self._records if name not in known]:
            if not self._records[name].own_in_flight:
                del self._records[name]
        self._finish.retain(known)

    def _record(self, server: BackendServer) -> _ServerRecord:
        record = self._records.get(server.id)
        if record is None:
            record = self._records[server.id] = _ServerRecord(server.slots)
        return record

    def _usable(
        self,
        servers: Collection[BackendServer],
        excluded: Collection[ServerId],
        rank: int,
        now: float,
    ) -> list[BackendServer]:
        """Select the servers that take a request of a rank, without ejected ones.

        If all of them are ejected, they are used all the same: an ejected server is
        better than none.
        """
        usable, ejected = [], []
        for server in servers:
            if server.leaving or server.id in excluded:
                continue
            record = self._records.get(server.id) or self._record(server)
            if now < record.refusing_until and rank >= record.refused_rank:
                continue
            (usable if record.ejected_until <= now else ejected).append(server)
        return usable or ejected

    def _rate_wait(self, server: BackendServer, rank: int, now: float) -> float:
        """Seconds until a server's own limit has room for a request of a rank."""
        record = self._record(server)
        if not record.rate_limit:
            hints = self._cold_hints
            if hints is None or record.reported_start == server.started:
                return 0.0
            return hints.wait(server, now)
        return max(0.0, record.rate_room_at.get(rank, 0.0) - now)

    def _warmup_left(self, server: BackendServer, now: float) -> float:
        record = self._record(server)
        if record.reported_start == server.started:
            return max(0.0, record.cold_until - now)
        hints = self._cold_hints
        return hints.warmup_left(server) if hints is not None else 0.0

    def _in_flight(self, record: _ServerRecord, now: float) -> float:
        age = (now - record.reported_at) / self._settings.load_decay_seconds
        return record.own_in_flight + record.other_in_flight * max(0.0, 1.0 - age)

    def _load(self, server: BackendServer, now: float) -> float:
        record = self._record(server)
        return self._in_flight(record, now) / max(1, record.limit)

    def _queue_state(self, server: BackendServer, rank: int, now: float) -> QueueState:
        record = self._record(server)
        in_flight = self._in_flight(record, now)
        limit = max(1, record.limit)
        service_time = record.service_time or DEFAULT_SERVICE_SECONDS
        penalty = 1.0 + self._settings.failure_weight * record.failures
        if server.warmup > 0 and not record.reported_at:
            penalty *= self._settings.cold_factor
        return QueueState(
            in_flight / limit,
            service_time * max(0.0, in_flight + 1 - limit) / limit,
            penalty,
            self._rate_wait(server, rank, now),
        )

    def _expected_time(self, server: BackendServer, now: float) -> float:
        record = self._record(server)
        settings = self._settings
        in_flight = self._in_flight(record, now)
        queue = max(0.0, in_flight + 1 - record.limit) / max(1, record.limit)
        load = in_flight / max(1, record.limit)
        time = (record.service_time or DEFAULT_SERVICE_SECONDS) * (1.0 + queue + load)
        time *= 1.0 + settings.failure_weight * record.failures
        if server.warmup > 0 and not record.reported_at:
            time *= settings.cold_factor
        return time

    def _pick_fastest(self, scored: list[tuple[float, BackendServer]]) -> BackendServer:
        if len(scored) > 2:
            scored = self._random.sample(scored, 2) if len(scored) > 4 else scored
        best = min(scored, key=lambda pair: (pair[0], self._random.random()))
        return best[1]
