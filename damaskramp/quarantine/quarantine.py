"""Standing of requests in a zone, spread without a coordinator."""

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
KEYS = 32
"""Items of this host that are spread at a time; a further one replaces the oldest."""

SUCCESS_SECONDS = 0.5
"""Time over which successes are gathered into one item."""

MS = 1000


class Quarantine:
    """Knows suspects and quarantined requests of one zone.

    Parameters
    ----------
    settings : QuarantineSettings
        Bounds.
    timers : TimerService
        Time.
    own : HostId
        This host.
    zone : ZoneName
        Its zone; observations of other zones are ignored.
    broadcast : Broadcast
        Way to the other nodes.
    event : callable
        Told the name of each event, for counters.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        timers: TimerService,
        own: HostId,
        zone: ZoneName,
        broadcast: Broadcast,
        event: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._own = own
        self._zone = zone
        self._broadcast = broadcast
        self._event = event
        self._ledger = DeathLedger(settings)
        self._suspect_lock = asyncio.Lock()
        self._keys = count()
        self._version = 0
        self._succeeded: dict[Fingerprint, None] = {}
        broadcast.subscribe(Topic.QUARANTINE, self._receive)

    @property
    def watching(self) -> bool:
        """Whether any request is known; if not, none needs a fingerprint."""
        return len(self._ledger) > 0

    @property
    def suspect_lock(self) -> asyncio.Lock:
        """Held by the one suspect that runs on this host's backend server."""
        return self._suspect_lock

    @property
    def now_ms(self) -> int:
        """Milliseconds since the epoch."""
        return int(self._timers.wall_now * MS)

    def count(self, quarantine_status: QuarantineStatus) -> int:
        """Requests of a standing."""
        return self._ledger.count(self.now_ms, quarantine_status)

    def quarantine_status(self, item: Fingerprint, deaths: int = 0) -> QuarantineStatus:
        """Standing of a request that itself brings word of some deaths."""
        return self._ledger.quarantine_status(item, self.now_ms, deaths)

    def deaths(self, item: Fingerprint) -> int:
        """Deaths that count against a request."""
        return self._ledger.deaths(item, self.now_ms)

    def expire(self) -> None:
        """Drop what counts no longer."""
        self._ledger.expire(self.now_ms)

    def record_death(
        self, items: Sequence[Fingerprint], at_ms: int | None = None
    ) -> int:
        """Record that this host's backend server died running `items`.

        Parameters
        ----------
        at_ms : int, optional
            Moment of a death that was recorded before; now where absent.

        Returns
        -------
        int
            Moment of the death in milliseconds since the epoch.
        """
        now_ms = self.now_ms if at_ms is None else at_ms
        self._add_deaths(items, Death(self._own, now_ms))
        for start in range(0, len(items), FINGERPRINTS_PER_ITEM):
            part = items[start : start + FINGERPRINTS_PER_ITEM]
            self._announce(now_ms, False, part)
        return now_ms

    def record_remote_death(self, item: Fingerprint, death: Death) -> None:
        """Record what a reply told of another host; nothing is spread."""
        self._add_deaths([item], death)

    def record_success(self, item: Fingerprint) -> None:
        """Clear a request that succeeded."""
        if not self._ledger.deaths(item, self.now_ms):
            return
        self._event("suspect_cleared")
        self._ledger.add_success(item, self.now_ms)
        if not self._succeeded:
            self._timers.after(SUCCESS_SECONDS, self._announce_successes)
        self._succeeded[item] = None

    def _announce_successes(self) -> None:
        items = tuple(self._succeeded)
        self._succeeded.clear()
        for start in range(0, len(items), FINGERPRINTS_PER_ITEM):
            part = items[start : start + FINGERPRINTS_PER_ITEM]
            self._announce(self.now_ms, True, part)

    def _announce(
        self, at_ms: int, succeeded: bool, items: Sequence[Fingerprint]
    ) -> None:
        observation = Observation(self._zone, self._own, at_ms, succeeded, tuple(items))
        key = f"{self._own}/{next(self._keys) % KEYS}"
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
            for known in observation.fingerprints:
                self._ledger.add_success(known, observation.at_ms)
        else:
            death = Death(observation.host, observation.at_ms)
            self._add_deaths(observation.fingerprints, death)

    def _add_deaths(self, items: Sequence[Fingerprint], death: Death) -> None:
        for item in items:
            before = self.quarantine_status(item)
            self._ledger.add_death(item, death)
            after = self.quarantine_status(item)
            if after is not before:
                self._event(f"request_{after.value}")
