"""Recording of the shed levels that executing nodes report to the entry."""

from damaskramp.admission import (
    AdmissionEvent,
    AdmissionEvents,
    EarlyRefusal,
    TrafficClass,
)
from damaskramp.core import HostId
from damaskramp.membership import Member
from damaskramp.node.calls import Call, CallContext, Reply
from damaskramp.node.execution import Executor
from damaskramp.node.peers import PeerClient
from damaskramp.node.telemetry import Telemetry

__all__ = [
    "CountedEvents",
    "LevelRecordingExecutor",
    "LevelRecordingPeers",
    "traffic_class_of",
]


def traffic_class_of(context: CallContext) -> TrafficClass:
    """Return the traffic class whose shed level applies to a call."""
    return TrafficClass(context.service, context.route, context.team)


class CountedEvents(AdmissionEvents):
    """Counts admission events in the counters of the node.

    Parameters
    ----------
    telemetry : Telemetry
        Counters.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def count(self, event: AdmissionEvent) -> None:
        """Count one event."""
        self._telemetry.event(event.value)


class LevelRecordingExecutor:
    """Executor on this host that records the shed levels of its replies.

    Parameters
    ----------
    own : HostId
        This host.
    executor : Executor
        Executor that runs the calls.
    early : EarlyRefusal
        Receiver of the shed levels.
    """

    def __init__(self, own: HostId, executor: Executor, early: EarlyRefusal) -> None:
        self._own = own
        self._executor = executor
        self._early = early

    async def execute(self, call: Call) -> Reply:
        """Run a call on this host."""
        reply = await self._executor.execute(call)
        _record_load(self._early, call, self._own, reply)
        return reply


class LevelRecordingPeers:
    """Client of other hosts that records the shed levels of their replies.

    Parameters
    ----------
    peers : PeerClient
        Client that sends the calls.
    early : EarlyRefusal
        Receiver of the shed levels.
    """

    def __init__(self, peers: PeerClient, early: EarlyRefusal) -> None:
        self._peers = peers
        self._early = early

    async def execute(self, member: Member, call: Call) -> Reply:
        """Run a call on another host."""
        reply = await self._peers.execute(member, call)
        _record_load(self._early, call, member.host, reply)
        return reply


def _record_load(early: EarlyRefusal, call: Call, host: HostId, reply: Reply) -> None:
    if reply.load is not None:
        early.record_load(traffic_class_of(call.context), host, reply.load)
