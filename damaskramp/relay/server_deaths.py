"""Requests that may have crashed the backend server on this host."""

from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import Death
from damaskramp.relay.fleet_view import FleetView

__all__ = ["ServerDeaths"]

DEATH_WINDOW_SECONDS = 0.5
"""Window, in seconds, that ends when the server is found unreachable. A run whose
connection was reset within the window is suspected of having crashed the server."""


class ServerDeaths:
    """Runs whose connections were reset, and deaths of the server after them."""

    def __init__(
        self, fleet_view: FleetView, clock: Callable[[], float], counters: Counters
    ) -> None:
        self._fleet_view = fleet_view
        self._clock = clock
        self._counters = counters
        self._recent_resets: list[tuple[float, int]] = []

    def record_reset(self, fingerprint: int) -> None:
        """Record that the connection of a running request was reset."""
        now = self._clock()
        self._recent_resets.append((now, fingerprint))
        self._recent_resets = [
            b for b in self._recent_resets if now - b[0] < DEATH_WINDOW_SECONDS
        ]

    def record_unreachable(self) -> None:
        """Record that the server is unreachable, so that it may have crashed."""
        now = self._clock()
        own = self._fleet_view.own_server
        lifetime = f"{own.id}/{own.started}" if own is not None else "?"
        deaths = [
            Death(fingerprint, lifetime)
            for when, fingerprint in self._recent_resets
            if fingerprint and now - when < DEATH_WINDOW_SECONDS
        ]
        self._recent_resets.clear()
        if deaths:
            self._counters.add("suspect_deaths", len(deaths))
            self._fleet_view.suspects.record_deaths(deaths, now)
