"""Warm-up of the backend server beside a node, and the limit that it puts on requests.

A server that has just started is cold: it crashes at a rate that it takes easily later.
The node learns the rest of a warm-up from the server's entry and from its health
answers, both of which may be late or missing. Where it can't know, it assumes that the
server is cold: after its own start, and whenever the server was unreachable or has
reset connections. A health answer or an entry with a newer start ends the assumption.

While the server is cold, the node sends requests at the tolerated rate, with the burst
that the permitted overshoot allows. The permitted slack is left for the requests that
were sent before the node learned that the server is cold. The exact count of one second
applies to both.
"""

from damaskramp.dispatch.arrival_window import ArrivalWindow
from damaskramp.dispatch.warmup import (
    UNKNOWN_SERVER,
    HealthAnswer,
    Warmth,
    WarmupSettings,
)
from damaskramp.fleet.model import BackendServer, ServerId, ServiceWarmup

__all__ = ["ColdServer"]

END_MARGIN_SECONDS = 0.1
"""Time for which the limit is kept after the stated end of a warm-up, in seconds; the
server's own clock decides when it is warm."""

RAMP_SECONDS = 1.0
"""Time after a warm-up, in seconds, in which the rate grows to the unlimited one."""

RAMP_DOUBLING_SECONDS = 0.25
"""Time in which the rate doubles during the ramp, in seconds. The rate reaches 16 times
that of the cold server, which is more than most servers get."""

DEFAULT_WARMUP_SECONDS = 10.0
"""Warm-up of a server whose service states none, in seconds, if its end is unknown."""

ENTRY_TOLERANCE_SECONDS = 0.5
"""Time, in seconds, by which an entry may state a later end than known before without a
new health check. Entries take a part of a second to reach a node."""

SURVIVAL_PROOF_SECONDS = 0.02
"""Time after a connection broke, in seconds, from which an older connection that is
still open, or an answer to an older request, proves that the server has not restarted.
All connections of a process that has died are reported within a loop iteration or two.
"""

SETTLING_SECONDS = 0.1
"""Longest wait that is told, in seconds, while a health check is about to decide if
an assumption holds. Others would else avoid a warm server for a second because one of
its connections broke."""

MAX_UNSETTLED_SECONDS = 1.0
"""Time after the beginning of an assumption, in seconds, from which it is taken as
lasting though no health check has been made."""

CHECK_INTERVAL_SECONDS = 0.5
"""Shortest time between two health checks, in seconds; each costs the server work."""

VERIFICATION_SECONDS = 0.25
"""Time before the end of a warm-up, in seconds, at which a health check verifies it. A
server without requests may stay cold for longer than its entry said. One check
is made, as this and `END_MARGIN_SECONDS` are less than `CHECK_INTERVAL_SECONDS`."""

RESERVED_FOR_CHECKS = 1
"""Requests a second left for health checks, which count as requests."""

UNKNOWN_RATE = 1.0
"""Requests a second assumed while the configuration is not known yet."""


