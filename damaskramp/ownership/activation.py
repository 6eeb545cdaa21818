"""Ownership by rendezvous rank among incarnations that all nodes have acknowledged.

A new incarnation asks every node in its view. A node that acknowledges the
incarnation ranks it from then on: the node yields ownership to the incarnation, and
refuses releases by owners that rank below it. The incarnation becomes active once
every node has answered or has been silent for long enough, so every live node that
executes requests knows a new owner before that owner's first release.

The module uses no sockets: `tick` returns the messages to send, and `receive_ask`
returns the answer.
"""

from collections.abc import Callable, Iterable

import xxhash

from damaskramp.core import HostId, Incarnation, TimerService
from damaskramp.ownership.contact import NEVER, Contact
from damaskramp.ownership.messages import Ack, Ask, KnownHost, OwnershipSettings
from damaskramp.ownership.ownership import Owner, Ownership
from damaskramp.ownership.ranking import Ranking

__all__ = ["AcknowledgedOwnership"]

MICROSECONDS_PER_SECOND = 1_000_000


class AcknowledgedOwnership(Ownership):
    """Ownership by acknowledged activation and fencing of former owners.

    Parameters
    ----------
    settings : OwnershipSettings
        Time limits.
    timers : TimerService
        Clock.
    own : Owner
        Identity of this node at its start.
    """

    def __init__(
        self, settings: OwnershipSettings, timers: TimerService, own: Owner
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._own = own
        self._contacts: dict[HostId, Contact] = {}
        self._ranking = Ranking(settings)
        self._renewal_subscribers: list[Callable[[Incarnation], None]] = []
        self._last_observed_at = timers.now
        self._leaving = False
        self._reset_activation()

    @property
    def active(self) -> bool:
        """Whether this incarnation may own anything yet."""
        self._check_continuity()
        return self._active

    @property
    def active_since(self) -> float:
        """Monotonic time at which this incarnation became active."""
        return self._active_since

    @property
    def own(self) -> Owner:
        """Identity of the present incarnation of this node."""
        self._check_continuity()
        return self._own

    @property
    def waiting_for(self) -> tuple[HostId, ...]:
        """Hosts that have neither acknowledged this incarnation nor fallen silent."""
        return tuple(contact.host for contact in self._pending_contacts())

    def subscribe_renewal(self, callback: Callable[[Incarnation], None]) -> None:
        """Call `callback` with each new incarnation of this node."""
        self._renewal_subscribers.append(callback)

    def successors(self, resource: str, count: int) -> tuple[Owner, ...]:
        """Return eligible incarnations by descending rank for `resource`."""
        self._check_continuity()
        now = self._timers.now
        if not self._ranking.is_valid(now):
            own = self._own if self._active else None
            self._ranking.refresh(self._contacts.values(), own, now)
        return self._ranking.top(resource, count)

    def owns(self, resource: str) -> bool:
        """Return whether this incarnation is active and ranks first for `resource`."""
        return self.active and self.owner(resource) == self._own

    def may_release(self, resource: str, releaser: Owner) -> bool:
        """Return whether `releaser` ranks first here and was heard from recently.

        The result is False until this node itself is active, because until then it
        does not know which releasers it would have to refuse.
        """
        if not self.active:
            return False
        owner = self.owner(resource)
        if owner is None or owner.host != releaser.host:
            return False
        if owner.incarnation != releaser.incarnation:
            return False
        if owner == self._own:
            return True
        age = self._timers.now - self._contacts[owner.host].incarnation_last_heard
        return age < self._settings.sponsor_seconds

    def receive_list(self, hosts: Iterable[tuple[HostId, str]]) -> None:
        """Process a reading of the host list: names and peer addresses in the zone."""
        self._check_continuity()
        now = self._timers.now
        listed = dict(hosts)
        self._listed = frozenset(listed)
        for host, peer in listed.items():
            if host != self._own.host and host not in self._contacts:
                self._contacts[host] = Contact(host, peer, now)
        if self._own.host not in listed:
            self._listed_since = -NEVER
        else:
            self._listed_since = min(self._listed_since, now)
            self._listed_until = now
        self._try_activate()

    def receive_ask(self, ask: Ask) -> Ack | None:
        """Return an acknowledgement; None if a newer incarnation is known."""
        self._check_continuity()
        if ask.host == self._own.host:
            return None
        contact = self._get_contact(ask.host, ask.peer)
        self._ranking.invalidate()
        if not contact.observe_incarnation(ask.incarnation):
            return None
        contact.peer = ask.peer
        contact.last_heard = contact.incarnation_last_heard = self._timers.now
        contact.ranked = True
        names = frozenset(s.host for s in self._view())
        same = _digest(names | {self._own.host}) == ask.view_digest
        return Ack(
            self._own.host,
            self._own.incarnation,
            self._own.peer,
            self._active,
            self._active and self._is_listed(),
            ask.incarnation,
            ask.asked_at,
            () if same else self._view(),
        )

    def receive_ack(self, ack: Ack) -> None:
        """Process an acknowledgement of this node's incarnation."""
        self._check_continuity()
        if ack.acknowledged != self._own.incarnation:
            return
        contact = self._get_contact(ack.host, ack.peer)
        self._ranking.invalidate()
        if not contact.observe_incarnation(ack.incarnation):
            return
        contact.last_heard = max(contact.last_heard, ack.asked_at)
        contact.incarnation_last_heard = max(
            contact.incarnation_last_heard, ack.asked_at
        )
        contact.acknowledged = True
        contact.ranked = contact.ranked or ack.active
        if ack.listed:
            contact.sponsored_at = max(contact.sponsored_at, ack.asked_at)
        for known_host in ack.view:
            self._merge_known_host(known_host)
        self._try_activate()

    def receive_heartbeat(self, host: HostId, incarnation: Incarnation) -> None:
        """Record a heartbeat of an incarnation, received by any path.

        An incarnation newer than the ranked one keeps the host in the ranking until
        the newer one asks, but does not make releases of the older one acceptable.
        """
        self._check_continuity()
        contact = self._contacts.get(host)
        if contact is None or incarnation < contact.incarnation:
            return
        if contact.is_silent(self._timers.now, self._settings.silence_seconds):
            self._ranking.invalidate()
        contact.last_heard = self._timers.now
        if incarnation == contact.incarnation:
            contact.incarnation_last_heard = self._timers.now

    def receive_host(self, host: HostId, peer: str) -> None:
        """Record a host that another node has reported."""
        self._check_continuity()
        if host != self._own.host and host not in self._contacts:
            self._contacts[host] = Contact(host, peer, self._timers.now)

    def receive_leave(self, host: HostId, incarnation: Incarnation) -> None:
        """Record that an incarnation no longer owns anything.

        The incarnation remains in the ranking while releases that it sent may still
        arrive.
        """
        self._check_continuity()
        contact = self._contacts.get(host)
        if contact is not None and contact.incarnation == incarnation:
            retires_at = self._timers.now + self._settings.pause_seconds
            contact.retires_at = min(contact.retires_at, retires_at)
            self._ranking.invalidate()
            contact.acknowledged = True

    def renew(self, above: Incarnation) -> None:
        """Start a new incarnation, greater than `above`."""
        if above >= self._own.incarnation:
            self._renew(above)

    def leave(self) -> None:
        """Own nothing from now on."""
        self._leaving = True
        self._active = False
        self._ranking.invalidate()

    def tick(self) -> list[tuple[Contact, Ask]]:
        """Update the state and return the asks to send.

        This method must be called several times within
        `OwnershipSettings.pause_seconds`.
        """
        self._check_continuity()
        self._expire()
        self._try_activate()
        if self._leaving:
            return []
        now = self._timers.now
        due = [c for c in self._contacts.values() if self._is_due(c, now)]
        for contact in due:
            contact.asked_at = now
        own = self._own
        digest = _digest(frozenset(s.host for s in self._view()) | {own.host})
        ask = Ask(own.host, own.incarnation, own.peer, digest, now)
        return [(contact, ask) for contact in due]

    def _is_due(self, contact: Contact, now: float) -> bool:
        silent = contact.is_silent(now, self._settings.silence_seconds)
        period = self._settings.pause_seconds if silent else self._settings.ask_seconds
        if now - contact.asked_at < period:
            return False
        if not contact.acknowledged:
            return True
        return not self._is_listed() and self._is_sponsor_due(contact, now)

    def _is_sponsor_due(self, contact: Contact, now: float) -> bool:
        """Return whether to ask a contact in order to renew or to find a sponsor.

        A sponsor is asked again after a third of the validity of its answer. Another
        contact is asked only while this node is not active.
        """
        if contact.sponsored_at == NEVER:
            return not self._active
        return now - contact.sponsored_at >= self._settings.sponsor_seconds / 3

    def _check_continuity(self) -> None:
        """Start a new incarnation after a pause of the event loop.

        A new incarnation is also started if this node is active but is neither in the
        host list nor has a sponsor.
        """
        now = self._timers.now
        paused = now - self._last_observed_at
        self._last_observed_at = now
        unconfirmed = self._active and not self._is_listed_or_sponsored()
        if unconfirmed or paused > self._settings.pause_seconds:
            self._renew()

    def _renew(self, above: int = 0) -> None:
        wall = int(self._timers.wall_now * MICROSECONDS_PER_SECOND)
        incarnation = Incarnation(max(self._own.incarnation + 1, above + 1, wall))
        self._own = Owner(self._own.host, incarnation, self._own.peer)
        self._reset_activation()
        now = self._timers.now
        for contact in self._contacts.values():
            contact.acknowledged = False
            contact.sponsored_at = NEVER
            contact.last_heard = now
        self._ranking.invalidate()
        for callback in self._renewal_subscribers:
            callback(incarnation)

    def _reset_activation(self) -> None:
        self._active = False
        self._active_since = self._timers.now
        self._listed: frozenset[HostId] = frozenset()
        self._listed_since = -NEVER
        self._listed_until = NEVER

    def _is_listed(self) -> bool:
        return self._own.host in self._listed

    def _has_sponsor(self) -> bool:
        oldest = self._timers.now - self._settings.sponsor_seconds
        return any(
            c.acknowledged and c.sponsored_at > oldest for c in self._contacts.values()
        )

    def _is_listed_or_sponsored(self) -> bool:
        return self._is_listed() or self._has_sponsor()

    def _may_activate_alone(self) -> bool:
        """Return whether this host has been listed for longer than the list may lag."""
        waited = self._listed_until - self._listed_since
        return self._is_listed() and waited >= self._settings.silence_seconds

    def _pending_contacts(self) -> list[Contact]:
        now = self._timers.now
        silence = self._settings.silence_seconds
        contacts = self._contacts.values()
        return [
            c for c in contacts if not (c.acknowledged or c.is_silent(now, silence))
        ]

    def _try_activate(self) -> None:
        if self._active or self._leaving or self._pending_contacts():
            return
        if self._has_sponsor() or self._may_activate_alone():
            self._active = True
            self._ranking.invalidate()
            self._active_since = self._timers.now

    def _expire(self) -> None:
        """Drop hosts that are not listed and not reported alive for a long time."""
        now = self._timers.now
        limit = 2 * self._settings.silence_seconds
        for host, contact in list(self._contacts.items()):
            if host not in self._listed and contact.is_silent(now, limit):
                del self._contacts[host]

    def _view(self) -> tuple[KnownHost, ...]:
        now = self._timers.now
        silence = self._settings.silence_seconds
        return tuple(
            KnownHost(contact.host, contact.peer, now - contact.last_heard)
            for contact in self._contacts.values()
            if not contact.is_silent(now, silence)
        )

    def _get_contact(self, host: HostId, peer: str) -> Contact:
        if host not in self._contacts:
            self._contacts[host] = Contact(host, peer, self._timers.now)
        return self._contacts[host]

    def _merge_known_host(self, known_host: KnownHost) -> None:
        if known_host.host == self._own.host:
            return
        last_heard = self._timers.now - known_host.age
        contact = self._contacts.get(known_host.host)
        if contact is None:
            self._contacts[known_host.host] = Contact(
                known_host.host, known_host.peer, last_heard
            )
        else:
            contact.last_heard = max(contact.last_heard, last_heard)


def _digest(names: frozenset[HostId]) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(sorted(names)).encode())
