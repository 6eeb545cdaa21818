"""Following the platform's list of hosts."""

import asyncio

from damaskramp.config import NodeSettings
from damaskramp.core import HostId, Section, ServiceName, ZoneName
from damaskramp.membership import Member, MemberState, MemberTable
from damaskramp.node.telemetry import Telemetry
from damaskramp.platform import HostList, ListedHost

__all__ = ["HostWatch"]


class HostWatch:
    """Controller of the blackboard's members section.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    section : Section of MemberTable
        Section that it writes.
    hosts : HostList
        Published list.
    telemetry : Telemetry
        Counters.
    """

    def __init__(
        self,
        settings: NodeSettings,
        section: Section[MemberTable],
        hosts: HostList,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._section = section
        self._hosts = hosts
        self._telemetry = telemetry

    async def run(self) -> None:
        """Poll for ever; the last list read stays while the platform is down."""
        while True:
            answer = await self._hosts.read()
            if answer.is_ok():
                self._section.replace(MemberTable(_member(h) for h in answer.ok))
                self._telemetry.value("members", len(self._section.value))
            else:
                self._telemetry.event("host_list_unreadable")
            await asyncio.sleep(self._settings.platform.hosts_poll_seconds)


def _member(listed: ListedHost) -> Member:
    leaving = listed.state == "leaving"
    return Member(
        HostId(listed.host),
        ZoneName(listed.zone),
        listed.peer,
        ServiceName(listed.service),
        MemberState.LEAVING if leaving else MemberState.LIVE,
    )
