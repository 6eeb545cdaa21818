"""Isolation of suspect requests on the backend server of this host."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from damaskramp.config import QuarantineSettings
from damaskramp.core import Outcome, Reason, TimerService
from damaskramp.http import HttpClient
from damaskramp.node.calls import Call, Reply
from damaskramp.quarantine import (
    Fingerprint,
    Quarantine,
    QuarantineStatus,
    RunningCalls,
    fingerprint,
)

__all__ = ["Containment", "fingerprint_of"]

CONNECTION_BREAK_SECONDS = 0.02
"""Time within which the connections of one dead process break."""


class Containment:
    """Detects deaths of the backend server and runs suspect requests one at a time.

    Parameters
    ----------
    settings : QuarantineSettings
        Limits of the quarantine.
    timers : TimerService
        Clock and timers.
    quarantine : Quarantine
        Quarantine status of requests.
    backend : HttpClient
        Client of the backend server.
    event : callable
        Called with the name of each event, for counters.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        timers: TimerService,
        quarantine: Quarantine,
        backend: HttpClient,
        event: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._quarantine = quarantine
        self._backend = backend
        self._event = event
        self._running = RunningCalls()
        self._death_ms = 0
        self._death_check: asyncio.Task[int] | None = None

    async def run(self, call: Call, work: Callable[[Call], Awaitable[Reply]]) -> Reply:
        """Run a call at once or after other suspects, or refuse a quarantined one."""
        if not self._quarantine.watching and not call.context.deaths:
            return await work(call)
        request_fingerprint = fingerprint_of(call)
        quarantine_status = self._quarantine_status(call, request_fingerprint)
        if quarantine_status is QuarantineStatus.SUSPECT:
            return await self._run_suspect(call, request_fingerprint, work)
        if quarantine_status is QuarantineStatus.QUARANTINED:
            return self._refuse_quarantined(call)
        return self._record_success(request_fingerprint, await work(call))

    async def release(self, call: Call, work: Awaitable[Reply]) -> Reply:
        """Send a call to the backend server and detect whether that server died."""
        entry = self._running.begin(call)
        try:
            reply = await work
            if reply.reason is not Reason.ANSWER_LOST:
                return reply
            self._running.mark_broken(entry)
            death_ms = await asyncio.shield(self._shared_death_check())
            if not death_ms:
                return reply
            return replace(reply, reason=Reason.BACKEND_SERVER_LOST, death_ms=death_ms)
        finally:
            self._running.end(entry)

    async def _run_suspect(
        self,
        call: Call,
        request_fingerprint: Fingerprint,
        work: Callable[[Call], Awaitable[Reply]],
    ) -> Reply:
        remaining = call.context.deadline - self._timers.now
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._quarantine.suspect_lock.acquire()
        except TimeoutError:
            return Reply.not_run(Reason.DEADLINE_EXCEEDED)
        try:
            # The previous suspect may have cleared this request, or may have killed
            # the backend server.
            quarantine_status = self._quarantine_status(call, request_fingerprint)
            if quarantine_status is QuarantineStatus.QUARANTINED:
                return self._refuse_quarantined(call)
            if quarantine_status is QuarantineStatus.SUSPECT:
                return self._record_success(request_fingerprint, await work(call))
        finally:
            self._quarantine.suspect_lock.release()
        return self._record_success(request_fingerprint, await work(call))

    def _quarantine_status(
        self, call: Call, request_fingerprint: Fingerprint
    ) -> QuarantineStatus:
        return self._quarantine.quarantine_status(
            request_fingerprint, call.context.deaths
        )

    def _record_success(self, request_fingerprint: Fingerprint, reply: Reply) -> Reply:
        if reply.outcome is Outcome.ANSWER:
            self._quarantine.record_success(request_fingerprint)
        return reply

    def _refuse_quarantined(self, call: Call) -> Reply:
        unspent = call.context.retries_left
        return Reply.not_run(Reason.QUARANTINED).with_retries(unspent)

    def _shared_death_check(self) -> asyncio.Task[int]:
        """Return the death check shared by calls that broke at about the same time."""
        if self._death_check is None or self._death_check.done():
            loop = asyncio.get_running_loop()
            self._death_check = loop.create_task(self._detect_death())
        return self._death_check

    async def _detect_death(self) -> int:
        """Return the time of death in epoch milliseconds, 0 if the server is alive."""
        await self._timers.sleep(CONNECTION_BREAK_SECONDS)
        # A process that restarted at once is reachable again. Its death is detected
        # because all connections broke.
        died = self._running.all_broken or not await self._backend.reachable(
            self._settings.confirm_seconds
        )
        if not died:
            return 0
        limit = self._settings.suspects_per_death
        calls = self._running.broken(limit)
        if calls:
            self._event("backend_server_died")
            self._death_ms = self._quarantine.record_death(_fingerprints(calls))
            self._running.next_process()
        else:
            late_calls = self._running.broken_late(limit)
            self._quarantine.record_death(_fingerprints(late_calls), self._death_ms)
        return self._death_ms


def _fingerprints(calls: list[Call]) -> tuple[Fingerprint, ...]:
    return tuple(dict.fromkeys(fingerprint_of(call) for call in calls))


def fingerprint_of(call: Call) -> Fingerprint:
    """Return the fingerprint of a call."""
    context, request = call.context, call.request
    return fingerprint(
        context.team, context.route, request.method, request.target, request.body
    )
