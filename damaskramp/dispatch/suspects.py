"""Requests that crash the backend servers that run them.

A request is identified by its fingerprint, which covers caller, method, path and body.
The requests that were running when a server died are suspects, unless a request with
the same fingerprint has been answered recently. Many callers send the same request, and
nothing distinguishes the requests that run on a dying server. A fingerprint that has
reached the limit of deaths is blocked at all servers until its retention ends. Each
death is reported to all hosts with the id of the server's lifetime, so that it counts
once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Death", "SuspectSettings", "Suspects"]

MAX_ANSWERED_FINGERPRINTS = 8192
"""Number of fingerprints kept as answered; they take about a megabyte."""


@dataclass(frozen=True, slots=True)
class SuspectSettings:
    """Settings for blocking fingerprints.

    Attributes
    ----------
    deaths : int
        Number of deaths from which a fingerprint is blocked. Even the second death may
        be chance, because all requests of a dying server are suspects.
    retention : float
        Seconds after the last death of a fingerprint for which its deaths are kept.
    """

    deaths: int = 2
    retention: float = 60.0


@dataclass(frozen=True, slots=True)
class Death:
    """Death of a server while a request ran there.

    Attributes
    ----------
    server : str
        Id of the server and start of the lifetime that ended.
    """

    fingerprint: int
    server: str


class Suspects:
    """Deaths for each fingerprint, and fingerprints that were answered recently."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._deaths: dict[int, dict[str, float]] = {}
        self._answered: dict[int, float] = {}

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Whether requests with a fingerprint may not run."""
        deaths = self._deaths.get(fingerprint)
        if deaths is None:
            return False
        if now - max(deaths.values()) > self._settings.retention:
            del self._deaths[fingerprint]
            return False
        return len(deaths) >= self._settings.deaths

    def record_deaths(self, deaths: Iterable[Death], now: float) -> None:
        """Record deaths that this host has seen or another host has reported."""
        for death in deaths:
            answered = self._answered.get(death.fingerprint)
            if answered is not None and now - answered < self._settings.retention:
                continue
            servers = self._deaths.setdefault(death.fingerprint, {})
            servers.setdefault(death.server, now)

    def record_answer(self, fingerprint: int, now: float) -> None:
        """Record that a server has answered a request with a fingerprint."""
        if len(self._answered) >= MAX_ANSWERED_FINGERPRINTS:
            kept = list(self._answered.items())[MAX_ANSWERED_FINGERPRINTS // 2 :]
            self._answered = dict(kept)
        # Reinsertion keeps the fingerprints in order of their last answer.
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        self._deaths.pop(fingerprint, None)

    def recent_deaths(self, now: float) -> list[Death]:
        """Deaths to report to other hosts."""
        return [
            Death(fingerprint, server)
            for fingerprint, servers in self._deaths.items()
            for server, died_at in servers.items()
            if now - died_at < self._settings.retention
        ]
