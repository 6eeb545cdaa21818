"""Admission of new requests by what their whole chain of calls can bear now.

This protects against a service deep in the call graph that rejects requests, so that
most chains fail after much work, and the few repeats are spread over too many of them.
A request is refused before it runs if its chain is not expected to finish. Lower ranks
are refused first, and only as far as higher ones lack repeats or places: the share of
each kind of requests that is let through falls while calls below are denied what they
want, and rises again while they are not. A small share always goes through, so that the
end of the stress is seen soon.

Examples
--------
>>> entry = PressureEntry("deep", 8.0, 0.55, 0.45, 0.8, 10)
>>> admission = ChainAdmission()
>>> [admission.admits("lookups", 2, (entry,), n / 100) for n in range(6)]
[True, False, False, False, False, False]
>>> [admission.admits("lookups", 2, (), at / 10) for at in range(1, 7)]
[False, False, True, True, True, True]
"""

from damaskramp.dispatch.pressure import PressureEntry

__all__ = ["ChainAdmission"]

RETURN_CREDIT = 0.5
"""Part of the credit of a new request at which one that was refused before passes."""

MAX_CREDIT = 2.0
"""Largest credit; above 1, so that what one request leaves counts for the next."""

STEP_SECONDS = 0.1
"""Time between changes of a share: several round trips through a chain."""

DENIED_SHARE, GRANTED_SHARE = 0.15, 0.04
"""Share of denied repeats or places from which the shares fall, and below which they
rise."""

BUDGET_RATIO = 0.1
"""Repeats that hosts spend themselves for each request of a service."""

DECREASE_FACTOR = 0.5
INCREASE_FACTOR, INCREASE_STEP = 1.15, 0.02
"""Factors and step by which a share changes at a time."""

ONSET_SECONDS = 1.0
"""Time from the beginning of a stress in which lower ranks are bounded by its size."""

MAX_ONSET_SHARE = 0.25
"""Share that repeats must carry for lower ranks not to be bounded at the beginning. It
belongs to a share of failures of 0.29; smaller ones are too uncertain then."""

REOPEN_FACTOR = 3.0
"""Factor by which a share rises at each step once no service below is stressed; the
smallest share reaches 1 in 0.3 s."""

REACTION_SECONDS = (0.5,)
"""Time for which calls must be denied before rank 0 is refused. Lower ranks react at
once, and may be enough."""

MIN_SHARES = (0.3, 0.1)
"""Smallest shares that ranks 0 and 1 are reduced to."""

MIN_SHARE = 0.03
"""Smallest share of all other ranks. It suffices to see the end of the stress, and
costs less than one request in thirty."""

PROBE_SECONDS = 0.3
"""Time after which one request goes through in any case."""

UNAIDED_SUCCESS = 0.5
"""Expected success without any repeat from which a request is never refused: it costs
others little."""

WORTHWHILE_SUCCESS = 0.3
"""Expected success from which the share of a rank other than 0 may rise. Below it, two
of three chains waste their work and their repeats."""

HOPELESS_SUCCESS = 0.1
"""Expected success below which a kind of requests is reduced even if nobody is denied
anything."""


def expected_success(entries: tuple[PressureEntry, ...]) -> float:
    """Probability that a chain finishes with the repeats that calls get now."""
    success = 1.0
    for entry in entries:
        # A call fails at least as often in the end as it fails and is denied a repeat.
        lost = max(entry.lost, entry.fail * entry.denied)
        success *= (1.0 - min(1.0, lost)) ** entry.calls
    return success


def unaided_success(entries: tuple[PressureEntry, ...]) -> float:
    """Probability that a chain finishes without any repeat."""
    success = 1.0
    for entry in entries:
        success *= (1.0 - min(1.0, entry.fail)) ** entry.calls
    return success


def carried_share(entries: tuple[PressureEntry, ...]) -> float:
    """Share of the chains for which the repeats of their own calls are enough.

    A service that fails a share of single requests needs fail / (1 - fail) repeats for
    each call, and has `BUDGET_RATIO`.
    """
    fail = max((entry.fail for entry in entries), default=0.0)
    return min(1.0, BUDGET_RATIO * (1.0 - fail) / max(fail, 1e-9))


