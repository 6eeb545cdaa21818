"""Shutdown of a relay node in steps that break off no request.

Other nodes and load balancers learn of the stop first, then callers are asked to
connect elsewhere, and only then are connections closed. What runs by then has the rest
of the grace time. A request that still waits then, here or at the server of another
host, is refused as not run, and one that runs is told that its outcome is unknown.
"""

from collections.abc import Callable

from damaskramp.core import TimerService
from damaskramp.relay.caller_listener import CallerListener
from damaskramp.relay.execution import Executor
from damaskramp.relay.forwarding import Forwarder
from damaskramp.relay.link_service import LinkService
from damaskramp.relay.peers import Peers

__all__ = ["Shutdown"]

ACCEPT_CALLERS_SECONDS = 3.5
"""Time after the start of a stop, in seconds, in which callers may still connect:
readiness is checked once a second, and two missed checks count."""

ACCEPT_CALLS_SECONDS = 2.0
"""Time after the start of a stop, in seconds, in which the backend server still gets
calls. Calls that run after it have the rest of the grace time."""

START_REQUESTS_SECONDS = 3.0
"""Time after the start of a stop, in seconds, in which requests are passed on however
long they may run. Later ones that may outlast the stop are refused unrun, since a cut
request has an unknown outcome."""

ACCEPT_CALLS_SHARE, ACCEPT_CALLERS_SHARE = 0.35, 0.6
"""Bounds on ``ACCEPT_CALLS_SECONDS``, and on ``ACCEPT_CALLERS_SECONDS`` and
``START_REQUESTS_SECONDS``, as parts of a short grace time. The rest of the grace time
is for the requests that run."""

FINAL_READ_SECONDS = 0.1
"""Time, in seconds, between closing the listener and closing idle connections."""

STOP_MARGIN_SECONDS = 0.5
"""Margin at the end of the grace time, in seconds, before which all requests are
answered."""

FINAL_WRITE_SECONDS = 0.2
"""Part of the margin, in seconds, in which the last answers are written."""

OPEN_WORK_CHECK_SECONDS = 0.02
"""Interval, in seconds, between checks for requests that are still open."""


class Shutdown:
    """Stop of a node within its grace time.

    Parameters
    ----------
    stop_listening : callable
        Stops accepting connections of callers.
    """

    def __init__(
        self,
        timers: TimerService,
        executor: Executor,
        peers: Peers,
        listener: CallerListener,
        forwarder: Forwarder,
        links: LinkService,
        stop_listening: Callable[[], None],
    ) -> None:
        self._timers = timers
        self._executor = executor
        self._peers = peers
        self._listener = listener
        self._forwarder = forwarder
        self._links = links
        self._stop_listening = stop_listening

    @property
    def open_work(self) -> int:
        """Number of requests and answers that a stop waits for."""
        listener = self._listener
        own = listener.unanswered + listener.unsent
        return own + self._executor.running + self._links.unsent

    async def run(self, grace: float) -> int:
        """Stop within a grace time in seconds; return the number of open requests."""
        started_at = self._timers.now
        stop_by = started_at + grace - STOP_MARGIN_SECONDS
        # The backend server still runs; the fleet loses its slots as soon as it gets no
        # calls.
        await self._timers.sleep(min(ACCEPT_CALLS_SECONDS, ACCEPT_CALLS_SHARE * grace))
        self._executor.leave()
        self._peers.announce_leaving()
        self._listener.announce_close()
        accept_until = started_at + min(
            ACCEPT_CALLERS_SECONDS, ACCEPT_CALLERS_SHARE * grace
        )
        start_until = min(started_at + START_REQUESTS_SECONDS, accept_until)
        await self._timers.sleep(start_until - self._timers.now)
        self._forwarder.announce_stop(stop_by)
        self._listener.announce_end(stop_by)
        self._peers.announce_end(stop_by)
        await self._timers.sleep(accept_until - self._timers.now)
        self._stop_listening()
        # Requests that arrived on open connections are read before these are closed.
        await self._timers.sleep(FINAL_READ_SECONDS)
        self._listener.close_idle()
        end_by = stop_by + FINAL_WRITE_SECONDS
        while self._timers.now < end_by and self.open_work:
            await self._timers.sleep(OPEN_WORK_CHECK_SECONDS)
        return self.open_work
