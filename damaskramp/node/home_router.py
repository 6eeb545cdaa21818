"""Routing of non-idempotent calls from the entry node to the home of their id."""

from damaskramp.config import NodeSettings
from damaskramp.core import Reason, Section, ZoneName
from damaskramp.dedup import (
    IssuedId,
    OwnId,
    RequestIdIssuer,
    claim_key,
    parse_request_id,
    resource_of,
)
from damaskramp.membership import MemberState, MemberTable
from damaskramp.node.calls import Reply
from damaskramp.node.home import Home
from damaskramp.node.home_messages import (
    HomeCall,
    HomeMessages,
    unreachable,
)
from damaskramp.ownership import Ownership, rank_members

__all__ = ["HomeRouter"]


class HomeRouter:
    """Sends calls to the homes of their request ids.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    members : Section of MemberTable
        Known members of the fleet.
    ownership : Ownership
        Owners of resources within the zone.
    id_issuer : RequestIdIssuer
        Issuer of request ids homed at this node.
    home : Home
        Home at this node.
    messages : HomeMessages
        Messages to homes at other nodes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        members: Section[MemberTable],
        ownership: Ownership,
        id_issuer: RequestIdIssuer,
        home: Home,
        messages: HomeMessages,
    ) -> None:
        self._settings = settings
        self._members = members
        self._ownership = ownership
        self._id_issuer = id_issuer
        self._home = home
        self._messages = messages

    async def run(self, home_call: HomeCall) -> Reply:
        """Ask the home of the call's request id to answer or to release the call."""
        parsed = parse_request_id(home_call.call.context.request_id)
        if parsed.is_error():
            return Reply.not_run(Reason.BAD_REQUEST, detail=parsed.error)
        if isinstance(parsed.ok, IssuedId):
            return await self._run_issued(home_call, parsed.ok)
        return await self._run_own(home_call, parsed.ok)

    async def _run_issued(self, home_call: HomeCall, issued: IssuedId) -> Reply:
        if issued.host == self._settings.node.host:
            return await self._home.run(home_call)
        member = self._members.value.get(issued.host)
        if member is None:
            return unreachable(home_call.first_attempt)
        return await self._send(member.peer, home_call)

    async def _run_own(self, home_call: HomeCall, own_id: OwnId) -> Reply:
        key = claim_key(home_call.scope, own_id.text)
        zone = self._home.zones.home(own_id, key)
        if zone is None:
            return unreachable(home_call.first_attempt)
        if zone != self._settings.node.zone:
            peer = self._peer_in(zone, resource_of(key))
        else:
            owner = self._ownership.owner(resource_of(key))
            if owner is not None and owner.host == self._settings.node.host:
                return await self._home.run(home_call)
            peer = owner.peer if owner else None
        if peer is None:
            return unreachable(home_call.first_attempt)
        return await self._send(peer, home_call)

    def _peer_in(self, zone: ZoneName, resource: str) -> str | None:
        members = self._members.value.in_zone(zone)
        available = [m for m in members if m.state is not MemberState.LEAVING]
        ranked = rank_members(available, resource)
        return ranked[0].peer if ranked else None

    async def _send(self, peer: str, home_call: HomeCall) -> Reply:
        reply = await self._messages.run(peer, home_call)
        return unreachable(home_call.first_attempt) if reply is None else reply
