"""Rules by which a home may release a request id that it holds no claim for."""

from dataclasses import dataclass

from damaskramp.dedup.request_ids import uuid7_seconds

__all__ = ["HistoryCoverage", "may_release_own_id"]

WALL_ROUNDING_SECONDS = 1e-6
"""Bound on the rounding errors of a comparison with a wall time, in seconds. Seconds
since the epoch have a resolution of 2.4e-7 s, and two of them are involved."""


@dataclass(frozen=True, slots=True)
class HistoryCoverage:
    """Coverage of a home's claim history when a caller's own request id arrives.

    Attributes
    ----------
    now : float
        Monotonic time in seconds.
    wall_now : float
        Seconds since the epoch on this host.
    accounts_since : float
        Monotonic time in seconds since which every claim of the range was made at
        this home.
    retention : float
        Time in seconds for which claims are kept.
    clock_skew : float
        Maximum difference between the clocks of a caller and of this host, in
        seconds.
    first_start : bool
        Whether no request can have run before `accounts_since`.
    forgotten_until : float
        Monotonic time in seconds at which the newest expired claim was made.
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
    """Return whether a caller's own unclaimed id can't have been released before.

    Parameters
    ----------
    text : str
        Request id. An id that is a version 7 UUID carries its issue time.
    first_attempt : bool
        Whether the caller states that it never sent this id before.
    coverage : HistoryCoverage
        Coverage of the home's claim history.
    """
    if first_attempt:
        return True
    issued = uuid7_seconds(text)
    if issued is not None:
        return _issue_time_rules_out_release(issued, coverage)
    if coverage.now - coverage.accounts_since >= coverage.retention:
        return True
    return coverage.first_start


def _issue_time_rules_out_release(issued: float, coverage: HistoryCoverage) -> bool:
    age = coverage.wall_now - issued
    if age < -coverage.clock_skew:
        return False
    if age > coverage.retention - coverage.clock_skew:
        return False
    earliest_release = coverage.now - age - coverage.clock_skew - WALL_ROUNDING_SECONDS
    if earliest_release <= coverage.forgotten_until:
        return False
    if earliest_release > coverage.accounts_since:
        return True
    complete = coverage.now - coverage.accounts_since >= coverage.retention
    return complete or coverage.first_start
