"""Effect of what the backend server on this host says about itself.

The server may limit the requests a second that it takes, and may announce in its
answers that it is leaving. Only this node can reach the server, so a limit that it
keeps is kept by all hosts.
"""

from collections.abc import Callable

from damaskramp.core import Counters
from damaskramp.dispatch import ServerRate
from damaskramp.fleet import ServerId
from damaskramp.relay.decision_log import DecisionLog
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.server_answer import ServerAnswer
from damaskramp.relay.server_notice import NO_NOTICE, Notice, ServerNotice

__all__ = ["MISDIRECTED", "ServerNotices"]

MISDIRECTED = 421
"""Status of a server that is not the one that the request is meant for."""

UNREADABLE_LEAVING_SECONDS = 4.0
"""Time, in seconds, for which a server gets no requests after an announcement that
can't be read. The next answer shows whether it still makes one."""


class ServerNotices:
    """Notices of the backend server on this host.

    Parameters
    ----------
    rate : ServerRate
        Limit on the requests a second, set from the server's answers.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        rate: ServerRate,
        clock: Callable[[], float],
        counters: Counters,
        log: DecisionLog,
    ) -> None:
        self._fleet_view = fleet_view
        self._rate = rate
        self._clock = clock
        self._counters = counters
        self._log = log
        self._latest = NO_NOTICE
        self._server_start: tuple[ServerId, int] | None = None
        self._directory_generation = -1

    def has_announced_leaving(self, server: str) -> bool:
        """Return whether a server has announced in readable form that it is leaving."""
        fleet_view = self._fleet_view
        return fleet_view.leaving_announcements.is_lasting(
            server
        ) and fleet_view.has_announced_leaving(server)

    def update_server(self) -> None:
        """Forget the notices of a server that another one, or its restart, replaces."""
        generation = self._fleet_view.directory.generation
        if generation == self._directory_generation:
            return
        self._directory_generation = generation
        own = self._fleet_view.own_server
        if own is None or (own.id, own.started) == self._server_start:
            return
        if self._server_start is not None:
            self._rate.reset()
            self._latest = NO_NOTICE
        self._server_start = (own.id, own.started)

    def record_head(self, server: str, answer: ServerAnswer, sent_at: float) -> None:
        """Apply what the head of an answer says.

        Parameters
        ----------
        server : str
            Id of the server that the request was sent to.
        sent_at : float
            Clock time in seconds at which the request was sent.
        """
        if answer.status == MISDIRECTED:
            return
        notice = answer.notice
        self._apply_limit(notice, sent_at)
        if notice.leaving is not Notice.ABSENT:
            self._apply_leaving(ServerId(server), notice)
        if notice == self._latest == NO_NOTICE:
            return
        for field, state in (("limit", notice.limit), ("leaving", notice.leaving)):
            if state is not Notice.ABSENT:
                self._counters.add("server_notices", reason=f"{field}_{state.value}")
        if notice != self._latest and self._log.wants_line():
            self._log.write(
                "backend server's notice changed",
                server=server,
                limit=notice.limit.value,
                stated_rate_limit=notice.rate_limit,
                rate_limit=self._rate.limit,
                leaving=notice.leaving.value,
            )
        self._latest = notice

    def _apply_limit(self, notice: ServerNotice, sent_at: float) -> None:
        if notice.limit is Notice.GIVEN:
            self._rate.record_limit(notice.rate_limit, self._clock())
        elif notice.limit is Notice.UNREADABLE:
            self._rate.record_unreadable_limit(self._clock())
        else:
            self._rate.record_no_limit(sent_at)

    def _apply_leaving(self, server: ServerId, notice: ServerNotice) -> None:
        listed = self._fleet_view.directory.find(server)
        started = listed.started if listed is not None else 0
        announcements = self._fleet_view.leaving_announcements
        if notice.leaving is Notice.GIVEN:
            announcements.record(server, started)
        else:
            until = self._clock() + UNREADABLE_LEAVING_SECONDS
            announcements.record(server, started, until)
