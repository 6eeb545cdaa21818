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

from damaskramp.core.ids import ZoneName
from damaskramp.dispatch.cold_hints import ColdHints
from damaskramp.dispatch.expected_finish import FinishSelection, QueueState
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.load_exchange import KnownLoad
from damaskramp.dispatch.selection_settings import SelectionSettings
from damaskramp.dispatch.server_record import ServerRecord
from damaskramp.fleet.model import BackendServer, ServerId

__all__ = ["ServerSelector"]


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
        self._records: dict[ServerId, ServerRecord] = {}
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
        records, hints, finish = self._records, self._cold_hints, self._finish
        candidates = []
        for server in servers:
            if server.leaving or server.id in excluded:
                continue
            record = records.get(server.id) or self._record(server)
            # `ServerRecord.accepts`, without a call for each server.
            if now >= record.refusing_until or rank < record.refused_rank:
                candidates.append((server, record))
        if not candidates:
            return None
        # If all candidates are ejected, they are used all the same: an ejected server
        # is better than none.
        usable = [c for c in candidates if c[1].ejected_until <= now] or candidates
        is_informed = finish.has_records and finish.is_informed(
            [server for server, _ in usable], now
        )
        waits = None
        if hints is not None or any(record.rate_limit for _, record in usable):
            waits = [self._rate_wait(*pair, rank, now) for pair in usable]
            unlimited = [
                pair for pair, wait in zip(usable, waits, strict=True) if wait <= 0.0
            ]
            if unlimited:
                usable, waits = unlimited, None
        if is_informed:
            return finish.choose(
                [server for server, _ in usable],
                rank,
                kind,
                now,
                lambda server: self._queue_state(server, rank, now),
                bool(excluded),
                to_target,
            )
        return self._choose_fast(usable, waits, now, tight)

    def _choose_fast(
        self,
        usable: list[tuple[BackendServer, ServerRecord]],
        waits: list[float] | None,
        now: float,
        tight: bool,
    ) -> BackendServer:
        """Choose by the expected time, preferring the own zone.

        Parameters
        ----------
        waits : list of float or None
            Seconds until the limit of each server has room; None if all have room.
        """
        settings = self._settings
        in_flight = [record.in_flight(settings, now) for _, record in usable]
        times = [
            record.expected_time(server, settings, count)
            for (server, record), count in zip(usable, in_flight, strict=True)
        ]
        if waits is not None:
            times = [time + wait for time, wait in zip(times, waits, strict=True)]
        max_time = settings.slow_factor * min(times)
        if tight:
            median = sorted(times)[(len(times) - 1) // 2]
            max_time = settings.tight_slow_factor * median
        nearby = [
            (time, server)
            for time, (server, record), count in zip(
                times, usable, in_flight, strict=True
            )
            if server.zone == self._zone
            and count / max(1, record.limit) < settings.spill_load
            and time <= max_time
        ]
        scored = nearby or [
            (time, server) for time, (server, _) in zip(times, usable, strict=True)
        ]
        return self._pick_fastest(scored)

    def has_only_room(
        self,
        server: BackendServer,
        servers: Collection[BackendServer],
        excluded: Collection[ServerId],
        rank: int,
        now: float,
    ) -> bool:
        """Whether a server is unlimited, and no other one has room within its limit.

        A request that such a server refuses would be refused by the others as well.

        Parameters
        ----------
        servers, excluded, rank
            See `choose`.
        """
        record = self._record(server)
        if record.rate_limit or self._lacks_room(server, record, rank, now):
            return False
        for other in servers:
            if other is server or other.leaving or other.id in excluded:
                continue
            if not self._lacks_room(other, self._record(other), rank, now):
                return False
        return True

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
        self._record(server).record_load(load, server.started, rank, now)

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
        if record.accepts(rank, now):
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

    def _record(self, server: BackendServer) -> ServerRecord:
        record = self._records.get(server.id)
        if record is None:
            record = self._records[server.id] = ServerRecord(server.slots)
        return record

    def _rate_wait(
        self, server: BackendServer, record: ServerRecord, rank: int, now: float
    ) -> float:
        """Seconds until a server's own limit has room for a request of a rank."""
        if not record.rate_limit:
            hints = self._cold_hints
            if hints is None or record.reported_start == server.started:
                return 0.0
            return hints.wait(server, now)
        return max(0.0, record.rate_room_at.get(rank, 0.0) - now)

    def _lacks_room(
        self, server: BackendServer, record: ServerRecord, rank: int, now: float
    ) -> bool:
        """Whether a server's limit has no room, or it is cold and has not reported."""
        if record.rate_limit:
            return record.rate_room_at.get(rank, 0.0) > now
        hints = self._cold_hints
        if hints is None or record.reported_start == server.started:
            return False
        return hints.warmup_left(server) > 0.0

    def _warmup_left(self, server: BackendServer, now: float) -> float:
        record = self._record(server)
        if record.reported_start == server.started:
            return max(0.0, record.cold_until - now)
        hints = self._cold_hints
        return hints.warmup_left(server) if hints is not None else 0.0

    def _queue_state(self, server: BackendServer, rank: int, now: float) -> QueueState:
        record = self._record(server)
        wait = self._rate_wait(server, record, rank, now)
        return record.queue_state(server, self._settings, wait, now)

    def _pick_fastest(self, scored: list[tuple[float, BackendServer]]) -> BackendServer:
        if len(scored) > 4:
            scored = self._random.sample(scored, 2)
        return min(scored, key=lambda found: (found[0], self._random.random()))[1]
