"""Table of claimed request ids and their finished answers.

No claim is evicted before its retention time ends, since the request could then run
again. A full table refuses new claims. Answers are evicted, oldest first, once they
exceed their share of memory.
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

SWEEP_INTERVAL_SECONDS = 1.0


class ClaimState(Enum):
    """State of a claimed request."""

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
        Monotonic time in seconds at which the claim was made.
    state : ClaimState
        State of the request.
    """

    fingerprint: bytes
    claimed_at: float
    state: ClaimState = ClaimState.RUNNING


class ClaimTable(Generic[T]):
    """Claims by key, with a bounded number of claims and a bounded size of answers.

    Parameters
    ----------
    timers : TimerService
        Source of time and of the timer that drives expiry.
    retention : callable
        Returns the time in seconds for which a settled claim is kept.
    claims : int
        Maximum number of claims.
    answer_bytes : int
        Maximum total size of the kept answers in bytes.
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
        self._sweeper = timers.every(SWEEP_INTERVAL_SECONDS, self.sweep)

    @property
    def answer_bytes(self) -> int:
        """Total size of the kept answers in bytes."""
        return self._bytes

    @property
    def full(self) -> bool:
        """Whether the table has no room for another claim."""
        return len(self._claims) >= self._most_claims

    @property
    def forgotten_until(self) -> float:
        """Monotonic time in seconds at which the newest expired claim was made."""
        return self._forgotten_until

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: ClaimKey) -> Claim | None:
        """Return the claim of a key, or None."""
        return self._claims.get(key)

    def answer(self, key: ClaimKey) -> T | None:
        """Return the kept answer of a key, or None."""
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
        """Remove a running claim whose request has provably not run.

        Raises
        ------
        ValueError
            If the claim is settled.
        """
        if self._claims[key].state is not ClaimState.RUNNING:
            raise ValueError("the claim is settled")
        del self._claims[key]

    def settle(
        self, key: ClaimKey, state: ClaimState, answer: T | None = None, size: int = 0
    ) -> None:
        """Record the end of a request and start the retention time of its claim.

        Parameters
        ----------
        key : ClaimKey
            Key of a running claim.
        state : ClaimState
            State in which the request ended.
        answer : optional
            Answer to keep. It is not kept if it exceeds the bound of all answers.
        size : int
            Size of the answer in bytes.
        """
        self._claims[key].state = state
        self._settled.append((self._timers.now, key))
        if answer is not None and size <= self._most_bytes:
            self._answers[key] = (answer, size)
            self._bytes += size
            while self._bytes > self._most_bytes:
                self._drop_answer(next(iter(self._answers)))

    def sweep(self) -> None:
        """Remove claims whose retention time has passed."""
        settled_cutoff = self._timers.now - self._retention()
        while self._settled and self._settled[0][0] <= settled_cutoff:
            key = self._settled.popleft()[1]
            claim = self._claims.pop(key)
            self._forgotten_until = max(self._forgotten_until, claim.claimed_at)
            if key in self._answers:
                self._drop_answer(key)

    def close(self) -> None:
        """Stop the timer that drives expiry."""
        self._sweeper.cancel()

    def _drop_answer(self, key: ClaimKey) -> None:
        self._bytes -= self._answers.pop(key)[1]
