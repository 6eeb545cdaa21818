"""Rate of requests to a backend server that limits it.

A server in need states how many requests a second it takes from all hosts together, and
a cold server tolerates few. Every request of a server passes through the node beside
it, so a token bucket there keeps the smaller of the two limits exactly, however many
hosts send requests. For a cold server the exact count of one second applies as well.

This handles a server whose limit is far below the demand. Requests that matter less
leave some tokens for the more important ones that are likely to arrive, so that these
need not wait for the next token.
"""

from dataclasses import dataclass

from damaskramp.dispatch.cold_server import ColdServer

__all__ = ["ServerRate", "ServerRateSettings"]

TOKEN_TOLERANCE = 1e-6
"""Missing part of a token that is attributed to rounding."""

MIN_COUNTED_SHARE = 0.25
"""Smallest part of the window that a rate is taken over after counting has begun."""


@dataclass(frozen=True, slots=True)
class ServerRateSettings:
    """Settings of the token bucket of a server that limits its requests.

    Attributes
    ----------
    burst_seconds : float
        Seconds' worth of the limit that may be sent at once.
    min_burst : float
        Smallest number of requests that may be sent at once.
    min_rate : float
        Requests a second that a server gets whatever its limit, as only an answer can
        show that the limit has ended.
    unreadable_share : float
        Limit of a server whose stated limit can't be read, as a share of the rate at
        which it was sent requests before.
    min_unreadable_rate : float
        Smallest such limit, in requests a second.
    reserve_seconds : float
        Seconds' worth of the more important requests for which less important ones
        leave tokens.
    min_rate_share : float
        Smallest share of the limit that a waiting request is expected to get.
    demand_seconds : float
        Window, in seconds, over which rates of requests are counted.
    """

    burst_seconds: float = 0.5
    min_burst: float = 2.0
    min_rate: float = 0.25
    unreadable_share: float = 0.5
    min_unreadable_rate: float = 1.0
    reserve_seconds: float = 1.0
    min_rate_share: float = 0.05
    demand_seconds: float = 2.0


