"""Answers of the platform applied to the fleet view, with the proof that they give."""

import logging

from damaskramp.core import Counters
from damaskramp.fleet import (
    FleetConfiguration,
    RevisionExpiredError,
    SourceChanges,
    SourceSnapshot,
    StorePosition,
)
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.restore_log import log_restore

__all__ = ["FleetUpdater"]

LOGGER = logging.getLogger(__name__)


class FleetUpdater:
    """Writer of the platform's data into the fleet view.

    Attributes
    ----------
    position : StorePosition or None
        Position in the store up to which everything has been applied; None if a
        snapshot is needed.
    """

    def __init__(self, fleet_view: FleetView, counters: Counters) -> None:
        self._fleet_view = fleet_view
        self._counters = counters
        self._unreadable = False
        self._listed_version = 0
        self._lags_behind = False
        self.position: StorePosition | None = None

    def apply_snapshot(self, snapshot: SourceSnapshot, asked_at: float) -> None:
        """Apply a snapshot, without its proof and position.

        Raises
        ------
        RevisionExpiredError
            If a peer has learned of another epoch since the snapshot was asked for.
        """
        fleet_view = self._fleet_view
        self._follow_epoch(snapshot.position, asked_at)
        fleet_view.directory.replace(snapshot.servers, snapshot.position)
        if fleet_view.evacuations is not None and snapshot.evacuations is not None:
            fleet_view.evacuations.apply_snapshot(
                snapshot.evacuations, snapshot.position
            )
        self._listed_version = 0
        self._adopt_configuration(snapshot.configuration, snapshot.problem)

    def apply_changes(self, changes: SourceChanges, asked_at: float) -> bool:
        """Apply changes; return whether they are newer than what had been applied.

        Raises
        ------
        RevisionExpiredError
            If a peer has learned of another epoch since the changes were asked for.
        """
        fleet_view, position = self._fleet_view, changes.position
        self._follow_epoch(position, asked_at)
        fleet_view.directory.merge(changes.servers, changes.removed, position)
        if fleet_view.evacuations is not None and changes.evacuations is not None:
            fleet_view.evacuations.apply_changes(changes.evacuations, position)
        if not self._is_overtaken(position):
            self._adopt_configuration(changes.configuration, changes.problem)
        # A configuration that can't be read may have withdrawn a key.
        if fleet_view.configuration is not None and not self._unreadable:
            self.confirm(asked_at)
        if self.position is None or position <= self.position:
            return False
        self.position = position
        return True

    def confirm(self, asked_at: float) -> None:
        """Take an answer as proof, unless the platform lags behind this node.

        A platform that was restored from a copy lacks the newest configuration until it
        is published again, and may lack one that no node has seen.
        """
        version = self._fleet_view.version
        lags_behind = self._listed_version < version
        if lags_behind and not self._lags_behind:
            LOGGER.warning(
                "platform lags behind",
                extra={"version": version, "listed_version": self._listed_version},
            )
        self._lags_behind = lags_behind
        if lags_behind:
            self._counters.add("source_lagging_answers")
        else:
            self._fleet_view.freshness.confirm(asked_at)

    def _is_overtaken(self, position: StorePosition) -> bool:
        """Whether an answer to another question has brought something newer.

        Its configuration is then not the newest one that the platform lists.
        """
        known = self.position
        return (
            known is not None
            and position.epoch == known.epoch
            and position.revision < known.revision
        )

    def _follow_epoch(self, position: StorePosition, asked_at: float) -> None:
        """Record the epoch of an answer."""
        fleet_view = self._fleet_view
        followed = fleet_view.directory.position
        if followed.epoch != position.epoch:
            if not fleet_view.states_later_epoch(position.epoch, asked_at):
                raise RevisionExpiredError(f"epoch {followed.epoch} is later")
            if followed.revision:
                self._counters.add("source_restores")
                log_restore(LOGGER, "platform's data restored", position, followed)
        fleet_view.epoch_freshness.confirm(asked_at)

    def _adopt_configuration(
        self, configuration: FleetConfiguration | None, problem: str
    ) -> None:
        if problem:
            self._unreadable = True
            self._counters.add("configurations", reason="unreadable")
            LOGGER.error("configuration can't be read", extra={"reason": problem})
        elif configuration is not None:
            self._unreadable = False
            self._listed_version = configuration.version
        if configuration is not None and self._fleet_view.adopt_configuration(
            configuration
        ):
            self._counters.add("configurations", reason="platform")
            LOGGER.info(
                "configuration in force",
                extra={
                    "version": configuration.version,
                    "routes": len(configuration.routes),
                    "teams": len(configuration.teams),
                },
            )
