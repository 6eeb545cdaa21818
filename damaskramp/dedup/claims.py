"""Table of claimed request ids and their finished answers.

A claim is never evicted before its retention time, since a forgotten claim would
let the request run again; a full table refuses new claims. Answers are evicted,
oldest first, once they exceed their share of memory.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from damaskramp.core import TimerService
from damaskramp.dedup.request_ids import ClaimKey

__all__ = ["Claim", "ClaimState", "ClaimTable"]

T = TypeVar("T")

SWEEP_SECONDS = 1.0


class ClaimState(Enum):
    """What has become of a claimed request."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Claim:
    """A claimed request.

    Attributes
    ----------
    fingerprint : bytes
        Digest of method, target and body.
    claimed_at : float
        Monotonic time in seconds.
    """

    fingerprint: bytes
    claimed_at: float
    state: ClaimState = ClaimState.RUNNING


class ClaimTable(Generic[T]):
    """Claims by key, bounded in count, with answers bounded in bytes.

    Parameters
    ----------
    timers : TimerService
        Time; it drives expiry.
    retention : callable
        Seconds that a settled claim is kept.
    claims : int
        Claims held at most.
    answer_bytes : int
        Size of all kept answers at most.
    """

    def __init__(
        self,
        timers: TimerService,
        retention: Callable[[], float],
        claims: int,
        answer_bytes: int,
    ) -> None:
        self._timers = timers
        self._retention = retention
        self._most_claims = claims
        self._most_bytes = answer_bytes
        self._claims: dict[ClaimKey, Claim] = {}
        self._answers: OrderedDict[ClaimKey, tuple[T, int]] = OrderedDict()
        self._bytes = 0
        self._settled: deque[tuple[float, ClaimKey]] = deque()
        self._forgotten_until = float("-inf")
        self._sweeper = timers.every(SWEEP_SECONDS, self.sweep)

    @property
    def answer_bytes(self) -> int:
        """Size of the kept answers."""
        return self._bytes

    @property
    def full(self) -> bool:
        """Whether no further claim fits."""
        return len(self._claims) >= self._most_claims

    @property
    def forgotten_until(self) -> float:
        """Time of the latest claim that has been forgotten."""
        return self._forgotten_until

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: ClaimKey) -> Claim | None:
        """Claim of a key."""
        return self._claims.get(key)

    def answer(self, key: ClaimKey) -> T | None:
        """Kept answer of a key."""
        kept = self._answers.get(key)
        return kept[0] if kept else None

    def claim(self, key: ClaimKey, fingerprint: bytes) -> None:
        """Claim a key that has no claim.

        Raises
        ------
        ValueError
            If the key is claimed or the table is full.
        """
        if key in self._claims or self.full:
            raise ValueError("the key is claimed or the table is full")
        self._claims[key] = Claim(fingerprint, self._timers.now)

    def withdraw(self, key: ClaimKey) -> None:
        """Forget a running claim whose request has provably not run."""
        if self._claims[key].state is not ClaimState.RUNNING:
            raise ValueError("the claim is settled")
        del self._claims[key]

    def settle(
        self, key: ClaimKey, state: ClaimState, answer: T | None = None, size: int = 0
    ) -> None:
        """Record the end of a request; the retention time starts here."""
        self._claims[key].state = state
        self._settled.append((self._timers.now, key))
        if answer is not None and size <= self._most_bytes:
            self._answers[key] = (answer, size)
            self._bytes += size
            while self._bytes > self._most_bytes:
                self._drop_answer(next(iter(self._answers)))

    def sweep(self) -> None:
        """Forget claims whose retention time has passed."""
        oldest_kept = self._timers.now - self._retention()
        while self._settled and self._settled[0][0] <= oldest_kept:
            key = self._settled.popleft()[1]
            claim = self._claims.pop(key)
            self._forgotten_until = max(self._forgotten_until, claim.claimed_at)
            if key in self._answers:
                self._drop_answer(key)

    def close(self) -> None:
        """Stop expiry."""
        self._sweeper.cancel()

    def _drop_answer(self, key: ClaimKey) -> None:
        self._bytes -= self._answers.pop(key)[1]
