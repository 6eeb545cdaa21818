"""Following the bundle that the platform publishes."""

import asyncio
import logging
from datetime import UTC, datetime

from expression import Result

from damaskramp.bundle import Adoption, BundleStore, BundleView, verify_bundle
from damaskramp.config import NodeSettings
from damaskramp.core import Section, TimerService
from damaskramp.http import TransportError
from damaskramp.node.telemetry import Telemetry
from damaskramp.platform import ConfigurationSource, Published

__all__ = ["BundleWatch"]

LOGGER = logging.getLogger(__name__)


class BundleWatch:
    """Controller of the blackboard's bundle section.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    timers : TimerService
        Time.
    section : Section of BundleView or None
        Section that it writes.
    source : ConfigurationSource
        Published value.
    telemetry : Telemetry
        Counters.
    """

    def __init__(
        self,
        settings: NodeSettings,
        timers: TimerService,
        section: Section[BundleView | None],
        source: ConfigurationSource,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._section = section
        self._source = source
        self._telemetry = telemetry
        self._store = BundleStore()
        self._revision = 0
        self._reachable: bool | None = None

    async def run(self) -> None:
        """Read once, then watch for ever."""
        self._take(await self._source.read())
        while True:
            wait = self._settings.platform.watch_seconds
            answer = await self._source.watch(self._revision, wait)
            self._take(answer)
            if answer.is_error():
                await asyncio.sleep(self._settings.platform.retry_seconds)

    def _take(self, answer: Result[Published | None, TransportError]) -> None:
        self._note_reachable(answer.is_ok())
        if answer.is_ok() and answer.ok is not None:
            self._revision = answer.ok.revision
            self.offer(answer.ok.value, "platform")

    def offer(self, data: bytes, source: str) -> None:
        """Verify a signed bundle and take it into force where it is greater."""
        keys = self._settings.trust.public_keys
        now = datetime.fromtimestamp(self._timers.wall_now, UTC)
        verified = verify_bundle(data, keys, source, now)
        if verified.is_error():
            self._telemetry.event("bundle_rejected")
            LOGGER.warning("bundle rejected", extra={"findings": str(verified.error)})
            return
        before = self._store.view
        adoption = self._store.offer(verified.ok)
        self._telemetry.event(f"bundle_{adoption.value}")
        if adoption in (Adoption.CONFLICT_WON, Adoption.CONFLICT_LOST):
            fields = {"version": verified.ok.version, "result": adoption.value}
            LOGGER.warning("two bundles of one version", extra=fields)
        if self._store.view is not before:
            self._section.replace(self._store.view)
            self._telemetry.value("bundle_version", verified.ok.version)
            fields = {"version": self._store.view.version}
            LOGGER.info("bundle in force", extra=fields)

    def _note_reachable(self, reachable: bool) -> None:
        if reachable is not self._reachable:
            self._reachable = reachable
            state = "reachable" if reachable else "unreachable"
            self._telemetry.event(f"platform_{state}")
            LOGGER.info("configuration service", extra={"state": state})
