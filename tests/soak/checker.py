"""Records of a run as the checks read them, and the bounds of the promises."""

import dataclasses
from collections import defaultdict

__all__ = ["NODE_FAULTS", "Bounds", "Checker", "densest"]

NODE_FAULTS = frozenset({"freeze", "kill", "log_unread"})
"""Events that end or halt a host's node without warning."""

CONTACT_FAULTS = frozenset({"freeze", "node started", "store_shut", "log_unread"})
"""Events of a host that separate its node from the store. Cuts between hosts and
faults of servers and callers do not: the node must still read the store in time."""

STORE_FAULTS = frozenset({"store_silent", "store_busy", "store_restored"})


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds of the promises; times in seconds, sizes in megabytes."""

    revoke: float = 5.0
    evacuation: float = 5.0
    drain: float = 2.5
    config_apply: float = 2.5
    regression: float = 0.25
    stable_window: float = 3.0
    recovery: float = 15.0
    retry_ratio: float = 0.05
    retry_window: float = 10.0
    retry_allowance: float = 10.0
    quota_window: float = 5.0
    quota_overshoot: float = 0.25
    quota_slack: float = 20.0
    warmup_seconds: float = 3.0
    warmup_per_second: float = 20.0
    limit_window: float = 4.0
    limit_factor: float = 1.5
    limit_slack: float = 5.0
    stated_limit: float = 4.0
    memory_mb: float = 105.0
    descriptors: int = 1000


class Checker:
    """Records of a run, sorted by what the checks ask for.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet of the run.
    """

    def __init__(self, record, fleet, bounds):
        self.record = record
        self.fleet = fleet
        self.bounds = bounds
        self.runs = defaultdict(list)
        self.by_server = defaultdict(list)
        self.by_service = defaultdict(list)
        for arrival in record.arrivals:
            self.by_server[arrival.server].append(arrival)
            self.by_service[arrival.service].append(arrival)
            if arrival.ran:
                self.runs[arrival.request_id].append(arrival)
        self._store_faults = [n for n in record.notices if n.what in STORE_FAULTS]
        self._contact_faults = defaultdict(list)
        self._node_faults = defaultdict(list)
        for notice in record.notices:
            if notice.what in CONTACT_FAULTS:
                self._contact_faults[notice.host].append(notice)
            if notice.what in NODE_FAULTS | {"node started"}:
                self._node_faults[notice.host].append(notice)

    def is_steady(self, host, at):
        """Whether a host's node has run for the stable window."""
        return self._are_over(
            self._node_faults[host], at - self.bounds.stable_window, at
        )

    def in_contact(self, sent, bound, until):
        """Whether the node at which a request was sent knows what is known in time.

        It could read the store for the time of a bound before the request, and for the
        stable window at least, until a time.
        """
        faults = self._contact_faults[sent.host] + self._store_faults
        start = sent.at - max(bound, self.bounds.stable_window)
        return self._are_over(faults, start, until)

    def _are_over(self, faults, start, until):
        for notice in faults:
            # The start of a node has no end.
            ends = notice.at if notice.until == float("inf") else notice.until
            if notice.at < until and ends > start:
                return False
        return True


def densest(times, window):
    """Largest number of times in any window of a length, and its start."""
    times = sorted(times)
    best, start, first = 0, 0.0, 0
    for last, at in enumerate(times):
        while at - times[first] > window:
            first += 1
        if last - first + 1 > best:
            best, start = last - first + 1, times[first]
    return best, start
