"""Checks of what servers get that are cold, limited, leaving or evacuated."""

from tests.soak.checker import NODE_FAULTS, densest

__all__ = [
    "announced_leaving",
    "cold_servers",
    "evacuated_zones",
    "left_servers",
    "stated_limits",
]


ANSWER_FAULTS = NODE_FAULTS | {
    "terminate",
    "server_silent",
    "server_reset",
    "answers_cut",
    "answers_endless",
}
"""Events after which a node may not know what its server has announced."""


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
