"""Checks of the processes of nodes: their stops, their size and their recovery."""

from tests.soak.checker import NODE_FAULTS

__all__ = [
    "bounded_memory",
    "planned_stops",
    "planned_stops_in_time",
    "processes_live",
    "recovers",
]


def planned_stops(checker):
    """A planned stop of a node cuts no request that has run.

    Faults of other hosts end requests with an answer, not with a cut connection.
    """
    window = checker.bounds.stable_window
    for stop in checker.record.of("terminate"):
        others = [
            (notice.at, notice.until)
            for notice in checker.record.notices
            if notice.host == stop.host and notice.what in NODE_FAULTS
        ]
        if any(a < stop.until and b > stop.at - window for a, b in others):
            continue
        for sent in checker.record.sent.values():
            told = checker.record.told.get(sent.request_id)
            if sent.host != stop.host or told is None:
                continue
            if told.status and told.whole:
                continue
            is_cut = stop.at <= told.at <= stop.until
            if is_cut and checker.runs.get(sent.request_id):
                yield told.at, f"{sent.request_id} was cut by the stop of {stop.host}"


def planned_stops_in_time(checker):
    """A node ends within its grace time."""
    for notice in checker.record.of("node ends"):
        if notice.detail == "overran":
            yield notice.until, f"node {notice.host} was still running"


def processes_live(checker):
    """No process ends by itself."""
    for notice in checker.record.of("node ended by itself"):
        yield notice.at, f"node {notice.host}: {notice.detail}"


def bounded_memory(checker):
    """Memory and descriptors of a process stay under their bounds."""
    for host in checker.fleet.hosts:
        if host.peak_mb > checker.bounds.memory_mb:
            yield 0.0, f"node {host.number} held {host.peak_mb:.0f} MB"
        if host.peak_descriptors > checker.bounds.descriptors:
            yield 0.0, f"node {host.number} had {host.peak_descriptors} descriptors"


def recovers(checker):
    """After the last fault each host serves again within the recovery time."""
    for notice in checker.record.of("not recovered"):
        yield notice.at, f"host {notice.host} served no request"
