"""Ejection of outlier hosts, and the trial calls that end an ejection."""

import math
from collections.abc import Callable, Sequence

from numpy.random import Generator

from damaskramp.balancing.balancer import AttemptResult
from damaskramp.balancing.host_record import FAILURE_WEIGHT, HostRecord
from damaskramp.config import BalancingSettings

__all__ = ["OutlierEjection"]

BACKOFF_RESET_SECONDS = 60.0
"""Time without an ejection after which the ejection backoff is reset."""

OUTLIER_DEVIATIONS = 3.0
"""Number of standard deviations by which a host's share of failures may exceed the mean
share of its peers by chance."""

STALE_PEERS_FACTOR = 3
"""Factor on the required failures if the peers had few attempts since the first of
them, so that the peers' shares of failures may be out of date."""


class OutlierEjection:
    """Ejects a host that fails more often than its peers.

    Parameters
    ----------
    settings : BalancingSettings
        Thresholds and durations of ejection.
    generator : numpy.random.Generator
        Source of jitter for the ejection time.
    event : callable
        Callback that receives the name of each state change.
    """

    def __init__(
        self,
        settings: BalancingSettings,
        generator: Generator,
        event: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._generator = generator
        self._event = event

    def evaluate(
        self,
        record: HostRecord,
        result: AttemptResult,
        peers: Sequence[HostRecord],
        now: float,
    ) -> None:
        """Eject or reinstate a host after an attempt at it.

        Parameters
        ----------
        record : HostRecord
            The host, with the attempt already recorded.
        result : AttemptResult
            Result of the attempt.
        peers : sequence of HostRecord
            The other hosts of the same service.
        now : float
            Monotonic time in seconds.
        """
        if record.failures == 1:
            record.initial_peer_attempts = _total_attempts(peers)
        if record.ejected:
            self._evaluate_trial(record, result, now)
        elif self._is_outlier(record, peers):
            if self._may_eject(peers):
                self._eject(record, now)
                self._event("backend_server_ejected")
        elif record.failures >= self._settings.failures:
            self._reinstate_peers(record, peers)

    def _evaluate_trial(
        self, record: HostRecord, result: AttemptResult, now: float
    ) -> None:
        if result is AttemptResult.FAILED:
            self._eject(record, now)
        elif result is AttemptResult.ANSWERED:
            record.ejected = False
            record.failures = 0
            record.failure_share = 0.0
            # The host was out of use and may have restarted, so it counts as cold.
            record.ramp_started_at = now
            self._event("backend_server_taken_back")

    def _is_outlier(self, record: HostRecord, peers: Sequence[HostRecord]) -> bool:
        if record.failures < self._required_failures(record, peers):
            return False
        # If calls fail on all hosts, the cause is downstream, not in one of them.
        healthy_shares = [
            peer.failure_share
            for peer in peers
            if not peer.ejected and peer.attempts >= self._settings.failures
        ]
        mean_share = (
            sum(healthy_shares) / len(healthy_shares) if healthy_shares else 1.0
        )
        margin = self._settings.failure_margin + OUTLIER_DEVIATIONS * _deviation(
            mean_share
        )
        return record.failure_share >= mean_share + margin

    def _required_failures(
        self, record: HostRecord, peers: Sequence[HostRecord]
    ) -> int:
        """Failures in a row from which a host may be an outlier.

        More failures are required if the peers had few attempts since the first one.
        """
        required = self._settings.failures
        recent_peer_attempts = _total_attempts(peers) - record.initial_peer_attempts
        return (
            required
            if recent_peer_attempts >= 2 * required
            else STALE_PEERS_FACTOR * required
        )

    def _reinstate_peers(self, record: HostRecord, peers: Sequence[HostRecord]) -> None:
        """Reinstate ejected hosts that fail hardly more often than this host.

        They were ejected before the same failures appeared on this host.
        """
        limit = record.failure_share + self._settings.failure_margin
        for peer in peers:
            if peer.ejected and peer.failure_share < limit:
                peer.ejected = False
                self._event("backend_server_pardoned")

    def _may_eject(self, peers: Sequence[HostRecord]) -> bool:
        ejected = sum(peer.ejected for peer in peers) + 1
        total = len(peers) + 1
        return ejected < total and ejected <= self._settings.eject_share * total

    def _eject(self, record: HostRecord, now: float) -> None:
        if now - record.ejected_at > BACKOFF_RESET_SECONDS:
            record.ejections = 0
        record.ejections += 1
        record.ejected = True
        record.ejected_at = now
        seconds = self._settings.eject_seconds * 2.0 ** (record.ejections - 1)
        seconds = min(seconds, self._settings.eject_limit_seconds)
        record.trial_at = now + seconds * self._generator.uniform(0.75, 1.25)


def _deviation(share: float) -> float:
    """Standard deviation of a moving average of failures around `share`."""
    variance = share * (1.0 - share)
    return math.sqrt(variance * FAILURE_WEIGHT / (2.0 - FAILURE_WEIGHT))


def _total_attempts(records: Sequence[HostRecord]) -> int:
    return sum(record.attempts for record in records)
