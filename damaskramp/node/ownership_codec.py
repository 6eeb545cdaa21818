"""Conversion between ownership messages and their protobuf form."""

from damaskramp.core import HostId, Incarnation
from damaskramp.ownership import Ack, Ask, KnownHost
from damaskramp.wire import membership_pb2

__all__ = ["decode_ack", "decode_ask", "encode_ack", "encode_ask"]

MILLISECONDS_PER_SECOND = 1000


def encode_ask(ask: Ask) -> membership_pb2.OwnershipAsk:
    """Encode an ask."""
    return membership_pb2.OwnershipAsk(
        host=ask.host,
        incarnation=ask.incarnation,
        peer=ask.peer,
        view_digest=ask.view_digest,
        asked_at=ask.asked_at,
    )


def decode_ask(message: membership_pb2.OwnershipAsk) -> Ask:
    """Decode an ask."""
    return Ask(
        HostId(message.host),
        Incarnation(message.incarnation),
        message.peer,
        message.view_digest,
        message.asked_at,
    )


def encode_ack(ack: Ack | None) -> membership_pb2.OwnershipAck:
    """Encode an acknowledgement; None becomes an empty message."""
    if ack is None:
        return membership_pb2.OwnershipAck()
    return membership_pb2.OwnershipAck(
        host=ack.host,
        incarnation=ack.incarnation,
        peer=ack.peer,
        active=ack.active,
        listed=ack.listed,
        acknowledged=ack.acknowledged,
        asked_at=ack.asked_at,
        view=[_encode_known_host(known_host) for known_host in ack.view],
    )


def decode_ack(message: membership_pb2.OwnershipAck) -> Ack | None:
    """Decode an acknowledgement; None if the other node refused it."""
    if not message.acknowledged:
        return None
    return Ack(
        HostId(message.host),
        Incarnation(message.incarnation),
        message.peer,
        message.active,
        message.listed,
        Incarnation(message.acknowledged),
        message.asked_at,
        tuple(
            KnownHost(
                HostId(entry.host), entry.peer, entry.age_ms / MILLISECONDS_PER_SECOND
            )
            for entry in message.view
        ),
    )


def _encode_known_host(known_host: KnownHost) -> membership_pb2.Sighting:
    age_ms = max(0, int(known_host.age * MILLISECONDS_PER_SECOND))
    return membership_pb2.Sighting(
        host=known_host.host, peer=known_host.peer, age_ms=age_ms
    )
