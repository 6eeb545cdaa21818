"""Requests that bring down the backend servers which run them.

A request is known by its fingerprint: caller, method, path and body. Those that were
running when a server died are suspects, unless one like them has been answered lately:
many callers send the same request, and all that run on a dying server look alike. A
fingerprint with as many deaths as the limit runs nowhere until its time is over. Deaths
are told to all hosts, by the id of the death, so that each counts once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Death", "SuspectSettings", "Suspects"]

MAX_ANSWERED_FINGERPRINTS = 8192
"""Fingerprints remembered as answered; about a megabyte."""


@dataclass(frozen=True, slots=True)
class SuspectSettings:
    """When a fingerprint is refused.

    Attributes
    ----------
    deaths : int
        Deaths after which it runs nowhere: the second may be chance, as all requests
        of a dying server are suspects.
    memory : float
        Seconds for which a death is remembered after the last.
    """

    deaths: int = 2
    retention: float = 60.0


@dataclass(frozen=True, slots=True)
class Death:
    """A server's end while a request ran there.

    Attributes
    ----------
    server : str
        Id of the server and start of its lifetime.
    """

    fingerprint: int
    server: str


class Suspects:
    """Deaths by fingerprint, and fingerprints that were answered."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._deaths: dict[int, dict[str, float]] = {}
        self._answered: dict[int, float] = {}

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Whether a request may not run."""
        deaths = self._deaths.get(fingerprint)
        if deaths is None:
            return False
        if now - max(deaths.values()) > self._settings.retention:
            del self._deaths[fingerprint]
            return False
        return len(deaths) >= self._settings.deaths

    def record_deaths(self, deaths: Iterable[Death], now: float) -> None:
        """Take in deaths, seen here or told by another host."""
        for death in deaths:
            answered = self._answered.get(death.fingerprint)
            if answered is not None and now - answered < self._settings.retention:
                continue
            servers = self._deaths.setdefault(death.fingerprint, {})
            servers.setdefault(death.server, now)

    def record_answer(self, fingerprint: int, now: float) -> None:
        """Note that a server has answered such a request."""
        if len(self._answered) >= MAX_ANSWERED_FINGERPRINTS:
            kept = list(self._answered.items())[MAX_ANSWERED_FINGERPRINTS // 2 :]
            self._answered = dict(kept)
        # The newest stand last.
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        self._deaths.pop(fingerprint, None)

    def recent_deaths(self, now: float) -> list[Death]:
        """Deaths to tell other hosts."""
        return [
            Death(fingerprint, server)
            for fingerprint, servers in self._deaths.items()
            for server, died_at in servers.items()
            if now - died_at < self._settings.retention
        ]
