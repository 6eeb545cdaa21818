"""What a node has observed of one backend server."""

from dataclasses import dataclass

from damaskramp.admission import Load
from damaskramp.balancing.balancer import Attempt, AttemptResult
from damaskramp.config import BalancingSettings
from damaskramp.core import Incarnation

__all__ = ["FAILURE_WEIGHT", "HostRecord"]

FAILURE_WEIGHT = 0.2
"""Weight of the newest attempt in the share of failures."""

LONG_AGO = float("-inf")


@dataclass(slots=True)
class HostRecord:
    """Observations of one backend server, by its host.

    Attributes
    ----------
    warm_since : float
        Monotonic time at which its ramp began.
    rank : int
        Place among the hosts that this node prefers, lowest first.
    in_flight : int
        Attempts of this node that are running there.
    latency : float
        Decaying peak of the observed latency in seconds, 0 where unknown.
    attempts, failures : int
        Attempts that ended here, and failures in a row.
    peer_attempts : int
        Attempts at the other hosts when the failures in a row began.
    failure_share : float
        Moving average of failed attempts, from 0 to 1.
    ejections : int
        Ejections without a lasting recovery between them.
    ejected : bool
        Whether it gets nothing but trial calls.
    trial_at : float
        Monotonic time of the next trial call.
    on_trial : bool
        Whether a trial call is running.
    leaving_until : float
        Monotonic time until which it gets nothing new.
    """

    incarnation: Incarnation
    warm_since: float
    rank: int = 0
    in_flight: int = 0
    latency: float = 0.0
    latency_at: float = 0.0
    load: Load | None = None
    load_at: float = LONG_AGO
    shed_at: float = LONG_AGO
    attempts: int = 0
    failures: int = 0
    peer_attempts: int = 0
    failure_share: float = 0.0
    ejections: int = 0
    ejected: bool = False
    ejected_at: float = LONG_AGO
    trial_at: float = 0.0
    on_trial: bool = False
    leaving_until: float = LONG_AGO

    def renew(self, incarnation: Incarnation, now: float) -> None:
        """Forget the former process on the host; the new one is cold."""
        self.incarnation = incarnation
        self.warm_since = now
        self.latency = 0.0
        self.load = None
        self.attempts = 0
        self.failures = 0
        self.failure_share = 0.0
        self.ejected = False
        self.ejections = 0
        self.leaving_until = LONG_AGO

    def observe(self, attempt: Attempt, now: float, half_life: float) -> None:
        """Take in the latency, load and failure of an attempt that ended."""
        if attempt.load is not None:
            self.load = attempt.load
            self.load_at = now
        if attempt.result is AttemptResult.SHED:
            self.shed_at = now
            return
        self.attempts += 1
        failed = attempt.result is AttemptResult.FAILED
        self.failures = self.failures + 1 if failed else 0
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
        # A failure that comes fast must not make the host look quick.
        if not failed or attempt.seconds > self.latency:
            self._observe_latency(attempt.seconds, now, half_life)

    def _observe_latency(self, seconds: float, now: float, half_life: float) -> None:
        known = self.expected_latency(now, half_life)
        if not self.latency or seconds > known:
            self.latency = (seconds + known) / 2 if self.latency else seconds
        else:
            keep = 0.5 ** ((now - self.latency_at) / half_life)
            self.latency = max(seconds, keep * 0.9 * known + (1 - keep * 0.9) * seconds)
        self.latency_at = now

    def expected_latency(self, now: float, half_life: float) -> float:
        """Latency in seconds, decayed so that a slow host is tried again."""
        return self.latency * 0.5 ** ((now - self.latency_at) / half_life)

    def ramp(self, now: float, settings: BalancingSettings) -> float:
        """Share of its full share of work, from the floor to 1."""
        grown = (now - self.warm_since) / settings.ramp_seconds
        return min(1.0, max(settings.ramp_floor, grown))

    def saturated(self, now: float, settings: BalancingSettings) -> bool:
        """Whether it lately shed a call or reported a queue at its limit."""
        if now - self.shed_at < settings.load_seconds:
            return True
        load = self.load
        if load is None or now - self.load_at >= settings.load_seconds:
            return False
        return 0 < load.limit <= load.in_flight + load.queued

    def utilization(self, now: float, settings: BalancingSettings) -> float:
        """Reported share of its limit in use, 0 where the report is too old."""
        load = self.load
        if load is None or not load.limit:
            return 0.0
        if now - self.load_at >= settings.load_seconds:
            return 0.0
        return (load.in_flight + load.queued) / load.limit

    def cost(self, now: float, settings: BalancingSettings, unknown: float) -> float:
        """Expected time of one more call; `unknown` stands for no latency yet."""
        half_life = settings.latency_half_life_seconds
        latency = self.expected_latency(now, half_life) or unknown
        return latency * (1 + self.in_flight) * (1 + self.utilization(now, settings))
