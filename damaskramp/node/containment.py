"""Keeping suspects apart on the backend server of this host."""

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

GATHER_SECONDS = 0.02
"""Time in which the connections of one dead process break."""


class Containment:
    """Finds out that the backend server died, and runs suspects one at a time.

    Parameters
    ----------
    settings : QuarantineSettings
        Bounds.
    timers : TimerService
        Time.
    quarantine : Quarantine
        Standing of requests.
    backend : HttpClient
        Client of the backend server.
    event : callable
        Told the name of each event, for counters.
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
        self._judgement: asyncio.Task[int] | None = None

    async def run(self, call: Call, work: Callable[[Call], Awaitable[Reply]]) -> Reply:
        """Run a call: at once, behind another suspect, or not at all."""
        if not self._quarantine.watching and not call.context.deaths:
            return await work(call)
        item = fingerprint_of(call)
        quarantine_status = self._quarantine_status(call, item)
        if quarantine_status is QuarantineStatus.SUSPECT:
            return await self._run_suspect(call, item, work)
        if quarantine_status is QuarantineStatus.QUARANTINED:
            return self._refused(call)
        return self._noted(item, await work(call))

    async def release(self, call: Call, work: Awaitable[Reply]) -> Reply:
        """Watch over a call that is being sent to the backend server."""
        entry = self._running.begin(call)
        try:
            reply = await work
            if reply.reason is not Reason.ANSWER_LOST:
                return reply
            self._running.mark_broken(entry)
            death_ms = await asyncio.shield(self._judge())
            if not death_ms:
                return reply
            return replace(reply, reason=Reason.BACKEND_SERVER_LOST, death_ms=death_ms)
        finally:
            self._running.end(entry)

    async def _run_suspect(
        self,
        call: Call,
        item: Fingerprint,
        work: Callable[[Call], Awaitable[Reply]],
    ) -> Reply:
        remaining = call.context.deadline - self._timers.now
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._quarantine.suspect_lock.acquire()
        except TimeoutError:
            return Reply.not_run(Reason.DEADLINE_EXCEEDED)
        try:
            # The one before may have cleared it, or have ended the backend server.
            quarantine_status = self._quarantine_status(call, item)
            if quarantine_status is QuarantineStatus.QUARANTINED:
                return self._refused(call)
            if quarantine_status is QuarantineStatus.SUSPECT:
                return self._noted(item, await work(call))
        finally:
            self._quarantine.suspect_lock.release()
        return self._noted(item, await work(call))

    def _quarantine_status(self, call: Call, item: Fingerprint) -> QuarantineStatus:
        return self._quarantine.quarantine_status(item, call.context.deaths)

    def _noted(self, item: Fingerprint, reply: Reply) -> Reply:
        if reply.outcome is Outcome.ANSWER:
            self._quarantine.record_success(item)
        return reply

    def _refused(self, call: Call) -> Reply:
        unspent = call.context.retries_left
        return Reply.not_run(Reason.QUARANTINED).with_retries(unspent)

    def _judge(self) -> asyncio.Task[int]:
        """Judgement that all calls share that broke at about the same time."""
        if self._judgement is None or self._judgement.done():
            loop = asyncio.get_running_loop()
            self._judgement = loop.create_task(self._find_death())
        return self._judgement

    async def _find_death(self) -> int:
        """Moment of the death, 0 where the backend server lives."""
        await self._timers.sleep(GATHER_SECONDS)
        # A process that is up again at once is told by all its connections broken.
        died = self._running.all_broken or not await self._backend.reachable(
            self._settings.confirm_seconds
        )
        if not died:
            return 0
        limit = self._settings.suspects_per_death
        calls = self._running.broken(limit)
        if calls:
            self._event("backend_server_died")
            self._death_ms = self._quarantine.record_death(_items(calls))
            self._running.next_process()
        else:
            late = self._running.broken_late(limit)
            self._quarantine.record_death(_items(late), self._death_ms)
        return self._death_ms


def _items(calls: list[Call]) -> tuple[Fingerprint, ...]:
    return tuple(dict.fromkeys(fingerprint_of(call) for call in calls))


def fingerprint_of(call: Call) -> Fingerprint:
    """Fingerprint of a call."""
    context, request = call.context, call.request
    return fingerprint(
        context.team, context.route, request.method, request.target, request.body
    )
