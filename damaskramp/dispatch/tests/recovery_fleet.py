"""Model of a fleet that returns after a loss of power, with all callers at once.

The decision classes are played against simple models of servers, links and callers
under a virtual clock.
"""

import random
from functools import partial

from damaskramp.core import VirtualTimers
from damaskramp.dispatch.tests.recovery_host import (
    DEADLINE_SECONDS,
    SLOTS,
    Host,
    Request,
)
from damaskramp.dispatch.tests.recovery_server import WARMUP, ModelServer
from damaskramp.fleet import BackendServer, Revision, ServerId

SERVERS_PER_SERVICE = 6
PAUSE_SECONDS = 4.0
"""Mean time between the requests of a caller."""

RETRY_WITHOUT_HINT_SECONDS = 0.2
PATIENCE_SECONDS = 10.0
"""Time for which a caller repeats a request that was not run."""


class Fleet:
    """Hosts that come back within 0.5 to 0.7 s, and callers that all return then.

    Attributes
    ----------
    outcomes : list of tuple
        Clock times at which a request was sent and answered, and its outcome.
    """

    def __init__(self, settings, callers, seed, tolerated):
        self.clock = VirtualTimers()
        self.random = random.Random(seed)
        self.outcomes = []
        self.hosts = {}
        self.listed = {"front": [], "back": []}
        for service, listed in self.listed.items():
            for number in range(SERVERS_PER_SERVICE):
                name = ServerId(f"{service}-{number}")
                server = ModelServer(self.clock, service, tolerated)
                host = Host(self, len(self.hosts), server, settings)
                self.hosts[name] = host
                listed.append(self._entry(name, service))
                up_at = self.random.uniform(0.5, 0.7)
                self.clock.after(up_at, host.start)
                self.clock.after(up_at + 0.05, host.server.start)
        for _ in range(callers):
            self.clock.after(self.random.uniform(0.7, 0.8), self._ask)

    def _entry(self, name, service):
        return BackendServer(
            id=name,
            service=service,
            address="10.0.0.1:80",
            zone="z",
            slots=SLOTS,
            leaving=False,
            warmup=WARMUP.seconds,
            started=1,
            revision=Revision(1),
        )

    @property
    def servers(self):
        return [host.server for host in self.hosts.values()]

    def _ask(self, first_sent_at=None):
        sent_at = self.clock.now
        first_sent_at = sent_at if first_sent_at is None else first_sent_at
        entry = self.random.choice(list(self.hosts.values()))

        def done(outcome, retry_after):
            self.outcomes.append((sent_at, self.clock.now, outcome))
            waits = retry_after or RETRY_WITHOUT_HINT_SECONDS
            later = self.clock.now + waits - first_sent_at
            if outcome == "refused" and later < PATIENCE_SECONDS:
                self.clock.after(waits, partial(self._ask, first_sent_at))
            else:
                pause = self.random.expovariate(1 / PAUSE_SECONDS)
                self.clock.after(pause, self._ask)

        Request(entry, "front", False, sent_at + DEADLINE_SECONDS, done).send()

    def share_served(self, begin, end):
        """Share of the requests sent within a time that were served."""
        found = [out for at, _, out in self.outcomes if begin <= at < end]
        return found.count("served") / max(1, len(found))
