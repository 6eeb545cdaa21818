"""Links that this node opens to the nodes of other hosts."""

import logging
from collections.abc import Callable

from damaskramp.core import ByteBudget, Counters
from damaskramp.relay.memory_queue import MemoryQueue
from damaskramp.relay.peer_hosts import PeerHosts
from damaskramp.relay.peer_link import LinkState, PeerLink

__all__ = ["PeerLinks"]

LOGGER = logging.getLogger(__name__)

RECONNECT_DELAY_SECONDS = 0.25
"""Delay before a broken link is opened again, in seconds."""

PROBES_PER_CHECK = 8
"""Most lost hosts that are tried at each check of the links, ten times a second. Up to
24 lost hosts, or 35 that are silent, are tried each time that their delay ends. A zone
of 175 hosts would otherwise take 6 % of a core while it is lost."""

LINK_IDLE_SECONDS = 30.0
"""Idle time after which a link is closed, in seconds."""


class PeerLinks:
    """Links by host, opened when they are needed.

    Parameters
    ----------
    port : int
        Port on which nodes listen for each other.
    hosts : PeerHosts
        States of hosts; lost links are recorded there.
    memory : ByteBudget
        Budget for the bodies of answers that arrive on the links.
    on_pong : callable
        Called with the host and the message of each answer to a ping.
    ping : callable
        Sends a ping on a link. A link that is opened without a call needs one, because
        the other node closes a link on which it receives nothing.

    Attributes
    ----------
    by_host : dict
        Open and connecting links.
    """

    def __init__(
        self,
        port: int,
        hosts: PeerHosts,
        clock: Callable[[], float],
        counters: Counters,
        memory: ByteBudget,
        on_pong: Callable[[str, list], None],
        ping: Callable[[PeerLink], None],
    ) -> None:
        self._port = port
        self._hosts = hosts
        self._clock = clock
        self._counters = counters
        self._memory = MemoryQueue(memory)
        self._on_pong = on_pong
        self._ping = ping
        self._retry_at: dict[str, float] = {}
        self._closed = False
        self.by_host: dict[str, PeerLink] = {}

    @property
    def arriving_answers(self) -> int:
        """Number of answers whose bodies are arriving on the links."""
        return sum(link.arriving_answers for link in self.by_host.values())

    @property
    def up(self) -> list[PeerLink]:
        """Links that are connected."""
        return [link for link in self.by_host.values() if link.state is LinkState.UP]

    def get(self, host: str) -> PeerLink | None:
        """Link to a host, opened if there is none; None shortly after it was lost."""
        link = self.by_host.get(host)
        if link is not None:
            return link
        if self._closed or self._clock() < self._retry_at.get(host, 0.0):
            return None
        return self._open(host)

    def check(self) -> None:
        """Ping quiet links, break silent ones, and try to reach lost hosts again."""
        for link in list(self.by_host.values()):
            if link.check():
                self._ping(link)
        if not self._closed:
            self._probe_unreachable()

    def try_lost(self, host: str) -> None:
        """Try at once to reach a host if it is lost, without waiting for its turn."""
        is_lost = host in self._hosts.unreachable and host not in self.by_host
        if is_lost and not self._closed:
            self._ping(self._open(host))

    def close_idle(self) -> None:
        """Close links that have not been used for a while."""
        now = self._clock()
        for link in list(self.by_host.values()):
            if not link.open_calls and now - link.last_used_at > LINK_IDLE_SECONDS:
                del self.by_host[link.host]
                link.close()

    def close(self) -> None:
        """Close all links, and open none from now on."""
        self._closed = True
        # Requests whose calls break off may look for a link to another host.
        links, self.by_host = self.by_host, {}
        for link in links.values():
            link.close()

    def _probe_unreachable(self) -> None:
        """Try to reach lost hosts; they get calls again once they answer a ping.

        A connection alone proves nothing: the kernel accepts it for a process that is
        frozen. The other node closes one on which it receives nothing.
        """
        now = self._clock()
        due = []
        for host in self._hosts.unreachable:
            link = self.by_host.get(host)
            if link is None and self._retry_at.get(host, 0.0) <= now:
                due.append(host)
            elif link is not None and not link.is_awaiting:
                self._ping(link)
        due.sort(key=lambda host: self._retry_at.get(host, 0.0))
        for host in due[:PROBES_PER_CHECK]:
            self._ping(self._open(host))

    def _open(self, host: str) -> PeerLink:
        self._retry_at.pop(host, None)
        link = PeerLink(
            host,
            self._port,
            self._clock,
            self._counters,
            self._memory,
            self._on_pong,
            self._on_down,
        )
        self.by_host[host] = link
        link.open()
        return link

    def _on_down(self, host: str, cause: str, open_calls: int, was_reset: bool) -> None:
        self.by_host.pop(host, None)
        was_reachable = host not in self._hosts.unreachable
        if was_reset and was_reachable:
            # The host answers: its node may have ended, or only the connection has.
            self._counters.add("peer_links", reason="reset")
            self._ping(self._open(host))
            return
        if was_reachable:
            fields = {"host": host, "cause": cause, "open_calls": open_calls}
            LOGGER.info("link to node lost", extra=fields)
        if self._hosts.record_lost(host):
            self._retry_at[host] = self._clock() + RECONNECT_DELAY_SECONDS
