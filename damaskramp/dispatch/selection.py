"""Choice of the backend server that a request is sent to.

Load this answers: uneven load, and servers that are slow, cold, failing or gone. A
server's own node reports its load on each answer; between reports the requests sent
from here are added. Servers of the own availability zone go first while they have room
and are not much slower than the rest, then the one with the shortest expected time is
taken, wherever it is. Failures count against a server by its share of failed answers;
where all fail alike none is avoided.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

from damaskramp.core.ids import ZoneName
from damaskramp.dispatch.slots import Load
from damaskramp.fleet.model import BackendServer, ServerId

__all__ = ["SelectionSettings", "ServerSelector"]

DEFAULT_SERVICE_SECONDS = 0.02
"""Service time taken for a server that has reported none; a short one, so that new
servers get requests soon."""


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """When requests leave the zone and which servers are avoided.

    Attributes
    ----------
    spill_load : float
        Share of a server's slots in use above which other zones are considered; a
        queue begins to form soon after.
    slow_factor : float
        How many times slower than the fastest a server of the own zone may be.
    tight_slow_factor : float
        How many times slower than the median it may be for requests with little time to
        spare. Speeds of like servers differ by up to twice; what a request loses by
        crossing a zone is under a tenth.
    load_decay_seconds : float
        Time over which a report of other hosts' load loses its weight; load changes
        within about a service time.
    refusal_seconds : float
        Time for which a server that has refused is not asked again for requests of
        the same or lesser rank: a few service times.
    failure_weight : float
        Expected time is multiplied by one and this times the share of failures.
    cold_factor : float
        How much slower a server is taken to be that has just started.
    smoothing : float
        Weight of the newest outcome in the share of failures.
    """

    spill_load: float = 0.8
    slow_factor: float = 4.0
    tight_slow_factor: float = 1.5
    load_decay_seconds: float = 1.0
    refusal_seconds: float = 0.08
    failure_weight: float = 20.0
    cold_factor: float = 2.5
    smoothing: float = 0.1


class _ServerRecord:
    """What this host knows of one server."""

    __slots__ = (
        "refused_rank",
        "refusing_until",
        "ejected_until",
        "failures",
        "limit",
        "other_in_flight",
        "own_in_flight",
        "reported_at",
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


class ServerSelector:
    """Records of all servers that this host has met.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this host.
    """

    def __init__(
        self, settings: SelectionSettings, zone: ZoneName, random_source: random.Random
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random_source
        self._records: dict[ServerId, _ServerRecord] = {}

    def choose(
        self,
        servers: Collection[BackendServer],
        excluded: Collection[ServerId],
        rank: int,
        now: float,
        tight: bool = False,
    ) -> BackendServer | None:
        """Choose a server; None where none may be asked now.

        Parameters
        ----------
        excluded : collection of ServerId
            Servers that the request has been sent to.
        rank : int
            Rank of the request; 0 is the most important.
        tight : bool
            Whether its latency target leaves little more than the time it takes.
        """
        candidates = [
            server
            for server in servers
            if not server.leaving
            and server.id not in excluded
            and self._accepts_rank(server, rank, now)
        ]
        if not candidates:
            return None
        usable = [s for s in candidates if self._record(s).ejected_until <= now]
        # Never avoid all of them: a doubtful server is better than none.
        scored = [(self._expected_time(s, now), s) for s in usable or candidates]
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

    def record_sent(self, server: BackendServer) -> None:
        """Note a request sent to a server."""
        self._record(server).own_in_flight += 1

    def record_end(self, server: BackendServer, failed: bool | None) -> None:
        """Note the end of a request; `failed` is None where it says nothing."""
        record = self._record(server)
        record.own_in_flight = max(0, record.own_in_flight - 1)
        if failed is not None:
            record.failures += self._settings.smoothing * (failed - record.failures)

    def record_load(self, server: BackendServer, load: Load, now: float) -> None:
        """Note a server's load as its node reports it."""
        record = self._record(server)
        record.other_in_flight = max(
            0, load.running + load.waiting - record.own_in_flight
        )
        record.limit = load.limit
        record.service_time = load.service_time
        record.reported_at = now

    def record_refusal(self, server: BackendServer, rank: int, now: float) -> None:
        """Note that a server has refused a request of a rank for want of room."""
        record = self._record(server)
        if now >= record.refusing_until or rank < record.refused_rank:
            record.refused_rank = rank
        record.refusing_until = now + self._settings.refusal_seconds

    def is_outlier(
        self, server: BackendServer, servers: Collection[BackendServer]
    ) -> bool:
        """Whether a server fails more often than another of its service.

        Where all fail alike the cause lies elsewhere, and a second try would fail too.
        """
        own = self._record(server).failures
        others = [self._record(s).failures for s in servers if s.id != server.id]
        return bool(others) and own > 2 * min(others) + self._settings.smoothing / 2

    def eject(self, server: BackendServer, seconds: float, now: float) -> None:
        """Avoid a server that can't be reached."""
        self._record(server).ejected_until = now + seconds

    def retain(self, known: Collection[ServerId]) -> None:
        """Drop the records of servers that are not in `known`."""
        for name in [name for name in self._records if name not in known]:
            if not self._records[name].own_in_flight:
                del self._records[name]

    def _record(self, server: BackendServer) -> _ServerRecord:
        record = self._records.get(server.id)
        if record is None:
            record = self._records[server.id] = _ServerRecord(server.slots)
        return record

    def _accepts_rank(self, server: BackendServer, rank: int, now: float) -> bool:
        record = self._record(server)
        return now >= record.refusing_until or rank < record.refused_rank

    def _in_flight(self, record: _ServerRecord, now: float) -> float:
        age = (now - record.reported_at) / self._settings.load_decay_seconds
        return record.own_in_flight + record.other_in_flight * max(0.0, 1.0 - age)

    def _load(self, server: BackendServer, now: float) -> float:
        record = self._record(server)
        return self._in_flight(record, now) / max(1, record.limit)

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
