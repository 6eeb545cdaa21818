"""Ejection of outliers, and the trial calls that end it."""

import math
from collections.abc import Callable, Sequence

from numpy.random import Generator

from damaskramp.balancing.balancer import AttemptResult
from damaskramp.balancing.host_record import FAILURE_WEIGHT, HostRecord
from damaskramp.config import BalancingSettings

__all__ = ["OutlierEjection"]

RECOVERED_SECONDS = 60.0
"""Time without ejection after which the back-off starts anew."""

DEVIATIONS = 3.0
"""Standard deviations by which chance may part a host from its peers."""

STALE_FACTOR = 3
"""Factor on the failures needed where the peers' shares may be out of date."""


class OutlierEjection:
    """Ejects a host that fails while its peers do not.

    Parameters
    ----------
    settings : BalancingSettings
        Thresholds.
    generator : numpy.random.Generator
        Source of jitter.
    event : callable
        Told the name of each change of state.
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

    def judge(
        self,
        record: HostRecord,
        result: AttemptResult,
        peers: Sequence[HostRecord],
        now: float,
    ) -> None:
        """Eject or take back a host after an attempt at it.

        Parameters
        ----------
        peers : sequence of HostRecord
            The other hosts of the same service.
        """
        if record.failures == 1:
            record.peer_attempts = _attempts(peers)
        if record.ejected:
            self._judge_trial(record, result, now)
        elif self._outlier(record, peers):
            if self._may_eject(peers):
                self._eject(record, now)
                self._event("backend_server_ejected")
        elif record.failures >= self._settings.failures:
            self._pardon(record, peers)

    def _judge_trial(
        self, record: HostRecord, result: AttemptResult, now: float
    ) -> None:
        if result is AttemptResult.FAILED:
            self._eject(record, now)
        elif result is AttemptResult.ANSWERED:
            record.ejected = False
            record.failures = 0
            record.failure_share = 0.0
            # It has been away, perhaps to be restarted, so it counts as cold.
            record.warm_since = now
            self._event("backend_server_taken_back")

    def _outlier(self, record: HostRecord, peers: Sequence[HostRecord]) -> bool:
        if record.failures < self._failures_needed(record, peers):
            return False
        # What fails everywhere lies below these hosts, not in one of them.
        sound = [
            peer.failure_share
            for peer in peers
            if not peer.ejected and peer.attempts >= self._settings.failures
        ]
        usual = sum(sound) / len(sound) if sound else 1.0
        margin = self._settings.failure_margin + DEVIATIONS * _deviation(usual)
        return record.failure_share >= usual + margin

    def _failures_needed(self, record: HostRecord, peers: Sequence[HostRecord]) -> int:
        """Failures in a row; more where the peers were hardly asked meanwhile."""
        needed = self._settings.failures
        asked = _attempts(peers) - record.peer_attempts
        return needed if asked >= 2 * needed else STALE_FACTOR * needed

    def _pardon(self, record: HostRecord, peers: Sequence[HostRecord]) -> None:
        """Take back what was ejected before the same failures showed elsewhere."""
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
        if now - record.ejected_at > RECOVERED_SECONDS:
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


def _attempts(records: Sequence[HostRecord]) -> int:
    return sum(record.attempts for record in records)
