"""Follows the platform: what is published, and the proof that it is current."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from damaskramp.core import Counters, TimerService
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.fleet import (
    FleetConfiguration,
    FleetSource,
    HistoryLostError,
    SourceBusyError,
    SourceChanges,
    SourceError,
)
from damaskramp.relay.beliefs import Beliefs

__all__ = ["Watcher", "WatcherSettings"]

IDLE_SECONDS = 0.2
"""Pause between looks at whether to read; a part of every bound on news."""

OUTAGE_SECONDS = 1.5
"""Time out of reach after which descriptions may have lapsed: half of the shortest
time that they live without a heartbeat."""

LAPSE_SECONDS = 2.0
"""Time after the platform's return within which living servers are described again;
the platform's own figure."""

LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Pace of reading, in seconds.

    Attributes
    ----------
    watch_seconds : float
        Longest wait of one watch. Its answer is the proof that nothing has changed, so
        it is a fraction of the time for which keys are honoured without proof.
    stale_seconds : float
        Age of the proof from which a node reads that is no reader of its zone: more
        than peers' proofs reach, and half of the time for which keys are honoured.
    readers : int
        Readers in each zone; one may be lost without a gap.
    shortest_pause, longest_pause : float
        Pause after a failure, doubled by each one that follows. A returning platform is
        found within the longest, while a fleet of a thousand asks less often than the
        platform's bound on reads.
    """

    watch_seconds: float
    stale_seconds: float
    readers: int = 2
    shortest_pause: float = 0.1
    longest_pause: float = 0.6


class Watcher:
    """One reader of the source.

    Parameters
    ----------
    source : FleetSource
        What is read.
    beliefs : Beliefs
        Where it is written.
    spread : callable
        Called with changes that other nodes should learn of at once.
    """

    def __init__(
        self,
        settings: WatcherSettings,
        source: FleetSource,
        beliefs: Beliefs,
        timers: TimerService,
        counters: Counters,
        random_source: random.Random,
        spread: Callable[[SourceChanges], None],
    ) -> None:
        self._spread = spread
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
        pause = self._settings.shortest_pause
        while True:
            try:
                if revision is None:
                    revision = await self._snapshot()
                elif not self._should_read():
                    await self._timers.sleep(IDLE_SECONDS)
                    continue
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
                pause = min(2 * pause, self._settings.longest_pause)
                continue
            except (KeyError, TypeError, ValueError) as error:
                # An answer of another form than agreed must not end the reading.
                self._counters.add("source_errors", reason="unreadable")
                LOGGER.error(
                    "platform's answer unreadable", extra={"cause": repr(error)}
                )
                await self._timers.sleep(self._settings.longest_pause)
                revision = None
                continue
            self._note_reachable(True, None)
            pause = self._settings.shortest_pause

    def _should_read(self) -> bool:
        """Whether this node reads for its zone, or can't rely on those that do."""
        beliefs = self._beliefs
        if beliefs.freshness.age > self._settings.stale_seconds:
            return True
        hosts = [h for h, zone in beliefs.directory.hosts() if zone == beliefs.zone]
        hosts.sort(key=lambda host: rendezvous_score(host, "reader"), reverse=True)
        return beliefs.host in hosts[: self._settings.readers]

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
        if changes.configuration is not None or changes.servers or changes.removed:
            self._spread(changes)
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
