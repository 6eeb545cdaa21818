"""Backend server of `chain_fleet`, which makes calls while it runs a request."""

import re

from benchmarks.chain_scenario import (
    CALLS,
    OWN_LIMIT_MS,
    OWN_SECONDS,
    SERVER_LINK_SECONDS,
)
from damaskramp.relay.server_answer import ServerAnswer

__all__ = ["Connections"]


class Connections:
    """Connections to one backend server, with the interface that its node uses."""

    def __init__(self, host):
        self._host = host

    def start(self, exchange, request_id, head_only, data, body=b""):
        """Start a request; return a callable that abandons it."""
        run = _ServerRun(self._host, exchange, request_id, data)
        return run.abandon

    def sweep(self):
        """Do nothing: no idle connection is kept."""

    def oldest_idle(self):
        """Clock time of the oldest idle connection; none is kept."""


class _ServerRun:
    """Run of one request at a backend server, with its calls."""

    def __init__(self, host, exchange, request_id, data):
        self.host, self.exchange = host, exchange
        self.fleet, loop = host.fleet, host.fleet.loop
        head = data.split(b"\r\n", 1)[0].split()[1]
        ms = int(re.search(rb"X-Timeout-Ms: (\d+)", data).group(1))
        self.began = loop.time() + SERVER_LINK_SECONDS
        self.ends = self.began + ms / 1000
        self.open = True
        following, count = CALLS.get(host.service, ("", 0))
        if head.startswith(b"/posting"):
            following, count = "third", 1
        elif head.startswith(b"/listing"):
            count = 0
        self.following, self.left = following, count
        self.repeats = self.fleet.record_arrival(host.service, request_id)
        if host.service == "deep":
            self.fleet.record_deep_arrival()
            rejected = (
                self.fleet.in_stress
                and self.fleet.source.random() < self.fleet.scenario.reject_share
            )
            if rejected:
                loop.call_later(0.001, self.end, 503, True)
                return
        spread = self.fleet.source.uniform(0.7, 1.3)
        loop.call_later(OWN_SECONDS[host.service] * spread, self.next_call)
        loop.call_later(ms / 1000, self.end, 500)

    def next_call(self):
        if not self.open:
            return
        if not self.left:
            self.end(200)
            return
        self.left -= 1
        left_ms = int(1000 * (self.ends - self.fleet.loop.time()))
        if left_ms <= 0:
            self.end(500)
            return
        stated = min(left_ms, OWN_LIMIT_MS.get(self.following, left_ms))
        ask = (f"/{self.following}/x", "", stated, self.call_answered, self.repeats)
        # A few calls are read late by a busy node.
        late = SERVER_LINK_SECONDS + min(0.006, self.fleet.source.expovariate(3000.0))
        self.fleet.loop.call_later(late, self.host.ask, *ask)

    def call_answered(self, status, retry_after):
        if status == 200:
            self.next_call()
        else:
            self.end(500)

    def end(self, status, not_executed=False):
        if not self.open:
            return
        self.open = False
        if status != 200 and not not_executed:
            self.fleet.record_waste(self.fleet.loop.time() - self.began)
        answer = ServerAnswer(status)
        answer.not_executed = not_executed
        self.exchange.head_received(answer)
        self.exchange.answered(answer)

    def abandon(self):
        self.open = False
