"""Observations of one backend server by this node."""

from dataclasses import dataclass

from damaskramp.admission import Load
from damaskramp.balancing.balancer import Attempt, AttemptResult
from damaskramp.config import BalancingSettings
from damaskramp.core import Incarnation

__all__ = ["FAILURE_WEIGHT", "HostRecord"]

FAILURE_WEIGHT = 0.2
"""Weight of the newest attempt in the moving average of failures."""

NEVER = float("-inf")


@dataclass(slots=True)
class HostRecord:
    """Observations of the backend server on one host.

    Attributes
    ----------
    ramp_started_at : float
        Monotonic time in seconds at which the slow start of the host began.
    rank : int
        Preference of this node for the host; the lowest rank is preferred.
    in_flight : int
        Attempts of this node that are running on the host.
    latency : float
        Decaying peak of the observed latency in seconds; 0 if unknown.
    attempts, failures : int
        Attempts that ended on the host, and its failures in a row.
    initial_peer_attempts : int
        Attempts at the other hosts when the failures in a row began.
    failure_share : float
        Exponential moving average of failed attempts, from 0 to 1.
    ejections : int
        Ejections since the last lasting recovery.
    ejected : bool
        Whether the host gets only trial calls.
    trial_at : float
        Monotonic time in seconds of the next trial call.
    trial_running : bool
        Whether a trial call is running.
    leaving_until : float
        Monotonic time in seconds until which the host gets no new calls.
    """

    incarnation: Incarnation
    ramp_started_at: float
    rank: int = 0
    in_flight: int = 0
    latency: float = 0.0
    latency_at: float = 0.0
    load: Load | None = None
    load_at: float = NEVER
    shed_at: float = NEVER
    attempts: int = 0
    failures: int = 0
    initial_peer_attempts: int = 0
    failure_share: float = 0.0
    ejections: int = 0
    ejected: bool = False
    ejected_at: float = NEVER
    trial_at: float = 0.0
    trial_running: bool = False
    leaving_until: float = NEVER

    def reset(self, incarnation: Incarnation, now: float) -> None:
        """Clear the record of the previous process; the new process is cold."""
        self.incarnation = incarnation
        self.ramp_started_at = now
        self.latency = 0.0
        self.load = None
        self.attempts = 0
        self.failures = 0
        self.failure_share = 0.0
        self.ejected = False
        self.ejections = 0
        self.leaving_until = NEVER

    def observe(self, attempt: Attempt, now: float, half_life: float) -> None:
        """Record the latency, load and result of an attempt that ended."""
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
        # A fast failure must not lower the latency estimate of the host.
        if not failed or attempt.seconds > self.latency:
            self._observe_latency(attempt.seconds, now, half_life)

    def _observe_latency(self, seconds: float, now: float, half_life: float) -> None:
        decayed = self.expected_latency(now, half_life)
        if not self.latency or seconds > decayed:
            self.latency = (seconds + decayed) / 2 if self.latency else seconds
        else:
            old_weight = 0.5 ** ((now - self.latency_at) / half_life)
            self.latency = max(
                seconds, old_weight * 0.9 * decayed + (1 - old_weight * 0.9) * seconds
            )
        self.latency_at = now

    def expected_latency(self, now: float, half_life: float) -> float:
        """Return the latency in seconds, decayed so that a slow host is tried again."""
        return self.latency * 0.5 ** ((now - self.latency_at) / half_life)

    def ramp_share(self, now: float, settings: BalancingSettings) -> float:
        """Return the slow-start fraction of draws, from `ramp_floor` up to 1."""
        elapsed_share = (now - self.ramp_started_at) / settings.ramp_seconds
        return min(1.0, max(settings.ramp_floor, elapsed_share))

    def is_saturated(self, now: float, settings: BalancingSettings) -> bool:
        """Whether the host recently shed a call or reported that it is at its limit."""
        if now - self.shed_at < settings.load_seconds:
            return True
        load = self.load
        if load is None or now - self.load_at >= settings.load_seconds:
            return False
        return 0 < load.limit <= load.in_flight + load.queued

    def utilization(self, now: float, settings: BalancingSettings) -> float:
        """Return the fraction of the limit in use; 0 without a recent report."""
        load = self.load
        if load is None or not load.limit:
            return 0.0
        if now - self.load_at >= settings.load_seconds:
            return 0.0
        return (load.in_flight + load.queued) / load.limit

    def cost(
        self, now: float, settings: BalancingSettings, default_latency: float
    ) -> float:
        """Return the expected time in seconds of one more call.

        A host without an observed latency is assumed to have `default_latency`.
        """
        half_life = settings.latency_half_life_seconds
        latency = self.expected_latency(now, half_life) or default_latency
        return latency * (1 + self.in_flight) * (1 + self.utilization(now, settings))