class ColdServer:
    """Warm-up of one backend server, as far as the node beside it knows.

    Parameters
    ----------
    now : float
        Clock time in seconds at which the process started.

    Examples
    --------
    >>> warmup = ServiceWarmup(rate=5.5, seconds=3.0)
    >>> server = ColdServer(WarmupSettings(1.5, 8.0), now=0.0)
    >>> server.configure(warmup)
    >>> server.warmth(0.1).value, server.rate(0.1), server.room(2.0)
    ('assumed_cold', 5.5, 15)
    >>> server.record_health(HealthAnswer(warmup_left=0.0), asked_at=0.1, now=0.2)
    >>> server.warmth(0.2).value, server.rate(0.2)
    ('warm', None)
    """

    def __init__(self, settings: WarmupSettings, now: float) -> None:
        self._settings = settings
        self._is_counting = settings.is_stated
        self._window = ArrivalWindow(now)
        self._service = ServiceWarmup(UNKNOWN_RATE) if settings.is_stated else None
        self._limited_until = now + DEFAULT_WARMUP_SECONDS + END_MARGIN_SECONDS
        self._has_ramp = False
        self._is_assumed = True
        self._assumed_since = now
        self._assumed_at = now
        self._previous: tuple[float, bool] | None = None
        self._listed: tuple[ServerId, int] | None = None
        self._stated_server = UNKNOWN_SERVER
        self._last_check_at = float("-inf")
        self._check_wanted = True

    @property
    def is_limited(self) -> bool:
        """Whether the service of the server limits requests while it is cold."""
        return self._service is not None

    @property
    def burst(self) -> float:
        """Number of requests that may be sent at once."""
        if self._service is None:
            return float("inf")
        return max(1.0, self._service.rate * (self._settings.overshoot - 1.0))

    def configure(self, service: ServiceWarmup | None) -> None:
        """Set the warm-up of the service; None if it does not limit requests."""
        if not self._settings.is_stated:
            return
        was_assumed_for = self._assumption_seconds()
        self._service = service
        if self._is_assumed:
            self._limited_until += self._assumption_seconds() - was_assumed_for

    def warmth(self, now: float) -> Warmth:
        """What is known of the warm-up at a clock time."""
        if self._service is None or now >= self._limited_until:
            return Warmth.WARM
        return Warmth.ASSUMED_COLD if self._is_assumed else Warmth.COLD

    def seconds_left(self, now: float) -> float:
        """Seconds until the limit ends; 0 if there is none."""
        if self._service is None:
            return 0.0
        return max(0.0, self._limited_until - now)

    def rate(self, now: float) -> float | None:
        """Requests a second that may be sent; None without a limit."""
        if self._service is None:
            return None
        past = now - self._limited_until
        if past < 0.0:
            return self._service.rate
        if not self._has_ramp or past >= RAMP_SECONDS:
            return None
        return self._service.rate * 2.0 ** (past / RAMP_DOUBLING_SECONDS)

    def room(self, now: float) -> int:
        """Requests that may start at once within the exact count of one second."""
        return self._window.room(self._capacity, now)

    def may_start(self, now: float) -> bool:
        """Whether the exact count lets a further request start."""
        return self.seconds_left(now) <= 0.0 or self.room(now) > 0

    def wait(self, ahead: int, now: float) -> float:
        """Seconds until the exact count lets a request start, with others ahead."""
        left = self.seconds_left(now)
        if left <= 0.0:
            return 0.0
        return min(left, self._window.wait(self._capacity, ahead, now))

    def record_start(self) -> None:
        """Record that a request is sent to the server."""
        if self._is_counting:
            self._window.record_start()

    def record_end(self, now: float, reached: bool) -> None:
        """Record the outcome of a request; see `ArrivalWindow.record_end`."""
        if self._is_counting:
            self._window.record_end(now, reached)

    def expected_wait(self, wait: float, now: float) -> float:
        """Seconds that a request is expected to wait, if the limit asks for `wait`."""
        return min(wait, SETTLING_SECONDS) if self.is_unsettled(now) else wait

    def is_unsettled(self, now: float) -> bool:
        """Whether a health check is about to decide whether the server is cold."""
        if not self._is_assumed or not self._check_wanted:
            return False
        if (
            self.seconds_left(now) <= 0.0
            or now >= self._assumed_since + MAX_UNSETTLED_SECONDS
        ):
            return False
        was_checked = self._last_check_at >= self._assumed_since
        return not was_checked or now < self._last_check_at + SETTLING_SECONDS

    def assume_cold(self, now: float) -> None:
        """Assume that the server may be cold, until a check or its entry tells."""
        self._assume(now)
        self._previous = None

    def record_break(self, now: float) -> None:
        """Record that the server refused, reset or closed a connection.

        It may have restarted, and is assumed cold unless something proves otherwise.
        """
        before = (self._limited_until, self._has_ramp)
        if self._assume(now):
            self._previous = before

    def _assume(self, now: float) -> bool:
        """Assume a cold server; return whether it was not assumed before."""
        if self._service is None:
            return False
        is_new = not self._is_assumed or now >= self._limited_until
        if is_new:
            self._assumed_since = now
        self._is_assumed = True
        self._assumed_at = now
        warm_at = now + self._assumption_seconds()
        self._limit_until(max(self._limited_until - END_MARGIN_SECONDS, warm_at))
        self._check_wanted = True
        return is_new

    @property
    def survival_proof_before(self) -> float | None:
        """Clock time before which a connection must have been opened to prove survival.

        The result is None if no proof is of use.
        """
        return self._assumed_since if self._is_assumed and self._previous else None

    def record_alive(self, since: float, now: float) -> None:
        """Record that a connection, or a request on it, from a clock time still lives.

        A server that has kept one from before others broke has not restarted.
        """
        if not self._is_assumed or self._previous is None:
            return
        survived = now - self._assumed_at > SURVIVAL_PROOF_SECONDS
        if survived and since < self._assumed_since and now < self._limited_until:
            self._limited_until, self._has_ramp = self._previous
            self._is_assumed = False
            self._check_wanted = False

    def record_misdirected(self, server: ServerId, now: float) -> None:
        """Record that the server rejects requests for its listed id.

        Another server has replaced it, which the list does not show yet.
        """
        if self._stated_server in (UNKNOWN_SERVER, server):
            self._stated_server = UNKNOWN_SERVER
            self.assume_cold(now)

    def record_entry(self, server: BackendServer, left: float, now: float) -> None:
        """Record the entry of the server; `left` is its warm-up counted down, in s."""
        known, self._listed = self._listed, (server.id, server.started)
        is_extended = now + left > self._limited_until + ENTRY_TOLERANCE_SECONDS
        ends_assumption = self._is_assumed and _is_newer_start(server, known)
        if ends_assumption or (is_extended and left > 0.0):
            self._is_assumed = False
            self._check_wanted = left > 0.0
            self._limit_until(now + left)

    def check_due(self, now: float) -> bool:
        """Whether to make a health check now."""
        left = self.seconds_left(now)
        if left <= 0.0 or now < self._last_check_at + CHECK_INTERVAL_SECONDS:
            return False
        return self._check_wanted or left <= VERIFICATION_SECONDS

    def record_check(self, now: float) -> None:
        """Record that a health check is made."""
        self._last_check_at = now
        self._window.record_check(now)

    def record_health(self, answer: HealthAnswer, asked_at: float, now: float) -> None:
        """Record the answer to a health check made at a clock time.

        An answer to a check that was made before connections broke is out of date. One
        that does not tell the rest of the warm-up leaves the assumption in force.
        """
        if self._is_assumed and asked_at < self._assumed_at:
            return
        self._check_wanted = False
        if answer.warmup_left is None:
            return
        was_cold = not self._is_assumed and now < self._limited_until
        self._stated_server = answer.server
        self._is_assumed = False
        if answer.warmup_left > 0.0:
            self._limit_until(now + answer.warmup_left)
        else:
            self._limited_until = now
            self._has_ramp = was_cold

    @property
    def _capacity(self) -> int:
        """Most requests within one second, health checks not included."""
        if self._service is None:
            return 0
        bound = self._service.rate * self._settings.overshoot + self._settings.slack
        return max(int(bound >= 1.0), int(bound) - RESERVED_FOR_CHECKS)

    def _assumption_seconds(self) -> float:
        if self._service is None:
            return DEFAULT_WARMUP_SECONDS
        return self._service.seconds or DEFAULT_WARMUP_SECONDS

    def _limit_until(self, warm_at: float) -> None:
        self._limited_until = warm_at + END_MARGIN_SECONDS
        self._has_ramp = True


def _is_newer_start(server: BackendServer, known: tuple[ServerId, int] | None) -> bool:
    """Whether an entry describes a later start than the one that was known before.

    Servers that report no start get another id when they start.
    """
    if known is None:
        return False
    known_id, known_start = known
    if server.started:
        return server.started > known_start
    return server.id != known_id
