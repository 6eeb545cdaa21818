"""Ledger of requests that were running when backend servers died.

The ledger is a set of facts: deaths, and the latest success of a fingerprint. The
quarantine status of a request depends on this set alone, so facts may arrive in any
order, late and more than once.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from damaskramp.config import QuarantineSettings
from damaskramp.core import HostId
from damaskramp.quarantine.fingerprint import Fingerprint

__all__ = ["Death", "DeathLedger", "QuarantineStatus"]

MAX_DEATHS_PER_FINGERPRINT = 16
MS_PER_SECOND = 1000


class QuarantineStatus(Enum):
    """Quarantine status of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, order=True)
class Death:
    """Death of the backend server on a host.

    Attributes
    ----------
    host : HostId
        Host of the backend server.
    at_ms : int
        Time of the death in milliseconds since the epoch.
    """

    host: HostId
    at_ms: int


@dataclass(slots=True)
class _Facts:
    deaths: set[Death] = field(default_factory=set)
    succeeded_ms: int = 0

    def death_times_since_success(self) -> list[int]:
        """Return the sorted times of the deaths since the last success."""
        death_times = [death.at_ms for death in self.deaths]
        return sorted(
            death_time for death_time in death_times if death_time > self.succeeded_ms
        )


class DeathLedger:
    """Facts by fingerprint, bounded by dropping the least recently changed first.

    Parameters
    ----------
    settings : QuarantineSettings
        Bounds of the ledger, and the times for which deaths count.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._facts: OrderedDict[Fingerprint, _Facts] = OrderedDict()

    def __len__(self) -> int:
        return len(self._facts)

    def add_death(self, fingerprint: Fingerprint, death: Death) -> None:
        """Record that a backend server died while it ran the request."""
        facts = self._touch(fingerprint)
        facts.deaths.add(death)
        if len(facts.deaths) > MAX_DEATHS_PER_FINGERPRINT:
            facts.deaths.remove(min(facts.deaths, key=lambda known: known.at_ms))

    def add_success(self, fingerprint: Fingerprint, at_ms: int) -> None:
        """Record a success of the request, which clears its earlier deaths."""
        facts = self._touch(fingerprint)
        facts.succeeded_ms = max(facts.succeeded_ms, at_ms)

    def deaths(self, fingerprint: Fingerprint, now_ms: int) -> int:
        """Return the number of deaths that still count against a request."""
        facts = self._facts.get(fingerprint)
        if facts is None:
            return 0
        death_times = facts.death_times_since_success()
        retention_ms = self._retention_ms(len(death_times))
        if not death_times or now_ms - death_times[-1] >= retention_ms:
            return 0
        return len(death_times)

    def quarantine_status(
        self, fingerprint: Fingerprint, now_ms: int, reported_deaths: int = 0
    ) -> QuarantineStatus:
        """Return the quarantine status of a request.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the request.
        now_ms : int
            Milliseconds since the epoch.
        reported_deaths : int
            Number of deaths that the call itself reports.
        """
        deaths = max(reported_deaths, self.deaths(fingerprint, now_ms))
        if deaths >= self._settings.deaths:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if deaths else QuarantineStatus.CLEAR

    def count(self, now_ms: int, quarantine_status: QuarantineStatus) -> int:
        """Return the number of fingerprints with a quarantine status."""
        return sum(
            self.quarantine_status(fingerprint, now_ms) is quarantine_status
            for fingerprint in self._facts
        )

    def expire(self, now_ms: int) -> None:
        """Drop facts that no longer affect any status.

        A success is kept for as long as an older death could still arrive late.
        """
        retention_ms = self._settings.suspect_seconds * MS_PER_SECOND
        for fingerprint, facts in tuple(self._facts.items()):
            success_is_recent = now_ms - facts.succeeded_ms < retention_ms
            if not success_is_recent and not self.deaths(fingerprint, now_ms):
                del self._facts[fingerprint]

    def _retention_ms(self, deaths: int) -> float:
        quarantined = deaths >= self._settings.deaths
        if quarantined:
            return self._settings.quarantine_seconds * MS_PER_SECOND
        return self._settings.suspect_seconds * MS_PER_SECOND

    def _touch(self, fingerprint: Fingerprint) -> _Facts:
        facts = self._facts.setdefault(fingerprint, _Facts())
        self._facts.move_to_end(fingerprint)
        if len(self._facts) > self._settings.suspects:
            self._facts.popitem(last=False)
        return facts
