"""A call inside the system and its reply, as typed values."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

from damaskramp.admission import Load, Refusal
from damaskramp.core import (
    BundleVersion,
    HostId,
    Incarnation,
    KeyDigest,
    Outcome,
    Reason,
    RequestId,
    ServiceName,
    TeamId,
    ZoneName,
)
from damaskramp.http import Headers, HttpRequest

__all__ = ["NO_HOME", "Call", "CallContext", "HomeIdentity", "Reply"]


@dataclass(frozen=True, slots=True)
class HomeIdentity:
    """Node that claimed a request id.

    Attributes
    ----------
    zone : ZoneName
        Empty where the id itself names its home, which nobody can take over.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName


NO_HOME = HomeIdentity(HostId(""), Incarnation(0), ZoneName(""))


@dataclass(frozen=True, slots=True)
class CallContext:
    """What a call carries along its chain.

    Attributes
    ----------
    team : TeamId
        Empty on an open route without a key.
    key_digest : KeyDigest
        Empty on an open route without a key.
    priority : int
        Rank of the class, 0 is most important.
    deadline : float
        Monotonic time of this host in seconds.
    retries_left : int
        Retries that the request may still make, over its whole chain.
    depth : int
        Hops before this one.
    attempt : int
        0 for the first attempt of this hop.
    deaths : int
        Backend servers known to have died while running this request.
    claim : bytes
        Key of the claim that allows the release, empty for idempotent calls.
    home : HomeIdentity
        Node that made the claim.
    """

    request_id: RequestId
    team: TeamId
    key_digest: KeyDigest
    service: ServiceName
    route: str
    priority: int
    idempotent: bool
    deadline: float
    retries_left: int
    depth: int
    bundle_version: BundleVersion
    entry_host: HostId
    entry_zone: ZoneName
    attempt: int = 0
    deaths: int = 0
    claim: bytes = b""
    home: HomeIdentity = NO_HOME


@dataclass(frozen=True, slots=True)
class Call:
    """A request with its context."""

    context: CallContext
    request: HttpRequest


@dataclass(frozen=True, slots=True)
class Reply:
    """What became of a call.

    Attributes
    ----------
    status, headers, body, tail
        The backend server's answer, where the outcome is an answer.
    retries_left : int
        Retries that the chain did not spend.
    retry_after : float
        Seconds until another try is worth its while, 0 for no hint.
    load : Load or None
        State of the backend server that was asked.
    death_ms : int
        When that backend server died, in milliseconds since the epoch by the clock
        of its host; 0 where it has not.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    tail: AsyncIterator[bytes] | None = field(default=None, compare=False)
    retries_left: int = 0
    retry_after: float = 0.0
    load: Load | None = None
    death_ms: int = 0
    detail: str = ""

    @classmethod
    def not_run(
        cls, reason: Reason, retry_after: float = 0.0, detail: str = ""
    ) -> "Reply":
        """Reply for a call that has not run and will not by this attempt."""
        return cls(Outcome.NOT_RUN, reason, retry_after=retry_after, detail=detail)

    @classmethod
    def unknown(cls, reason: Reason, detail: str = "") -> "Reply":
        """Reply for a call that may have run."""
        return cls(Outcome.UNKNOWN, reason, detail=detail)

    @classmethod
    def refused(cls, refusal: Refusal) -> "Reply":
        """Reply for a call that admission refused."""
        return cls(refusal.outcome, refusal.reason, retry_after=refusal.retry_after)

    def with_retries(self, retries_left: int) -> "Reply":
        """Copy with other retries left."""
        return replace(self, retries_left=retries_left)

    def with_load(self, load: Load) -> "Reply":
        """Copy with the state of the backend server."""
        return replace(self, load=load)