class _Share:
    """Share of one kind and rank of requests that is let through."""

    __slots__ = (
        "began_at",
        "changed_at",
        "credit",
        "denied_seconds",
        "passed_at",
        "value",
    )

    def __init__(self, now: float) -> None:
        self.value = 1.0
        self.began_at = now
        self.credit = 0.0
        self.changed_at = now - STEP_SECONDS
        self.denied_seconds = 0.0
        self.passed_at = now - PROBE_SECONDS


class ChainAdmission:
    """Admission of new requests at one backend server."""

    def __init__(self) -> None:
        self._shares: dict[tuple[str, int], _Share] = {}

    def admits(
        self,
        kind: str,
        rank: int,
        entries: tuple[PressureEntry, ...],
        now: float,
        returns: bool = False,
    ) -> bool:
        """Whether a new request may run.

        Parameters
        ----------
        entries : tuple of PressureEntry
            Pressure on the chain of this kind of requests.
        returns : bool
            Whether the request was refused before and its caller has returned.
        """
        share = self._shares.get((kind, rank))
        if not entries:
            return share is None or self._passes_after_stress(
                kind, rank, share, now, returns
            )
        if share is None:
            share = self._shares[kind, rank] = _Share(now)
        success = expected_success(entries)
        if now - share.changed_at >= STEP_SECONDS:
            share.changed_at = now
            self._change(share, rank, success, max(e.denied for e in entries))
            if rank > 0 and now - share.began_at < ONSET_SECONDS:
                self._bound_onset(share, rank, carried_share(entries))
        if unaided_success(entries) >= UNAIDED_SUCCESS:
            return True
        return self._passes(share, now, returns)

    def _passes_after_stress(
        self, kind: str, rank: int, share: _Share, now: float, returns: bool
    ) -> bool:
        """Let more through at each step, so that a gap in the news opens little."""
        while now - share.changed_at >= STEP_SECONDS:
            share.changed_at += STEP_SECONDS
            share.value = REOPEN_FACTOR * share.value + INCREASE_STEP
            if share.value >= 1.0:
                del self._shares[kind, rank]
                return True
        return self._passes(share, now, returns)

    def _change(self, share: _Share, rank: int, success: float, denied: float) -> None:
        is_hopeless = success < HOPELESS_SUCCESS
        if denied >= DENIED_SHARE or is_hopeless:
            share.denied_seconds += STEP_SECONDS
            if share.denied_seconds > _of_rank(REACTION_SECONDS, rank, 0.0) and (
                success < WORTHWHILE_SUCCESS
            ):
                least = _of_rank(MIN_SHARES, rank, MIN_SHARE)
                factor = least if is_hopeless else DECREASE_FACTOR
                share.value = max(least, share.value * factor)
            return
        share.denied_seconds = max(0.0, share.denied_seconds - STEP_SECONDS)
        if denied < GRANTED_SHARE and (rank == 0 or success >= WORTHWHILE_SUCCESS):
            share.value = min(1.0, share.value * INCREASE_FACTOR + INCREASE_STEP)

    def _bound_onset(self, share: _Share, rank: int, carried: float) -> None:
        # The repeats are spent before the first one is denied, so lower ranks begin at
        # what a great stress leaves for all alike.
        if carried < MAX_ONSET_SHARE:
            least = _of_rank(MIN_SHARES, rank, MIN_SHARE)
            share.value = max(least, min(share.value, carried))

    def _passes(self, share: _Share, now: float, returns: bool) -> bool:
        is_probe = now - share.passed_at >= PROBE_SECONDS
        share.credit = min(MAX_CREDIT, share.credit + share.value)
        # Those that return pass at a smaller credit, at the expense of new ones.
        needed = RETURN_CREDIT if returns else 1.0
        if share.credit >= needed or is_probe:
            share.credit = max(RETURN_CREDIT - 1.0, share.credit - 1.0)
            share.passed_at = now
            return True
        return False


def _of_rank(values: tuple[float, ...], rank: int, rest: float) -> float:
    return values[rank] if rank < len(values) else rest
