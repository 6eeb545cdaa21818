"""Whether a home may release an id that it holds no claim for."""

from dataclasses import dataclass

from damaskramp.dedup.request_ids import uuid7_seconds

__all__ = ["HistoryCoverage", "may_release_own_id"]


@dataclass(frozen=True, slots=True)
class HistoryCoverage:
    """What a home knows when an id of a caller's own arrives.

    Attributes
    ----------
    now : float
        Monotonic time in seconds.
    wall_now : float
        Seconds since the epoch on this host.
    accounts_since : float
        Monotonic time since which every claim of the range was made here.
    retention : float
        Seconds that claims are kept.
    clock_skew : float
        Most that the clocks of a caller and of this host differ, in seconds.
    first_start : bool
        Whether no request can have run before this home accounted.
    forgotten_until : float
        Monotonic time of the latest claim that was forgotten.
    """

    now: float
    wall_now: float
    accounts_since: float
    retention: float
    clock_skew: float
    first_start: bool = False
    forgotten_until: float = float("-inf")


def may_release_own_id(
    text: str, first_attempt: bool, coverage: HistoryCoverage
) -> bool:
    """Whether an unclaimed id of a caller's own can't have been released before.

    Parameters
    ----------
    text : str
        The id; one that is a UUID of version 7 carries its issue time.
    first_attempt : bool
        Whether the caller states that it never sent this id before.
    standing : Standing
        What the home knows.
    """
    if first_attempt:
        return True
    issued = uuid7_seconds(text)
    if issued is not None:
        return _issue_time_proves(issued, coverage)
    if coverage.now - coverage.accounts_since >= coverage.retention:
        return True
    return coverage.first_start


def _issue_time_proves(issued: float, coverage: HistoryCoverage) -> bool:
    age = coverage.wall_now - issued
    if age < -coverage.clock_skew:
        return False
    if age > coverage.retention - coverage.clock_skew:
        return False
    earliest = coverage.now - age - coverage.clock_skew
    if earliest <= coverage.forgotten_until:
        return False
    if earliest > coverage.accounts_since:
        return True
    complete = coverage.now - coverage.accounts_since >= coverage.retention
    return complete or coverage.first_start
