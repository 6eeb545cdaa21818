"""Pressure of the services that the runs of one backend server depend on.

The node beside the server hears of the pressure of the services that it calls with
their answers, and of those further below through them. Multiplied by the calls that a
kind of requests makes, this is the pressure on the chain of that kind. It is stated
in turn to the callers of this server.
"""

from damaskramp.core.ids import ServiceName
from damaskramp.dispatch.calls_per_run import CallsPerRun
from damaskramp.dispatch.pressure import MIN_SHARE, FailureGauge, PressureEntry

__all__ = ["ChainPressure"]

MAX_AGE_SECONDS = 1.5
"""Age in seconds at which a statement expires. A few requests are let through all the
time, so that there are newer ones while the stress lasts."""

MAX_ENTRIES = 4
"""Largest number of services that are stated, those with most failures first."""

CACHE_SECONDS = 0.02
"""Time for which the pressure on a kind of requests is not computed anew."""

STATED_WEIGHT = 0.3
"""Weight of the newest statement about a service. Its servers state their own shares,
of which a few are averaged."""


class _Called:
    """What is known of the calls of one route."""

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.fail = 0.0
        self.stated_at = 0.0
        self.below: tuple[PressureEntry, ...] = ()
        self.lost = FailureGauge()
        self.denied = FailureGauge()


class ChainPressure:
    """Pressure on the chains of one backend server's requests."""

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._called: dict[str, _Called] = {}
        self._own = FailureGauge()
        self._cache: dict[str, tuple[float, tuple[PressureEntry, ...]]] = {}
        self.calls_per_run = CallsPerRun()

    def record_own(self, failed: bool, now: float) -> None:
        """Record whether this host's server, or its queue, failed a call by itself."""
        self._own.record(failed, now)

    def record_statement(
        self,
        route: str,
        service: ServiceName,
        entries: tuple[PressureEntry, ...],
        now: float,
    ) -> None:
        """Record what an answer to a call of a route says of the services below."""
        called = self._called.get(route)
        if called is None:
            called = self._called[route] = _Called(service)
        stated = next((e.fail for e in entries if e.service == service), 0.0)
        if now - called.stated_at > MAX_AGE_SECONDS:
            called.fail = stated
        called.fail += STATED_WEIGHT * (stated - called.fail)
        called.service = service
        called.below = tuple(e for e in entries if e.service != service)
        called.stated_at = now

    def record_outcome(self, route: str, lost: bool, denied: bool, now: float) -> None:
        """Record the end of a call.

        Parameters
        ----------
        lost : bool
            Whether the called service has not run the call in the end.
        denied : bool
            Whether the budget or the queues denied what the call wanted.
        """
        called = self._called.get(route)
        if called is not None:
            called.lost.record(lost, now)
            called.denied.record(denied, now)
        if lost:
            self.calls_per_run.record_failed_call(route)

    def stated(self, kind: str, now: float) -> tuple[PressureEntry, ...]:
        """Pressure on a kind of requests that is stated to their senders."""
        return self._own_entry(now) + self.on_kind(kind, now)

    def on_kind(self, kind: str, now: float) -> tuple[PressureEntry, ...]:
        """Pressure on the chain of a kind of requests, below this host's service."""
        cached = self._cache.get(kind)
        if cached is not None and now - cached[0] < CACHE_SECONDS:
            return cached[1]
        found: dict[ServiceName, PressureEntry] = {}
        for route, calls in self.calls_per_run.of_kind(kind).items():
            called = self._called.get(route)
            if called is not None and now - called.stated_at <= MAX_AGE_SECONDS:
                for entry in self._entries_of(called, calls, now):
                    found[entry.service] = _merge(found.get(entry.service), entry)
        entries = sorted(found.values(), key=lambda e: -e.calls * e.fail)
        result = tuple(entries[:MAX_ENTRIES])
        self._cache[kind] = (now, result)
        return result

    def is_known(self, kind: str) -> bool:
        """Whether the calls of a kind of requests are known."""
        return bool(self.calls_per_run.of_kind(kind))

    def _own_entry(self, now: float) -> tuple[PressureEntry, ...]:
        """Pressure of this host's own service; empty without stress."""
        fail = self._own.share(now)
        if fail < MIN_SHARE:
            return ()
        age_ms = int(1000 * (now - self._own.last_at))
        return (PressureEntry(self._service, 1.0, round(fail, 3), 0.0, 0.0, age_ms),)

    def _entries_of(
        self, called: _Called, calls: float, now: float
    ) -> list[PressureEntry]:
        age_ms = int(1000 * (now - called.stated_at))
        entries = []
        if called.fail >= MIN_SHARE:
            lost, denied = called.lost.share(now), called.denied.share(now)
            # Of the calls that fail at first, some get what they want.
            share = min(1.0, denied / called.fail)
            entries.append(
                PressureEntry(
                    called.service,
                    round(calls, 2),
                    round(called.fail, 3),
                    round(lost, 3),
                    round(share, 3),
                    age_ms,
                )
            )
        for entry in called.below:
            if entry.age_ms + age_ms <= 1000 * MAX_AGE_SECONDS:
                entries.append(
                    entry._replace(
                        calls=round(entry.calls * calls, 2),
                        age_ms=entry.age_ms + age_ms,
                    )
                )
        return entries


def _merge(known: PressureEntry | None, entry: PressureEntry) -> PressureEntry:
    """Combine two ways by which a chain reaches the same service."""
    if known is None:
        return entry
    newer = min(known, entry, key=lambda one: one.age_ms)
    return newer._replace(calls=known.calls + entry.calls)
