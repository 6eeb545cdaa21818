"""Server side of membership, broadcast and ownership."""

from grpclib.server import Stream

from damaskramp.node.gossip import GossipController
from damaskramp.node.ownership_codec import decode_ask, encode_ack
from damaskramp.ownership import AcknowledgedOwnership
from damaskramp.wire.membership_grpc import GossiperBase
from damaskramp.wire.membership_pb2 import IndirectAnswer

__all__ = ["GossipService"]


class GossipService(GossiperBase):
    """Service that answers gossip messages of other nodes.

    Parameters
    ----------
    controller : GossipController
        Membership and broadcast of this node.
    ownership : AcknowledgedOwnership
        Ownership of this node.
    """

    def __init__(
        self, controller: GossipController, ownership: AcknowledgedOwnership
    ) -> None:
        self._controller = controller
        self._ownership = ownership

    async def Probe(self, stream: Stream) -> None:
        """Answer a probe."""
        message = await stream.recv_message()
        answer = self._controller.protocol.receive_probe(message)
        await stream.send_message(answer)

    async def ProbeFor(self, stream: Stream) -> None:
        """Probe a member on behalf of the sender."""
        message = await stream.recv_message()
        self._controller.protocol.receive_answer(message.gossip)
        answered = await self._controller.probe_for(message.host, message.peer)
        await stream.send_message(IndirectAnswer(answered=answered))

    async def Sync(self, stream: Stream) -> None:
        """Answer a sync request with the entries that the sender lacks."""
        request = await stream.recv_message()
        await stream.send_message(self._controller.protocol.receive_sync(request))

    async def Acknowledge(self, stream: Stream) -> None:
        """Acknowledge an incarnation of another node."""
        ask = decode_ask(await stream.recv_message())
        await stream.send_message(encode_ack(self._ownership.receive_ask(ask)))
