"""Checks of single requests, of teams and of repeats."""

import bisect

from tests.soak.checker import densest

__all__ = [
    "asked_for",
    "at_most_once",
    "bounded_retries",
    "no_key",
    "own_answers",
    "right_team",
    "team_rates",
    "true_refusals",
    "withdrawn_keys",
]


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


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
