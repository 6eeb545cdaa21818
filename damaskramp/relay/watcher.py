"""Reader of the platform's published data, and of the proof that it is current.

A reader keeps two requests to the platform open. A watch waits for changes and returns
them at once. A poll asks for changes without waiting. The answer of a poll proves that
nothing else had changed when the poll was sent, whereas the answer of a watch proves
this only for the moment at which the watch began. A poll also finds changes that a
silent watch has missed.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from damaskramp.core import Counters, TimerService
from damaskramp.fleet import (
    FleetSource,
    RevisionExpiredError,
    SourceBusyError,
    SourceChanges,
    SourceError,
)
from damaskramp.fleet.directory import REREGISTRATION_SECONDS
from damaskramp.relay.fleet_updater import FleetUpdater
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.platform_contact import PlatformContact

__all__ = ["Watcher", "WatcherSettings"]

CHECK_INTERVAL_SECONDS = 0.2
"""Interval between checks of whether this node should read, in seconds. It is a part of
every bound on the delay of changes."""

UPDATE_PAUSE_SECONDS = 0.15
"""Pause after a change before the next watch, in seconds, so that changes in quick
succession, as when many servers start, cost each reader one call rather than one each.
It is small against the two seconds that a change may take to arrive."""

CONSULTATION_SECONDS = 0.3
"""Time, in seconds, for which a node that has just started waits for the answer of a
running node, which may know more than a store that was restored from a copy."""

POLL_JITTER = 0.2
"""Relative jitter of the interval between polls, so that readers don't ask together."""

LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WatcherSettings:
    """Intervals and timeouts of reading, in seconds.

    Attributes
    ----------
    poll_seconds : float
        Interval between polls. Their answers prove that nothing has changed, so the
        interval is a fraction of the time for which keys are honoured without proof.
    stale_seconds : float
        Age of the proof above which a node polls although it is not a reader of its
        zone. The proofs that peers hand on stay below this age, which is half of the
        time for which keys are honoured.
    watch_seconds : float
        Longest wait of one watch. Polls detect a silent watch sooner.
    min_backoff_seconds, max_backoff_seconds : float
        First and longest backoff after a failure; each further failure doubles it. The
        longest backoff bounds the time until a node notices that the platform is
        reachable again, and keeps a fleet of a thousand hosts below the platform's
        bound on reads.
    """

    poll_seconds: float
    stale_seconds: float
    watch_seconds: float = 5.0
    min_backoff_seconds: float = 0.1
    max_backoff_seconds: float = 0.6


