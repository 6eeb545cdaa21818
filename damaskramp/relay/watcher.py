"""Follows the platform: what is published, and the proof that it is current."""

import logging
import random

from damaskramp.core import Counters, TimerService
from damaskramp.fleet import (
    FleetConfiguration,
    FleetSource,
    HistoryLostError,
    SourceBusyError,
    SourceError,
)
from damaskramp.relay.beliefs import Beliefs

__all__ = ["Watcher", "WatcherSettings"]

OUTAGE_SECONDS = 1.5
"""Time out of reach after which descriptions may have lapsed: half of the shortest
time that they live without a heartbeat."""

LAPSE_SECONDS = 2.0
"""Time after the platform's return within which living servers are described again;
the platform's own figure."""

LOGGER = logging.getLogger(__name__)


class WatcherSettings:
    """Pace of reading.

    Parameters
    ----------
    watch_seconds : float
        Longest wait of one watch. Its answer is the proof that nothing has changed, so
        it is a fraction of the time for which keys are honoured without proof.
    """

    def __init__(self, watch_seconds: float) -> None:
        self.watch_seconds = watch_seconds

    SHORTEST_PAUSE = 0.1
    """Pause in seconds after a failure; doubled by each one that follows."""

    LONGEST_PAUSE = 0.6
    """Seconds; a returning platform is found within this time, while a fleet of a
    thousand asks less often than the platform's bound on reads."""


class Watcher:
    """One reader of the source.

    Parameters
    ----------
    source : FleetSource
        What is read.
    beliefs : Beliefs
        Where it is written.
    """

    def __init__(
        self,
        settings: WatcherSettings,
        source: FleetSource,
        beliefs: Beliefs,
        timers: TimerService,
        counters: Counters,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source
        self._beliefs = beliefs
        self._timers = timers
        self._counters = counters
        self._random = random_source
        self._reachable: bool | None = None
        self._lost_at: float | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        revision = None
        pause = WatcherSettings.SHORTEST_PAUSE
        while True:
            try:
                if revision is None:
                    revision = await self._snapshot()
                else:
                    revision = await self._changes(revision)
            except HistoryLostError:
                self._counters.add("source_history_lost")
                revision = None
                continue
            except SourceError as error:
                self._note_reachable(False, error)
                busy = isinstance(error, SourceBusyError)
                self._counters.add("source_errors", reason="busy" if busy else "failed")
                await self._timers.sleep(pause * (0.5 + self._random.random()))
                pause = min(2 * pause, WatcherSettings.LONGEST_PAUSE)
                continue
            self._note_reachable(True, None)
            pause = WatcherSettings.SHORTEST_PAUSE

    async def _snapshot(self) -> int:
        beliefs = self._beliefs
        asked_at = beliefs.freshness.now
        snapshot = await self._source.snapshot()
        self._note_return()
        beliefs.directory.replace(snapshot.servers, snapshot.revision)
        if snapshot.configuration is not None:
            self._take(snapshot.configuration)
            beliefs.freshness.confirm(asked_at)
        LOGGER.info(
            "snapshot read",
            extra={
                "version": beliefs.version,
                "servers": len(snapshot.servers),
                "revision": snapshot.revision,
            },
        )
        return snapshot.revision

    async def _changes(self, revision: int) -> int:
        beliefs = self._beliefs
        asked_at = beliefs.freshness.now
        changes = await self._source.changes(revision, self._settings.watch_seconds)
        self._note_return()
        beliefs.directory.merge(changes.servers, changes.removed, changes.revision)
        if changes.configuration is not None:
            self._take(changes.configuration)
        if beliefs.configuration is not None:
            beliefs.freshness.confirm(asked_at)
        for server in changes.servers:
            if server.leaving:
                LOGGER.info("backend server is leaving", extra={"server": server.id})
        for name, at in changes.removed:
            LOGGER.info(
                "backend server removed", extra={"server": name, "revision": at}
            )
        return changes.revision

    def _note_return(self) -> None:
        lost_at, self._lost_at = self._lost_at, None
        if lost_at is not None and self._timers.now - lost_at > OUTAGE_SECONDS:
            self._beliefs.directory.hold_removals(self._timers.now + LAPSE_SECONDS)

    def _take(self, configuration: FleetConfiguration) -> None:
        if self._beliefs.take(configuration):
            self._counters.add("configurations", reason="platform")
            LOGGER.info(
                "configuration in force",
                extra={
                    "version": configuration.version,
                    "routes": len(configuration.routes),
                    "teams": len(configuration.teams),
                },
            )

    def _note_reachable(self, reachable: bool, error: Exception | None) -> None:
        now = self._timers.now
        if not reachable and self._reachable:
            self._lost_at = now
        if reachable != self._reachable:
            self._reachable = reachable
            event = "platform reached" if reachable else "platform lost"
            LOGGER.info(event, extra={"cause": str(error) if error else ""})
