"""What this node learns of the warm-up of the backend server on its host.

Entries of the directory, broken connections and health checks are passed to the
decision class `ColdServer`, and changes of its state are counted and logged.
"""

import asyncio
import logging
from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import ColdServer, Warmth
from damaskramp.fleet import ServerId, ServiceWarmup
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.health_check import (
    HealthCheck,
    HealthCheckError,
    ServerUnreachableError,
)

__all__ = ["ServerWarmup"]

LOGGER = logging.getLogger(__name__)


class ServerWarmup:
    """Warm-up of the backend server on this host.

    Parameters
    ----------
    cold : ColdServer
        Decision class that holds the state.

    Attributes
    ----------
    oldest_connection : callable
        Returns the clock time at which the oldest idle connection to the server was
        opened; None if none is open.
    """

    def __init__(
        self,
        cold: ColdServer,
        fleet_view: FleetView,
        health_check: HealthCheck,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._cold = cold
        self._fleet_view = fleet_view
        self._health_check = health_check
        self._clock = clock
        self._counters = counters
        self._service: ServiceWarmup | None = None
        self._version = 0
        self._generation = -1
        self._logged = Warmth.WARM
        self._check: asyncio.Task | None = None
        self._has_failed = False
        self.oldest_connection: Callable[[], float | None] = lambda: None

    @property
    def seconds_left(self) -> float:
        """Seconds until the server is no longer limited as a cold one."""
        return self._cold.seconds_left(self._clock())

    @property
    def reported_seconds(self) -> float:
        """Rest of the limit that other nodes are told.

        It is 0 while a health check is about to decide whether the server is cold.
        """
        now = self._clock()
        return 0.0 if self._cold.is_unsettled(now) else self._cold.seconds_left(now)

    @property
    def room(self) -> int:
        """Requests that the server may get now within the exact count of one second."""
        return self._cold.room(self._clock())

    @property
    def warmth(self) -> Warmth:
        """What is known of the warm-up."""
        return self._cold.warmth(self._clock())

    def gauges(self) -> dict[str, float]:
        """Metrics of the warm-up; none if the requests are not limited by it.

        There is no gauge for the room of a server that is not cold.
        """
        if not self._cold.is_limited:
            return {}
        gauges = {"server_warmup_seconds": self.seconds_left}
        if self.warmth is not Warmth.WARM:
            gauges["server_warmup_room"] = float(self.room)
        return gauges

    def status(self) -> dict[str, object] | None:
        """Warm-up for the status page; None if the requests are not limited by it."""
        if not self._cold.is_limited:
            return None
        return {
            "state": self.warmth.value,
            "seconds_left": round(self.seconds_left, 3),
            "room": None if self.warmth is Warmth.WARM else self.room,
        }

    def assume_cold(self, now: float) -> None:
        """Treat the server as cold until a health check or its entry says otherwise.

        This is for servers that may have changed unseen, as those of a zone that is
        taken back into use.
        """
        self._cold.assume_cold(now)
        self._count_assumption("requested")

    def record_broken_connection(self) -> None:
        """Record that the server refused, reset or closed a connection."""
        self._cold.record_break(self._clock())
        self._count_assumption("connection")

    def record_misdirected(self, server: str) -> None:
        """Record that the server rejected a request as meant for another one."""
        own = self._fleet_view.own_server
        if own is not None and own.id == server:
            self._cold.record_misdirected(ServerId(server), self._clock())
            self._count_assumption("misdirected")

    def record_answer(self, sent_at: float) -> None:
        """Record that the server has answered a request sent at a clock time."""
        if self._cold.is_limited:
            self._cold.record_alive(sent_at, self._clock())

    def update(self, now: float) -> None:
        """Follow the configuration and the entry of the server."""
        fleet_view = self._fleet_view
        if fleet_view.version != self._version:
            self._version = fleet_view.version
            warmups = fleet_view.configuration.warmups
            self._service = warmups.get(fleet_view.service)
            self._cold.configure(self._service)
            self._generation = -1
        if fleet_view.directory.generation == self._generation:
            return
        self._generation = fleet_view.directory.generation
        own = fleet_view.own_server
        if own is not None and self._cold.is_limited:
            self._cold.record_entry(own, fleet_view.directory.warmup_left(own), now)

    def sweep(self, now: float) -> None:
        """Make a health check if one is due, and log changes of the state."""
        self.update(now)
        if self._cold.is_limited:
            self._look_for_survivors(now)
            self._log_change(now)
        if self._fleet_view.is_evacuated:
            # Nothing may be sent to the server; it counts as cold afterwards.
            return
        service = self._service
        if service is None or not service.health_path or not self._cold.check_due(now):
            return
        if self._check is None or self._check.done():
            self._cold.record_check(now)
            self._check = asyncio.get_running_loop().create_task(
                self._run_check(service.health_path, now)
            )

    def _look_for_survivors(self, now: float) -> None:
        """End an assumption if a connection from before it is still open."""
        before = self._cold.survival_proof_before
        if before is not None:
            opened_at = self.oldest_connection()
            if opened_at is not None and opened_at < before:
                self._cold.record_alive(opened_at, now)

    def close(self) -> None:
        """Abandon a health check that is under way."""
        if self._check is not None:
            self._check.cancel()

    async def _run_check(self, path: str, asked_at: float) -> None:
        try:
            answer = await self._health_check.run(path)
        except HealthCheckError as error:
            self._counters.add("health_checks", reason="failed")
            if not self._has_failed:
                LOGGER.info("health check failed", extra={"cause": str(error)})
            self._has_failed = True
            if isinstance(error, ServerUnreachableError):
                # The server may be starting, and its warm-up has not begun yet.
                self._cold.record_break(self._clock())
            return
        self._has_failed = False
        readable = answer.warmup_left is not None
        self._counters.add("health_checks", reason="read" if readable else "unreadable")
        self._cold.record_health(answer, asked_at, self._clock())

    def _count_assumption(self, cause: str) -> None:
        if self._cold.is_limited:
            self._counters.add("cold_assumptions", reason=cause)

    def _log_change(self, now: float) -> None:
        warmth = self._cold.warmth(now)
        if warmth is self._logged:
            return
        self._logged = warmth
        self._counters.add("warmth_changes", reason=warmth.value)
        LOGGER.info(
            "backend server's warm-up",
            extra={
                "warmth": warmth.value,
                "seconds_left": round(self._cold.seconds_left(now), 3),
                "room": self._cold.room(now),
            },
        )
