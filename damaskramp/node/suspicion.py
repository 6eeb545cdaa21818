"""What the dispatching node knows against one call."""

from collections.abc import Collection, Sequence

import xxhash

from damaskramp.core import HostId, Reason
from damaskramp.membership import Member
from damaskramp.node.calls import Call, Reply
from damaskramp.node.containment import fingerprint_of
from damaskramp.quarantine import Death, Fingerprint, Quarantine, QuarantineStatus

__all__ = ["CallSuspicion"]


class CallSuspicion:
    """Deaths that count against a call, and where a suspect may go.

    All nodes send copies of a suspect to one host, where they run one at a time.

    Parameters
    ----------
    quarantine : Quarantine
        Standing of requests.
    call : Call
        The call.
    """

    def __init__(self, quarantine: Quarantine, call: Call) -> None:
        self._quarantine = quarantine
        self._call = call
        self._item: Fingerprint | None = None

    @property
    def deaths(self) -> int:
        """Deaths that count against the call."""
        if not self._quarantine.watching:
            return 0
        return self._quarantine.deaths(self._fingerprint())

    @property
    def quarantined(self) -> bool:
        """Whether the call may not run."""
        if not self._quarantine.watching:
            return False
        quarantine_status = self._quarantine.quarantine_status(self._fingerprint())
        return quarantine_status is QuarantineStatus.QUARANTINED

    def learn(self, host: HostId, reply: Reply) -> None:
        """Take in what an attempt told."""
        if reply.reason is Reason.BACKEND_SERVER_LOST and reply.death_ms:
            death = Death(host, reply.death_ms)
            self._quarantine.record_remote_death(self._fingerprint(), death)

    def avoid(
        self, members: Sequence[Member], tried: Collection[HostId]
    ) -> Collection[HostId]:
        """Hosts that the next attempt must not go to."""
        if not self.deaths:
            return tried
        left = [member.host for member in members if member.host not in tried]
        if not left:
            return tried
        only = max(left, key=self._score)
        return {member.host for member in members if member.host != only}

    def _score(self, host: HostId) -> int:
        return xxhash.xxh3_64_intdigest(f"{host}\0{self._fingerprint()}".encode())

    def _fingerprint(self) -> Fingerprint:
        if self._item is None:
            self._item = fingerprint_of(self._call)
        return self._item
