"""Checks of a run's records against the promises of the system.

Times and bounds come from the promises. Checks that hold only for hosts in contact
with the platform and with each other skip requests near a fault of their host.
"""

import bisect
import dataclasses
from collections import defaultdict

__all__ = ["PROMISES", "Bounds", "Violation", "check"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

NODE_FAULTS = frozenset({"freeze", "kill", "log_unread"})
"""Events that end or halt a host's node without warning."""

CONTACT_FAULTS = frozenset({"freeze", "node started", "store_shut", "log_unread"})
"""Events of a host that separate its node from the store. Cuts between hosts and
faults of servers and callers do not: the node must still read the store in time."""

ANSWER_FAULTS = NODE_FAULTS | {
    "terminate",
    "server_silent",
    "server_reset",
    "answers_cut",
    "answers_endless",
}
"""Events after which a node may not know what its server has announced."""

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
    start_up: float = 5.0
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


@dataclasses.dataclass(frozen=True)
class Violation:
    """Broken promise, with what shows it."""

    promise: str
    at: float
    detail: str


def check(record, fleet, bounds=None):
    """Return the violations in the records of a run.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet of the run: teams with their rates, hosts with their zones and peaks.
    """
    checker = _Checker(record, fleet, bounds or Bounds())
    return [
        Violation(name, at, detail)
        for name, function in PROMISES.items()
        for at, detail in function(checker)
    ]


class _Checker:
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
        spans = self._settled((notice.at, notice.until) for notice in faults)
        return not any(begins < until and ends > start for begins, ends in spans)

    def _settled(self, spans):
        for begins, ends in spans:
            yield begins, (begins if ends == float("inf") else ends)

    def service_versions(self):
        """Time and service of ``/swap/`` of each published version."""
        return [(n.at, n.detail) for n in self.record.of("configuration")]


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


def at_most_once(checker):
    """A non-idempotent request runs at most once."""
    for request_id, runs in checker.runs.items():
        sent = checker.record.sent.get(request_id)
        if sent is not None and not sent.idempotent and len(runs) > 1:
            servers = [run.server for run in runs]
            yield runs[1].at, f"{request_id} ran at servers {servers}"


def true_refusals(checker):
    """A request that was told "not run" has not run and never does."""
    for request_id, told in checker.record.told.items():
        if told.status in NOT_RUN_STATUSES and checker.runs.get(request_id):
            run = checker.runs[request_id][0]
            detail = f"{request_id} got {told.status} and ran at server {run.server}"
            yield told.at, detail


def own_answers(checker):
    """A success is the whole answer to the caller's own request."""
    for request_id, told in checker.record.told.items():
        if told.status != 200 or not told.whole:
            continue
        sent = checker.record.sent[request_id]
        if told.answer_id != request_id or told.digest != sent.digest:
            yield told.at, f"{request_id} got the answer of {told.answer_id}"


def asked_for(checker):
    """A server runs only what a caller sent, unchanged."""
    for arrival in checker.record.arrivals:
        sent = checker.record.sent.get(arrival.request_id)
        if sent is None or sent.digest != arrival.digest:
            yield arrival.at, f"{arrival.request_id} at server {arrival.server}"


def right_team(checker):
    """A request runs only for the team of its key."""
    for runs in checker.runs.values():
        for run in runs:
            sent = checker.record.sent.get(run.request_id)
            if sent is not None and sent.team != run.team:
                yield run.at, f"{run.request_id} of {sent.team} ran as {run.team!r}"


def no_key(checker):
    """No server sees a key."""
    for arrival in checker.record.arrivals:
        if arrival.has_key:
            yield arrival.at, f"{arrival.request_id} at server {arrival.server}"


def withdrawn_keys(checker):
    """A withdrawn key stops working within its bound, everywhere."""
    withdrawn = {n.detail: n.at for n in checker.record.of("key withdrawn")}
    for request_id, runs in checker.runs.items():
        sent = checker.record.sent.get(request_id)
        if sent is None or sent.key not in withdrawn:
            continue
        late = sent.at - withdrawn[sent.key]
        if late > checker.bounds.revoke:
            yield runs[0].at, f"{request_id} was sent {late:.2f} s after the withdrawal"


def team_rates(checker):
    """A team gets no more than its rate and burst, over all hosts."""
    bounds = checker.bounds
    for team, (rate, burst) in checker.fleet.team_rates().items():
        if not rate:
            continue
        times = [
            run.at for runs in checker.runs.values() for run in runs if run.team == team
        ]
        allowed = (rate * bounds.quota_window + burst) * (1 + bounds.quota_overshoot)
        allowed += bounds.quota_slack
        found, start = densest(times, bounds.quota_window)
        if found > allowed:
            yield start, f"{found} runs of {team} where {allowed:.0f} are allowed"


def bounded_retries(checker):
    """Repeats of a service stay within the retry budget, over all hosts.

    Calls that a repeated run makes count as repeats, and not as requests.
    """
    bounds = checker.bounds
    of_repeats = {s.request_id for s in checker.record.sent.values() if s.of_repeat}
    for service, arrivals in checker.by_service.items():
        seen, repeats = set(of_repeats), []
        for arrival in arrivals:
            if arrival.request_id in seen:
                repeats.append(arrival.at)
            seen.add(arrival.request_id)
        sent = sorted(
            s.at
            for s in checker.record.sent.values()
            if s.service in (service, "swap") and not s.of_repeat
        )
        yield from _over_budget(service, sorted(repeats), sent, bounds)


def _over_budget(service, repeats, sent, bounds):
    window = bounds.retry_window

    def requests(start):
        return bisect.bisect(sent, start + window) - bisect.bisect_left(sent, start)

    for number, end in enumerate(repeats):
        start = end - window
        found = number + 1 - bisect.bisect_left(repeats, start)
        most = max(requests(start - shift * window) for shift in (0.0, 0.5, 1.0))
        allowed = bounds.retry_ratio * most + bounds.retry_allowance
        if found > allowed:
            yield end, f"{found} repeats at {service} where {allowed:.0f} are allowed"
            return


def cold_servers(checker):
    """A cold server gets no more in any second than it tolerates."""
    bounds = checker.bounds
    for notice in checker.record.of("cold"):
        until = notice.at + bounds.warmup_seconds
        times = [
            arrival.at
            for arrival in checker.by_server[notice.host]
            if notice.at <= arrival.at <= until and not arrival.misdirected
        ]
        found, start = densest(times, 1.0)
        if found > bounds.warmup_per_second:
            yield start, f"{found} requests in a second at cold server {notice.host}"


def stated_limits(checker):
    """A server that states a limit gets no more, from all hosts together."""
    bounds = checker.bounds
    allowed = bounds.limit_factor * bounds.stated_limit * bounds.limit_window
    allowed += bounds.limit_slack
    for notice in checker.record.of("states_limit"):
        since = notice.at + bounds.stable_window
        times = [
            arrival.at
            for arrival in checker.by_server[notice.host]
            if since <= arrival.at <= notice.until
            and checker.is_steady(notice.host, arrival.at)
        ]
        found, start = densest(times, bounds.limit_window)
        if found > allowed:
            yield start, f"{found} requests at server {notice.host}, {allowed} allowed"


def left_servers(checker):
    """A server that leaves gets nothing new after the drain time."""
    for notice in checker.record.of("server left"):
        since = notice.at + checker.bounds.drain
        for arrival in checker.by_server[notice.host]:
            sent = checker.record.sent.get(arrival.request_id)
            if sent is None or arrival.misdirected:
                continue
            late = since < sent.at and arrival.at < notice.until - 0.5
            if late and checker.in_contact(sent, checker.bounds.drain, arrival.at):
                yield arrival.at, f"{sent.request_id} at leaving server {notice.host}"


def announced_leaving(checker):
    """A server that announces in an answer that it is leaving gets nothing new."""
    for notice in checker.record.of("said leaving"):
        since = notice.at + checker.bounds.drain
        unheard = [
            other.at
            for other in checker.record.notices
            if other.host == notice.host
            and other.what in ANSWER_FAULTS
            and other.until > notice.at
        ]
        until = min([notice.until, *unheard])
        for arrival in checker.by_server[notice.host]:
            sent = checker.record.sent.get(arrival.request_id)
            if sent is None or arrival.misdirected:
                continue
            if since < sent.at and arrival.at < until:
                yield arrival.at, f"{sent.request_id} at server {notice.host}"


def evacuated_zones(checker):
    """An evacuated zone gets nothing after the bound until it is taken back."""
    for notice in checker.record.of("zone evacuated"):
        since = notice.at + checker.bounds.evacuation
        for arrival in checker.record.arrivals:
            host = checker.fleet.hosts[arrival.server]
            sent = checker.record.sent.get(arrival.request_id)
            if host.zone != notice.detail or sent is None or arrival.misdirected:
                continue
            late = since < sent.at and arrival.at < notice.until
            bound = checker.bounds.evacuation
            if late and checker.in_contact(sent, bound, arrival.at):
                yield arrival.at, f"{sent.request_id} in evacuated zone {host.zone}"


def configuration_in_force(checker):
    """A published version is in force within its bound."""
    versions = checker.service_versions()
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
    versions = checker.service_versions()
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


def recovers(checker):
    """After the last fault each host serves again within the recovery time."""
    for notice in checker.record.of("not recovered"):
        yield notice.at, f"host {notice.host} served no request"


PROMISES = {
    function.__name__: function
    for function in (
        at_most_once,
        true_refusals,
        own_answers,
        asked_for,
        right_team,
        no_key,
        withdrawn_keys,
        team_rates,
        bounded_retries,
        cold_servers,
        stated_limits,
        left_servers,
        announced_leaving,
        evacuated_zones,
        configuration_in_force,
        no_regression,
        planned_stops,
        planned_stops_in_time,
        processes_live,
        bounded_memory,
        versions_never_fall,
        recovers,
    )
}
"""Promises by name; each function yields the time and detail of each violation."""