class ServerRate:
    """Token bucket of one backend server; without a limit it restricts nothing.

    Parameters
    ----------
    cold : ColdServer or None
        Warm-up of the server; None if none is known.

    Examples
    --------
    >>> rate = ServerRate(ServerRateSettings())
    >>> rate.record_limit(4.0, now=0.0)
    >>> rate.may_start(True, 0), rate.record_start(0.0), rate.may_start(True, 0)
    (True, None, False)
    >>> round(rate.wait(True, 0, ahead=0), 3)
    0.25
    """

    def __init__(
        self, settings: ServerRateSettings, cold: ColdServer | None = None
    ) -> None:
        self._settings = settings
        self._cold = cold
        self._stated: float | None = None
        self._limit: float | None = None
        self._is_cold_limit = False
        self._is_observed = False
        self._last_stated_at = float("-inf")
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._starts = _RecentRate(settings.demand_seconds)
        self._call_demand = _RecentRate(settings.demand_seconds)
        self._new_demand: dict[int, _RecentRate] = {}

    @property
    def limit(self) -> float | None:
        """Requests a second that the server takes; None without a limit."""
        return self._limit

    @property
    def is_unlimited(self) -> bool:
        """Whether there is no limit, and time alone can't bring one into force."""
        return self._limit is None and (self._cold is None or not self._cold.is_limited)

    def record_limit(self, limit: float, now: float) -> None:
        """Record an answer that states a limit, in requests a second."""
        self._is_observed = True
        self._last_stated_at = now
        self._state_limit(limit, now)

    def record_unreadable_limit(self, now: float) -> None:
        """Record an answer whose limit can't be read.

        The last readable limit stays in force. Without one, the server gets a part of
        the requests that it was sent before.
        """
        self._is_observed = True
        self._last_stated_at = now
        if self._stated is None:
            settings = self._settings
            share = settings.unreadable_share * self._starts.value(now)
            self._state_limit(max(settings.min_unreadable_rate, share), now)

    def record_no_limit(self, sent_at: float) -> None:
        """Record an answer that states no limit, to a request sent at a clock time.

        An answer to a request that was sent before the limit was last stated may be
        older than that statement, and ends no limit.
        """
        self._is_observed = True
        if sent_at > self._last_stated_at:
            self._end_stated_limit()

    def adopt_limit(self, limit: float, now: float) -> None:
        """Adopt a limit that another host has seen, unless an answer was seen here."""
        if not self._is_observed and self._stated is None:
            self._state_limit(limit, now)

    def reset(self) -> None:
        """Forget the stated limit, as another start of the server has begun."""
        self._is_observed = False
        self._last_stated_at = float("-inf")
        self._end_stated_limit()

    def record_offer(self, is_call: bool, priority: int, now: float) -> None:
        """Record that a request was offered to the server."""
        if self.is_unlimited:
            return
        self.refill(now)
        if self._limit is None:
            return
        if is_call:
            self._call_demand.add(now)
            return
        demand = self._new_demand.get(priority)
        if demand is None:
            demand = _RecentRate(self._settings.demand_seconds)
            self._new_demand[priority] = demand
        demand.add(now)

    def record_start(self, now: float) -> None:
        """Record that a request is sent to the server."""
        self._starts.add(now)
        if self._cold is not None:
            self._cold.record_start()
        if self._limit is not None:
            self._refill(now)
            self._tokens -= 1.0

    def record_end(self, now: float, reached: bool) -> None:
        """Record the outcome of a request that was sent.

        Parameters
        ----------
        reached : bool
            Whether the server may have accepted the request. If not, the request does
            not count towards the limit of a cold server.
        """
        if self._cold is not None:
            self._cold.record_end(now, reached)
        if self._is_cold_limit and not reached:
            self._tokens = min(self._burst, self._tokens + 1.0)

    def refill(self, now: float) -> None:
        """Follow a limit that changes with time, and add the tokens that are due."""
        if self._cold is not None and self._cold.is_limited:
            self._update_limit(now)
        if self._limit is not None:
            self._refill(now)

    def may_start(self, is_call: bool, priority: int) -> bool:
        """Whether a request may be sent now, as of the last refill."""
        if self._limit is None:
            return True
        if self._missing(is_call, priority, 0) > 0.0:
            return False
        return self._cold is None or self._cold.may_start(self._refilled_at)

    def wait(
        self, is_call: bool, priority: int, ahead: int, share: float = 1.0
    ) -> float:
        """Seconds until a request may be sent, as of the last refill.

        Parameters
        ----------
        ahead : int
            Number of waiting requests that go first.
        share : float
            Share of the limit that the request's kind gets at least, if the other kind
            asks for more than the rest.
        """
        if self._limit is None:
            return 0.0
        cold = self._cold
        counted = cold.wait(ahead, self._refilled_at) if cold is not None else 0.0
        missing = self._missing(is_call, priority, ahead)
        if missing <= 0.0:
            return self._expected(counted)
        other_rate = self._new_rate() if is_call else self._call_rate()
        rate = max(share * self._limit, self._limit - other_rate)
        if not is_call:
            rate -= self._more_important_rate(priority)
        rate = max(rate, self._settings.min_rate_share * self._limit)
        return self._expected(max(counted, missing / rate))

    def _expected(self, wait: float) -> float:
        if self._cold is None or self._stated is not None:
            return wait
        return self._cold.expected_wait(wait, self._refilled_at)

    def _missing(self, is_call: bool, priority: int, ahead: int) -> float:
        reserve = 0.0
        if not is_call:
            rate = self._more_important_rate(priority)
            reserve = min(rate * self._settings.reserve_seconds, self._burst - 1.0)
        return 1.0 + ahead + reserve - self._tokens - TOKEN_TOLERANCE

    def _call_rate(self) -> float:
        return self._call_demand.value(self._refilled_at)

    def _new_rate(self) -> float:
        return sum(
            demand.value(self._refilled_at) for demand in self._new_demand.values()
        )

    def _more_important_rate(self, priority: int) -> float:
        return sum(
            demand.value(self._refilled_at)
            for other, demand in self._new_demand.items()
            if other < priority
        )

    @property
    def _burst(self) -> float:
        settings = self._settings
        burst = max(settings.min_burst, settings.burst_seconds * self._limit)
        if self._is_cold_limit:
            return min(burst, self._cold.burst)
        return burst

    def _state_limit(self, limit: float, now: float) -> None:
        self._stated = max(limit, self._settings.min_rate)
        self._update_limit(now)

    def _end_stated_limit(self) -> None:
        """End the limit that the server stated; the next refill finds any other."""
        self._stated = None
        if self._cold is None or not self._cold.is_limited:
            self._limit = None

    def _update_limit(self, now: float) -> None:
        """Put the smaller of the stated limit and that of the warm-up in force."""
        cold_rate = self._cold.rate(now) if self._cold is not None else None
        limits = [limit for limit in (self._stated, cold_rate) if limit is not None]
        self._is_cold_limit = cold_rate is not None and self._cold.seconds_left(now) > 0
        if limits:
            self._set_limit(min(limits), now)
        else:
            self._limit = None

    def _set_limit(self, limit: float, now: float) -> None:
        if self._limit is None:
            # The server is short of room now, so nothing is saved for a burst yet.
            self._tokens = 1.0
            self._refilled_at = now
            self._call_demand = _RecentRate(self._settings.demand_seconds)
            self._new_demand.clear()
        elif limit != self._limit:
            self._refill(now)
        self._limit = limit
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            earned = (now - self._refilled_at) * self._limit
            self._tokens = min(self._burst, self._tokens + earned)
            self._refilled_at = now


class _RecentRate:
    """Events a second in a sliding window, from the counts of two fixed windows."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._counting_since = float("-inf")
        self._window_start = float("-inf")
        self._count = 0
        self._previous_count = 0

    def add(self, now: float) -> None:
        self._roll(now)
        self._count += 1

    def value(self, now: float) -> float:
        self._roll(now)
        counted = now - self._counting_since
        if counted < self._seconds:
            return self._count / max(counted, MIN_COUNTED_SHARE * self._seconds)
        passed = (now - self._window_start) / self._seconds
        return (self._previous_count * (1.0 - passed) + self._count) / self._seconds

    def _roll(self, now: float) -> None:
        passed = now - self._window_start
        if passed < self._seconds:
            return
        self._previous_count, self._count = self._count, 0
        self._window_start += self._seconds
        if passed >= 2 * self._seconds:
            self._previous_count = 0
            self._window_start = self._counting_since = now
