"""Checks of the versions of the configuration that nodes use and state."""

import bisect
from collections import defaultdict

__all__ = ["configuration_in_force", "no_regression", "versions_never_fall"]


def configuration_in_force(checker):
    """A published version is in force within its bound."""
    versions = _service_versions(checker)
    bounds = checker.bounds
    for run, sent in _swapped_runs(checker):
        oldest = _newest_version(versions, sent.at - bounds.config_apply)
        newest = _newest_version(versions, run.at)
        allowed = {service for _, service in versions[oldest : newest + 1]}
        in_contact = checker.in_contact(sent, bounds.config_apply, run.at)
        if run.service not in allowed and in_contact:
            yield run.at, f"{sent.request_id} ran at {run.service}, of an old version"


def no_regression(checker):
    """A host never goes back to an older version while its node lives."""
    versions = _service_versions(checker)
    seen = defaultdict(list)
    for run, sent in _swapped_runs(checker):
        host = checker.fleet.hosts[sent.host]
        lifetime = (sent.host, bisect.bisect(host.starts, sent.at))
        known = [
            version
            for at, version in seen[lifetime]
            if at + checker.bounds.regression < sent.at
        ]
        oldest = max(known, default=0)
        newest = _newest_version(versions, run.at)
        found = [
            version
            for version in range(oldest, newest + 1)
            if versions[version][1] == run.service
        ]
        if not found:
            yield (
                run.at,
                f"{sent.request_id} ran at {run.service} after version {oldest}",
            )
        else:
            seen[lifetime].append((run.at, found[0]))


def versions_never_fall(checker):
    """The version that a process states never falls."""
    last = {}
    for notice in checker.record.of("stated version"):
        started = len(
            [n for n in checker.fleet.hosts[notice.host].starts if n < notice.at]
        )
        lifetime = (notice.host, started)
        version = float(notice.detail)
        if version < last.get(lifetime, 0.0):
            yield (
                notice.at,
                f"node {notice.host} states {version} after {last[lifetime]}",
            )
        last[lifetime] = version


def _service_versions(checker):
    """Time and service of ``/swap/`` of each published version."""
    return [(n.at, n.detail) for n in checker.record.of("configuration")]


def _swapped_runs(checker):
    """First runs of requests to the route that changes its service, by time sent."""
    found = [
        (runs[0], checker.record.sent[request_id])
        for request_id, runs in checker.runs.items()
        if request_id in checker.record.sent
        and checker.record.sent[request_id].service == "swap"
    ]
    return sorted(found, key=lambda pair: pair[1].at)


def _newest_version(versions, at):
    """Position of the newest version that was published by a time; 0 before all."""
    return max(0, bisect.bisect([when for when, _ in versions], at) - 1)
