"""Detection of calls that their caller has sent again."""

from collections import OrderedDict

import xxhash

from damaskramp.core import RequestId, TeamId, TimerService

__all__ = ["RecentFailures", "RepeatedCalls", "call_digest"]

FAILURE_RETENTION_SECONDS = 60.0
MAX_REMEMBERED_FAILURES = 8192
MAX_REMEMBERED_CALLS = 4096


def call_digest(method: str, target: str, body: bytes) -> bytes:
    """Return a digest of the method, target and body of a call."""
    digest = xxhash.xxh3_128()
    digest.update(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.digest()


class RepeatedCalls:
    """Calls that one running request has made and that have not succeeded.

    A backend server that sends the same call again while the first one is running or
    after it failed is retrying, even if it does not mark the call as a retry.

    Examples
    --------
    >>> calls = RepeatedCalls()
    >>> digest = call_digest("GET", "/board", b"")
    >>> calls.is_repeat(digest)
    False
    >>> calls.begin(digest)
    >>> calls.end(digest, failed=True)
    >>> calls.is_repeat(digest)
    True
    """

    def __init__(self) -> None:
        self._unsuccessful: set[bytes] = set()

    def is_repeat(self, digest: bytes) -> bool:
        """Whether a call with this digest is running or has failed.

        Once the set of remembered calls is full, every further call counts as a repeat.
        """
        is_full = len(self._unsuccessful) >= MAX_REMEMBERED_CALLS
        return is_full or digest in self._unsuccessful

    def begin(self, digest: bytes) -> None:
        """Record that a call was sent."""
        if len(self._unsuccessful) < MAX_REMEMBERED_CALLS:
            self._unsuccessful.add(digest)

    def end(self, digest: bytes, failed: bool) -> None:
        """Record the end of a call."""
        if not failed:
            self._unsuccessful.discard(digest)


class RecentFailures:
    """Ids of requests from outside that recently failed at this node.

    Parameters
    ----------
    timers : TimerService
        Clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._failed: OrderedDict[tuple[TeamId, RequestId], float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._failed)

    def add(self, team: TeamId, request_id: RequestId) -> None:
        """Record that a request failed."""
        self._failed.pop((team, request_id), None)
        self._failed[team, request_id] = self._timers.now
        if len(self._failed) > MAX_REMEMBERED_FAILURES:
            self._failed.popitem(last=False)

    def discard(self, team: TeamId, request_id: RequestId) -> None:
        """Remove a request that has succeeded."""
        self._failed.pop((team, request_id), None)

    def contains(self, team: TeamId, request_id: RequestId) -> bool:
        """Whether the request failed within `FAILURE_RETENTION_SECONDS`."""
        failed_at = self._failed.get((team, request_id))
        return (
            failed_at is not None
            and self._timers.now - failed_at < FAILURE_RETENTION_SECONDS
        )
