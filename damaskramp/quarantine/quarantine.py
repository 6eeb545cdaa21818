"""Quarantine status of requests in a zone, shared without a coordinator."""

import asyncio
from collections.abc import Callable, Sequence
from itertools import count

from damaskramp.config import QuarantineSettings
from damaskramp.core import HostId, TimerService, ZoneName
from damaskramp.membership import Broadcast, Item, Topic
from damaskramp.quarantine.fingerprint import Fingerprint
from damaskramp.quarantine.ledger import Death, DeathLedger, QuarantineStatus
from damaskramp.quarantine.messages import Observation, decode, encode

__all__ = ["Quarantine"]

FINGERPRINTS_PER_ITEM = 24
ITEM_KEY_COUNT = 32
"""Number of this host's items that are broadcast at a time. A further item reuses the
key of the oldest and replaces it."""

SUCCESS_BATCH_SECONDS = 0.5
"""Time over which successes are collected into one broadcast."""

MS_PER_SECOND = 1000


class Quarantine:
    """Tracks the suspect and quarantined requests of one zone.

    Parameters
    ----------
    settings : QuarantineSettings
        Bounds and retention times.
    timers : TimerService
        Source of time and timers.
    own_host : HostId
        This host.
    zone : ZoneName
        Zone of this host. Observations from other zones are ignored.
    broadcast : Broadcast
        Broadcast to the other nodes.
    event : callable
        Called with the name of each event, for counters.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        timers: TimerService,
        own_host: HostId,
        zone: ZoneName,
        broadcast: Broadcast,
        event: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._own_host = own_host
        self._zone = zone
        self._broadcast = broadcast
        self._event = event
        self._ledger = DeathLedger(settings)
        self._suspect_lock = asyncio.Lock()
        self._key_counter = count()
        self._version = 0
        self._pending_successes: dict[Fingerprint, None] = {}
        broadcast.subscribe(Topic.QUARANTINE, self._receive)

    @property
    def watching(self) -> bool:
        """Whether the ledger holds any request; if not, calls need no fingerprint."""
        return len(self._ledger) > 0

    @property
    def suspect_lock(self) -> asyncio.Lock:
        """Lock that allows one suspect at a time on this host's backend server."""
        return self._suspect_lock

    @property
    def now_ms(self) -> int:
        """Milliseconds since the epoch."""
        return int(self._timers.wall_now * MS_PER_SECOND)

    def count(self, quarantine_status: QuarantineStatus) -> int:
        """Return the number of requests with a quarantine status."""
        return self._ledger.count(self.now_ms, quarantine_status)

    def quarantine_status(
        self, fingerprint: Fingerprint, deaths: int = 0
    ) -> QuarantineStatus:
        """Return the quarantine status of a request.

        Parameters
        ----------
        fingerprint : Fingerprint
            Fingerprint of the request.
        deaths : int
            Number of deaths that the call itself reports.
        """
        return self._ledger.quarantine_status(fingerprint, self.now_ms, deaths)

    def deaths(self, fingerprint: Fingerprint) -> int:
        """Return the number of deaths that count against a request."""
        return self._ledger.deaths(fingerprint, self.now_ms)

    def expire(self) -> None:
        """Drop facts that no longer affect any status."""
        self._ledger.expire(self.now_ms)

    def record_death(
        self, fingerprints: Sequence[Fingerprint], at_ms: int | None = None
    ) -> int:
        """Record and broadcast a death of this host's backend server.

        Parameters
        ----------
        fingerprints : sequence of Fingerprint
            Fingerprints of the requests that were running.
        at_ms : int, optional
            Time of a death that was recorded before, in milliseconds since the epoch.
            The default is the current time.

        Returns
        -------
        int
            Time of the death in milliseconds since the epoch.
        """
        now_ms = self.now_ms if at_ms is None else at_ms
        self._add_deaths(fingerprints, Death(self._own_host, now_ms))
        for start in range(0, len(fingerprints), FINGERPRINTS_PER_ITEM):
            part = fingerprints[start : start + FINGERPRINTS_PER_ITEM]
            self._announce(now_ms, False, part)
        return now_ms

    def record_remote_death(self, fingerprint: Fingerprint, death: Death) -> None:
        """Record a death on another host that a reply reported, without broadcast."""
        self._add_deaths([fingerprint], death)

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Clear a request that succeeded, and broadcast the success."""
        if not self._ledger.deaths(fingerprint, self.now_ms):
            return
        self._event("suspect_cleared")
        self._ledger.add_success(fingerprint, self.now_ms)
        if not self._pending_successes:
            self._timers.after(SUCCESS_BATCH_SECONDS, self._announce_successes)
        self._pending_successes[fingerprint] = None

    def _announce_successes(self) -> None:
        fingerprints = tuple(self._pending_successes)
        self._pending_successes.clear()
        for start in range(0, len(fingerprints), FINGERPRINTS_PER_ITEM):
            part = fingerprints[start : start + FINGERPRINTS_PER_ITEM]
            self._announce(self.now_ms, True, part)

    def _announce(
        self, at_ms: int, succeeded: bool, fingerprints: Sequence[Fingerprint]
    ) -> None:
        observation = Observation(
            self._zone, self._own_host, at_ms, succeeded, tuple(fingerprints)
        )
        key = f"{self._own_host}/{next(self._key_counter) % ITEM_KEY_COUNT}"
        self._version = max(self.now_ms, self._version + 1)
        payload = encode(observation)
        self._broadcast.announce(Topic.QUARANTINE, key, self._version, payload)

    def _receive(self, item: Item) -> None:
        decoded = decode(item.payload)
        if decoded.is_error():
            self._event("quarantine_item_unreadable")
            return
        observation = decoded.ok
        if observation.zone != self._zone:
            return
        if observation.succeeded:
            for fingerprint in observation.fingerprints:
                self._ledger.add_success(fingerprint, observation.at_ms)
        else:
            death = Death(observation.host, observation.at_ms)
            self._add_deaths(observation.fingerprints, death)

    def _add_deaths(self, fingerprints: Sequence[Fingerprint], death: Death) -> None:
        for fingerprint in fingerprints:
            before = self.quarantine_status(fingerprint)
            self._ledger.add_death(fingerprint, death)
            after = self.quarantine_status(fingerprint)
            if after is not before:
                self._event(f"request_{after.value}")
