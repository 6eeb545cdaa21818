"""Recognizing a call that its caller has sent again."""

from collections import OrderedDict

import xxhash

from damaskramp.core import RequestId, TeamId, TimerService

__all__ = ["RecentFailures", "RepeatedCalls", "call_digest"]

REMEMBERED_SECONDS = 60.0
REMEMBERED = 8192
CALLS_REMEMBERED = 4096


def call_digest(method: str, target: str, body: bytes) -> bytes:
    """Digest of what a call asks for."""
    digest = xxhash.xxh3_128()
    digest.update(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.digest()


class RepeatedCalls:
    """Calls that one running request has made and that have not succeeded.

    A backend server that sends the same call again while the former is running or
    after it failed is retrying, whatever it calls it.

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
        self._unanswered: set[bytes] = set()

    def is_repeat(self, digest: bytes) -> bool:
        """Whether such a call is running or has failed.

        Once too many have failed to remember them all, each further one counts.
        """
        full = len(self._unanswered) >= CALLS_REMEMBERED
        return full or digest in self._unanswered

    def begin(self, digest: bytes) -> None:
        """Record a call that is sent."""
        if len(self._unanswered) < CALLS_REMEMBERED:
            self._unanswered.add(digest)

    def end(self, digest: bytes, failed: bool) -> None:
        """Record the end of a call."""
        if not failed:
            self._unanswered.discard(digest)


class RecentFailures:
    """Requests from outside whose id lately failed at this node.

    Parameters
    ----------
    timers : TimerService
        Time.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._failed: OrderedDict[tuple[TeamId, RequestId], float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._failed)

    def add(self, team: TeamId, request_id: RequestId) -> None:
        """Record a failure."""
        self._failed.pop((team, request_id), None)
        self._failed[team, request_id] = self._timers.now
        if len(self._failed) > REMEMBERED:
            self._failed.popitem(last=False)

    def discard(self, team: TeamId, request_id: RequestId) -> None:
        """Forget a request that has succeeded."""
        self._failed.pop((team, request_id), None)

    def contains(self, team: TeamId, request_id: RequestId) -> bool:
        """Whether the request failed within the time remembered."""
        at = self._failed.get((team, request_id))
        return at is not None and self._timers.now - at < REMEMBERED_SECONDS
