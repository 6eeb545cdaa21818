"""Polling of the platform's host list."""

import asyncio
from collections.abc import Callable

from damaskramp.config import NodeSettings
from damaskramp.core import HostId, ServiceName, ZoneName
from damaskramp.membership import ListedMember
from damaskramp.node.telemetry import Telemetry
from damaskramp.sources import HostList, ListedHost

__all__ = ["HostWatch"]


class HostWatch:
    """Poller of the host list.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    receive : callable
        Function called with each list that was read.
    hosts : HostList
        Host list that the platform publishes.
    telemetry : Telemetry
        Metrics of the node.
    """

    def __init__(
        self,
        settings: NodeSettings,
        receive: Callable[[list[ListedMember]], None],
        hosts: HostList,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._receive = receive
        self._hosts = hosts
        self._telemetry = telemetry

    async def run(self) -> None:
        """Poll every `hosts_poll_seconds` until cancelled.

        The list that was read last stays valid while the platform is unreachable.
        """
        while True:
            answer = await self._hosts.read()
            if answer.is_ok():
                self._receive([_member(host) for host in answer.ok])
            else:
                self._telemetry.event("host_list_unreadable")
            await asyncio.sleep(self._settings.platform.hosts_poll_seconds)


def _member(listed: ListedHost) -> ListedMember:
    return ListedMember(
        HostId(listed.host),
        ZoneName(listed.zone),
        listed.peer,
        ServiceName(listed.service),
        listed.state == "leaving",
    )
