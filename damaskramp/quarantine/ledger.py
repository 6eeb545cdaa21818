"""What is known of requests that were running when backend servers died.

The ledger is a set of facts: deaths, and the latest success of a fingerprint. A
standing is a function of the set alone, so facts may arrive in any order, late and
more than once.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from damaskramp.config import QuarantineSettings
from damaskramp.core import HostId
from damaskramp.quarantine.fingerprint import Fingerprint

__all__ = ["Death", "DeathLedger", "QuarantineStatus"]

DEATHS_KEPT = 16
MS = 1000


class QuarantineStatus(Enum):
    """What is to be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, order=True)
class Death:
    """Death of the backend server on a host, in milliseconds since the epoch."""

    host: HostId
    at_ms: int


@dataclass(slots=True)
class _Facts:
    deaths: set[Death] = field(default_factory=set)
    succeeded_ms: int = 0

    def counted(self) -> list[int]:
        """Moments of the deaths since the last success."""
        moments = [death.at_ms for death in self.deaths]
        return sorted(moment for moment in moments if moment > self.succeeded_ms)


class DeathLedger:
    """Facts by fingerprint, the least recently changed dropped first.

    Parameters
    ----------
    settings : QuarantineSettings
        Bounds.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._facts: OrderedDict[Fingerprint, _Facts] = OrderedDict()

    def __len__(self) -> int:
        return len(self._facts)

    def add_death(self, item: Fingerprint, death: Death) -> None:
        """Record that a backend server died while the request was running."""
        facts = self._touch(item)
        facts.deaths.add(death)
        if len(facts.deaths) > DEATHS_KEPT:
            facts.deaths.remove(min(facts.deaths, key=lambda known: known.at_ms))

    def add_success(self, item: Fingerprint, at_ms: int) -> None:
        """Record that the request has succeeded, which clears it."""
        facts = self._touch(item)
        facts.succeeded_ms = max(facts.succeeded_ms, at_ms)

    def deaths(self, item: Fingerprint, now_ms: int) -> int:
        """Deaths that still count against a request."""
        facts = self._facts.get(item)
        if facts is None:
            return 0
        moments = facts.counted()
        held_ms = self._held_ms(len(moments))
        if not moments or now_ms - moments[-1] >= held_ms:
            return 0
        return len(moments)

    def quarantine_status(
        self, item: Fingerprint, now_ms: int, more: int = 0
    ) -> QuarantineStatus:
        """Standing of a request.

        Parameters
        ----------
        more : int
            Deaths that the call itself brings word of.
        """
        deaths = max(more, self.deaths(item, now_ms))
        if deaths >= self._settings.deaths:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if deaths else QuarantineStatus.CLEAR

    def count(self, now_ms: int, quarantine_status: QuarantineStatus) -> int:
        """Fingerprints of a standing."""
        return sum(
            self.quarantine_status(item, now_ms) is quarantine_status
            for item in self._facts
        )

    def expire(self, now_ms: int) -> None:
        """Drop what counts no longer.

        A success stays as long as an older death could still arrive late.
        """
        held_ms = self._settings.suspect_seconds * MS
        for item, facts in tuple(self._facts.items()):
            fresh = now_ms - facts.succeeded_ms < held_ms
            if not fresh and not self.deaths(item, now_ms):
                del self._facts[item]

    def _held_ms(self, deaths: int) -> float:
        quarantined = deaths >= self._settings.deaths
        if quarantined:
            return self._settings.quarantine_seconds * MS
        return self._settings.suspect_seconds * MS

    def _touch(self, item: Fingerprint) -> _Facts:
        facts = self._facts.setdefault(item, _Facts())
        self._facts.move_to_end(item)
        if len(self._facts) > self._settings.suspects:
            self._facts.popitem(last=False)
        return facts
