"""Deaths of backend servers that a dispatching node counts against one call."""

from collections.abc import Collection, Sequence

import xxhash

from damaskramp.core import HostId, Reason
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.containment import fingerprint_of
from damaskramp.quarantine import Death, Fingerprint, Quarantine, QuarantineStatus

__all__ = ["CallSuspicion"]


class CallSuspicion:
    """Deaths that count against a call, and the hosts that a suspect may run on.

    All nodes send copies of a suspect to the same host, where they run one at a time.

    Parameters
    ----------
    quarantine : Quarantine
        Quarantine status of requests.
    call : Call
        Call that is dispatched.
    """

    def __init__(self, quarantine: Quarantine, call: Call) -> None:
        self._quarantine = quarantine
        self._call = call
        self._cached_fingerprint: Fingerprint | None = None

    @property
    def deaths(self) -> int:
        """Number of deaths that count against the call."""
        if not self._quarantine.watching:
            return 0
        return self._quarantine.deaths(self._fingerprint())

    @property
    def quarantined(self) -> bool:
        """Whether the call is quarantined, so that it must not run."""
        if not self._quarantine.watching:
            return False
        quarantine_status = self._quarantine.quarantine_status(self._fingerprint())
        return quarantine_status is QuarantineStatus.QUARANTINED

    def learn(self, host: HostId, reply: Reply) -> None:
        """Record the death of a backend server that the reply of an attempt reports."""
        if reply.reason is Reason.BACKEND_SERVER_LOST and reply.death_ms:
            death = Death(host, reply.death_ms)
            self._quarantine.record_remote_death(self._fingerprint(), death)

    def avoid(
        self, members: Sequence[Member], tried: Collection[HostId]
    ) -> Collection[HostId]:
        """Return the hosts that the next attempt must not be sent to."""
        if not self.deaths:
            return tried
        untried_hosts = [member.host for member in members if member.host not in tried]
        if not untried_hosts:
            return tried
        chosen_host = max(untried_hosts, key=self._score)
        return {member.host for member in members if member.host != chosen_host}

    def _score(self, host: HostId) -> int:
        return xxhash.xxh3_64_intdigest(f"{host}\0{self._fingerprint()}".encode())

    def _fingerprint(self) -> Fingerprint:
        if self._cached_fingerprint is None:
            self._cached_fingerprint = fingerprint_of(self._call)
        return self._cached_fingerprint
