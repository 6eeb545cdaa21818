"""Requests that crash the backend servers that run them.

A request is identified by its fingerprint, which covers caller, method, path and body.
The requests that were running when a server died are suspects, unless a request with
the same fingerprint has been answered recently. Many callers send the same request, and
nothing distinguishes the requests that run on a dying server. A fingerprint that has
reached the limit of deaths is blocked at all servers until its retention ends. Each
death is reported to all hosts with the id of the server's lifetime, so that it counts
once.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Death", "SuspectSettings", "Suspects"]

MAX_ANSWERED_FINGERPRINTS = 8192
"""Number of fingerprints kept as answered; they take about a megabyte."""

REPORTED_SHARE = 0.9
"""Part of the retention for which a death is reported to other hosts. The rest is
longer than a report takes to reach all hosts."""

FORGET_INTERVAL_SECONDS = 1.0
"""Shortest interval between two searches for old deaths, in seconds."""

MAX_REPORTED_DEATHS = 128
"""Most deaths that are reported to another host at once, some 6 KB. When a zone loses
its servers, the requests of all of them are suspects; each answer to a ping would
otherwise carry 100 KB for a minute."""


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
    age : float
        Seconds since the death.
    """

    fingerprint: int
    server: str
    age: float = 0.0


class Suspects:
    """Deaths for each fingerprint, and fingerprints that were answered recently."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._deaths: dict[int, dict[str, float]] = {}
        self._repeated: dict[int, None] = {}
        self._forget_at = float("-inf")
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
            if death.age >= self._settings.retention:
                continue
            answered = self._answered.get(death.fingerprint)
            if answered is not None and now - answered < self._settings.retention:
                continue
            servers = self._deaths.setdefault(death.fingerprint, {})
            servers.setdefault(death.server, now - max(0.0, death.age))
            if len(servers) > 1:
                self._repeated[death.fingerprint] = None

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
        """Deaths to report to other hosts.

        If there are too many, fingerprints with several deaths come first, as they may
        be blocked, and then the newest. A death is reported for a part of its retention
        only. Hosts that have forgotten it would otherwise learn of it again from those
        that forget it a little later, without end.
        """
        self._forget_old(now)
        reported = REPORTED_SHARE * self._settings.retention
        found: list[Death] = []
        singles = (f for f in reversed(self._deaths) if f not in self._repeated)
        for fingerprint in itertools.chain(self._repeated, singles):
            if len(found) >= MAX_REPORTED_DEATHS:
                break
            found += [
                Death(fingerprint, server, now - died_at)
                for server, died_at in self._deaths.get(fingerprint, {}).items()
                if now - died_at < reported
            ]
        return found[:MAX_REPORTED_DEATHS]

    def _forget_old(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_SECONDS
        retention = self._settings.retention
        for fingerprint, servers in list(self._deaths.items()):
            if now - max(servers.values()) > retention:
                del self._deaths[fingerprint]
        self._repeated = {f: None for f in self._repeated if f in self._deaths}