class Watcher:
    """Reader that copies the platform's published data into the fleet view.

    Parameters
    ----------
    source : FleetSource
        Source to read.
    fleet_view : FleetView
        View of the fleet that takes the changes and the proof that it is current.
    broadcast_changes : callable
        Called with changes that other nodes should learn of at once.
    consult_peers : callable
        Waits until a running node has said what it knows, for some seconds at most.
    """

    def __init__(
        self,
        settings: WatcherSettings,
        source: FleetSource,
        fleet_view: FleetView,
        timers: TimerService,
        counters: Counters,
        random_source: random.Random,
        broadcast_changes: Callable[[SourceChanges], None],
        consult_peers: Callable[[float], Awaitable[None]],
    ) -> None:
        self._broadcast_changes = broadcast_changes
        self._consult_peers = consult_peers
        self._settings = settings
        self._source = source
        self._fleet_view = fleet_view
        self._timers = timers
        self._counters = counters
        self._random = random_source
        self._updater = FleetUpdater(fleet_view, counters)
        self._contact = PlatformContact()
        self._next_poll = float("-inf")
        self._watch: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        watch_task = asyncio.get_running_loop().create_task(self._watch_changes())
        try:
            await self._poll()
        finally:
            watch_task.cancel()

    async def _poll(self) -> None:
        settings = self._settings
        pause = settings.min_backoff_seconds
        while True:
            if not self._poll_is_due():
                await self._timers.sleep(CHECK_INTERVAL_SECONDS)
                continue
            asked_at = self._timers.now
            work = (
                self._read_snapshot
                if self._updater.position is None
                else self._catch_up
            )
            if await self._read(work, asked_at):
                pause = settings.min_backoff_seconds
                self._next_poll = asked_at + self._poll_pause()
            else:
                await self._timers.sleep(pause * (0.5 + self._random.random()))
                pause = min(2 * pause, settings.max_backoff_seconds)

    def _poll_pause(self) -> float:
        if self._fleet_view.configuration is None:
            # Nothing has been published yet, and the zone's readers are not known.
            return self._settings.max_backoff_seconds
        jitter_factor = 1.0 + POLL_JITTER * (2.0 * self._random.random() - 1.0)
        return self._settings.poll_seconds * jitter_factor

    def _poll_is_due(self) -> bool:
        if self._updater.position is None:
            return True
        if self._timers.now < self._next_poll:
            return False
        stale = self._fleet_view.freshness.age > self._settings.stale_seconds
        return stale or self._is_reader()

    def _is_reader(self) -> bool:
        """Return whether this node reads the platform for its zone."""
        return self._fleet_view.host in self._fleet_view.readers

    async def _read(self, work: Callable[[], Awaitable[None]], asked_at: float) -> bool:
        """Read from the source; return whether it could be reached."""
        try:
            await work()
        except RevisionExpiredError:
            self._counters.add("source_history_lost")
            if self._updater.position is None:
                return False
            self._updater.position = None
        except SourceError as error:
            self._contact.record_lost(asked_at, error)
            busy = isinstance(error, SourceBusyError)
            self._counters.add("source_errors", reason="busy" if busy else "failed")
            return False
        except Exception as error:
            # An answer must not stop the reader, whatever its content.
            self._counters.add("source_errors", reason="unreadable")
            LOGGER.error("platform's answer unreadable", extra={"cause": repr(error)})
            self._updater.position = None
            return False
        self._contact.record_reached()
        return True

    async def _watch_changes(self) -> None:
        """Keep a watch open while this node reads the platform for its zone."""
        while True:
            if (
                self._updater.position is None
                or not self._contact.reachable
                or not self._is_reader()
            ):
                await self._timers.sleep(CHECK_INTERVAL_SECONDS)
                continue
            before = self._updater.position
            work = self._read_changes(self._settings.watch_seconds)
            self._watch = asyncio.get_running_loop().create_task(work)
            try:
                await self._watch
                if self._updater.position != before:
                    await self._timers.sleep(UPDATE_PAUSE_SECONDS)
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    self._watch.cancel()
                    raise
                # A poll has found a change that this watch should have returned.
                self._counters.add("source_errors", reason="watch_behind")
            except RevisionExpiredError:
                self._counters.add("source_history_lost")
                self._updater.position = None
            except Exception as error:
                # The next poll shows whether the platform is lost.
                self._counters.add("source_errors", reason="watch_broken")
                LOGGER.info("watch broken", extra={"cause": repr(error)})
                self._next_poll = self._timers.now
                await self._timers.sleep(CHECK_INTERVAL_SECONDS)

    async def _catch_up(self) -> None:
        """Poll for changes; cancel a watch that should have returned them."""
        before = self._updater.position
        watch = self._watch
        await self._read_changes(0.0)
        if (
            self._updater.position != before
            and watch is not None
            and watch is self._watch
        ):
            watch.cancel()

    async def _read_snapshot(self) -> None:
        fleet_view, updater = self._fleet_view, self._updater
        asked_at = fleet_view.freshness.now
        snapshot = await self._source.snapshot()
        self._defer_removals_after_outage()
        starts = fleet_view.configuration is None
        updater.apply_snapshot(snapshot, asked_at)
        if starts and snapshot.configuration is not None:
            await self._consult_peers(CONSULTATION_SECONDS)
        if snapshot.configuration is not None:
            updater.confirm(asked_at)
        LOGGER.info(
            "snapshot read",
            extra={
                "version": fleet_view.version,
                "servers": len(snapshot.servers),
                "revision": snapshot.position.revision,
                "epoch": snapshot.position.epoch,
            },
        )
        updater.position = snapshot.position

    async def _read_changes(self, seconds: float) -> None:
        """Read and apply changes; wait for them up to `seconds`."""
        asked_at = self._fleet_view.freshness.now
        changes = await self._source.changes(self._updater.position, seconds)
        self._defer_removals_after_outage()
        if not self._updater.apply_changes(changes, asked_at):
            return
        if (
            changes.configuration is not None
            or changes.servers
            or changes.removed
            or changes.evacuations
        ):
            self._broadcast_changes(changes)
        for server in changes.servers:
            if server.leaving:
                LOGGER.info("backend server is leaving", extra={"server": server.id})
        for removal in changes.removed:
            LOGGER.info(
                "backend server removed",
                extra={"server": removal.server, "revision": removal.revision},
            )

    def _defer_removals_after_outage(self) -> None:
        if self._contact.ends_outage(self._timers.now):
            self._fleet_view.directory.defer_removals(
                self._timers.now + REREGISTRATION_SECONDS
            )
