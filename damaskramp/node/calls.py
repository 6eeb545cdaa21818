"""Typed values for a call within the fleet and for its reply."""

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
        Zone of the node; empty where the request id itself names its home, because
        no other node can take over such an id.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName


NO_HOME = HomeIdentity(HostId(""), Incarnation(0), ZoneName(""))


@dataclass(frozen=True, slots=True)
class CallContext:
    """Context that a call passes to every hop of its chain.

    Attributes
    ----------
    team : TeamId
        Team of the caller, empty on an open route without a key.
    key_digest : KeyDigest
        Digest of the caller's key, empty on an open route without a key.
    priority : int
        Rank of the priority class; 0 is the most important.
    deadline : float
        Deadline as a monotonic time of this host, in seconds.
    retries_left : int
        Retries that the request may still make over its whole chain.
    depth : int
        Number of hops before this one.
    attempt : int
        Index of the attempt within this hop; 0 for the first.
    deaths : int
        Backend servers known to have died while running this request.
    claim : bytes
        Key of the claim that allows the release; empty for idempotent calls.
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
    """Result of a call.

    Attributes
    ----------
    status, headers, body, tail
        Response of the backend server, set where the outcome is an answer.
    retries_left : int
        Retries that the chain did not spend.
    retry_after : float
        Seconds after which another attempt is worthwhile; 0 for no hint.
    load : Load or None
        State of the backend server that the call was sent to.
    death_ms : int
        Time at which that backend server died, in milliseconds since the epoch by
        the clock of its host; 0 where it has not died.
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
        """Return a reply for a call that this attempt has not run and will not run."""
        return cls(Outcome.NOT_RUN, reason, retry_after=retry_after, detail=detail)

    @classmethod
    def unknown(cls, reason: Reason, detail: str = "") -> "Reply":
        """Return a reply for a call that may have run."""
        return cls(Outcome.UNKNOWN, reason, detail=detail)

    @classmethod
    def refused(cls, refusal: Refusal) -> "Reply":
        """Return a reply for a call that admission refused."""
        return cls(refusal.outcome, refusal.reason, retry_after=refusal.retry_after)

    def with_retries(self, retries_left: int) -> "Reply":
        """Return a copy with a different number of retries left."""
        return replace(self, retries_left=retries_left)

    def with_load(self, load: Load) -> "Reply":
        """Return a copy with the state of the backend server."""
        return replace(self, load=load)
