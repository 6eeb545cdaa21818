"""What this host knows of one backend server that it may send requests to."""

from damaskramp.dispatch.expected_finish import QueueState
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.selection_settings import SelectionSettings
from damaskramp.fleet.model import BackendServer

__all__ = ["ServerRecord"]

DEFAULT_SERVICE_SECONDS = 0.02
"""Service time in seconds assumed for a server that has reported none; it is short, so
that new servers receive requests soon."""


class ServerRecord:
    """State that this host keeps of one server.

    Attributes
    ----------
    own_in_flight : int
        Number of this host's requests in flight.
    other_in_flight : int
        Number of other hosts' requests: the requests that the server's node reported,
        less this host's own requests in flight at that time.
    rate_limit : float
        Requests a second that the server takes, 0 without a limit.
    rate_room_at : dict
        Clock time in seconds at which that limit has room, by rank of the request.
    cold_until : float
        Clock time in seconds at which the limit of a cold server ends.
    reported_start : int or None
        Start of the server as listed when its node reported last.
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

    def accepts(self, rank: int, now: float) -> bool:
        """Whether the server has not lately refused a request of this rank or above."""
        return now >= self.refusing_until or rank < self.refused_rank

    def in_flight(self, settings: SelectionSettings, now: float) -> float:
        """Expected number of requests of all hosts in flight."""
        if not self.other_in_flight:
            return self.own_in_flight
        age = (now - self.reported_at) / settings.load_decay_seconds
        if age >= 1.0:
            return self.own_in_flight
        return self.own_in_flight + self.other_in_flight * (1.0 - age)

    def expected_time(
        self, server: BackendServer, settings: SelectionSettings, in_flight: float
    ) -> float:
        """Expected seconds until the answer to a further request of any kind.

        Parameters
        ----------
        in_flight : float
            Requests in flight, as `in_flight` returns them.
        """
        limit = self.limit if self.limit > 1 else 1
        waiting = in_flight + 1 - self.limit
        queue = waiting / limit if waiting > 0.0 else 0.0
        load = in_flight / limit
        time = (self.service_time or DEFAULT_SERVICE_SECONDS) * (1.0 + queue + load)
        if self.failures or server.warmup > 0:
            time *= self._penalty(server, settings)
        return time

    def queue_state(
        self,
        server: BackendServer,
        settings: SelectionSettings,
        rate_wait: float,
        now: float,
    ) -> QueueState:
        """State of the server's queue.

        Parameters
        ----------
        rate_wait : float
            Seconds until the server's own limit has room.
        """
        in_flight, limit = self.in_flight(settings, now), max(1, self.limit)
        service_time = self.service_time or DEFAULT_SERVICE_SECONDS
        return QueueState(
            in_flight / limit,
            service_time * max(0.0, in_flight + 1 - limit) / limit,
            self._penalty(server, settings),
            rate_wait,
        )

    def record_load(self, load: Load, started: int, rank: int, now: float) -> None:
        """Record the load that the server's node reported to a request of a rank.

        Parameters
        ----------
        started : int
            Start of the server as it is listed.
        """
        self.reported_start = started
        self.cold_until = now + load.warmup_left if load.warmup_left else 0.0
        self.rate_limit = load.rate_limit
        if load.rate_limit:
            self.rate_room_at[rank] = now + load.rate_wait
        else:
            self.rate_room_at.clear()
        self.other_in_flight = max(0, load.running + load.waiting - self.own_in_flight)
        self.limit = load.limit
        self.service_time = load.service_time
        self.reported_at = now

    def _penalty(self, server: BackendServer, settings: SelectionSettings) -> float:
        """Factor on the expected time of a server that fails or has just started."""
        penalty = 1.0 + settings.failure_weight * self.failures
        if server.warmup > 0 and not self.reported_at:
            penalty *= settings.cold_factor
        return penalty
