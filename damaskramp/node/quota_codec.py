"""Conversion between what borrowers and lenders tell each other and messages."""

import math

import numpy as np

from damaskramp.core import HostId, Incarnation, TeamId, ZoneName
from damaskramp.quota import (
    Answer,
    Ask,
    Grant,
    HandedLease,
    Handover,
    Holding,
    TeamAnswer,
    TeamAsk,
)
from damaskramp.quota.messages import BundleOrder
from damaskramp.wire import quota_pb2

__all__ = [
    "decode_answer",
    "decode_ask",
    "decode_handover",
    "encode_answer",
    "encode_ask",
    "encode_handover",
]

MILLISECONDS = 1000


def encode_ask(ask: Ask) -> quota_pb2.AskRequest:
    """Message for an ask."""
    return quota_pb2.AskRequest(
        host=ask.host,
        incarnation=ask.incarnation,
        zone=ask.zone,
        number=ask.number,
        order=_encode_order(ask.order),
        teams=[_encode_team(team, ask.zone) for team in ask.teams],
        between_zones=ask.between_zones,
    )


def decode_ask(message: quota_pb2.AskRequest) -> Ask:
    """Ask of a message."""
    zone = ZoneName(message.zone)
    return Ask(
        HostId(message.host),
        Incarnation(message.incarnation),
        zone,
        message.number,
        _decode_order(message.order),
        tuple(_decode_team(team, zone) for team in message.teams),
        message.between_zones,
    )


def encode_answer(answer: Answer) -> quota_pb2.AskReply:
    """Message for an answer."""
    return quota_pb2.AskReply(
        host=answer.host,
        incarnation=answer.incarnation,
        zone=answer.zone,
        to_incarnation=answer.to_incarnation,
        number=answer.number,
        order=_encode_order(answer.order),
        teams=[_encode_answer(team, answer.zone) for team in answer.teams],
    )


def decode_answer(message: quota_pb2.AskReply) -> Answer:
    """Answer of a message."""
    zone = ZoneName(message.zone)
    return Answer(
        HostId(message.host),
        Incarnation(message.incarnation),
        zone,
        Incarnation(message.to_incarnation),
        message.number,
        _decode_order(message.order),
        tuple(_decode_answer(team, zone) for team in message.teams),
    )


def encode_handover(handover: Handover) -> quota_pb2.HandoverRequest:
    """Message for a handover."""
    leases = [
        quota_pb2.HandedLease(
            host=lease.host,
            incarnation=lease.incarnation,
            lease=lease.lease,
            rate=_at_least(lease.rate),
            capacity=_at_least(lease.capacity),
            milliseconds=math.ceil(lease.seconds * MILLISECONDS),
        )
        for lease in handover.leases
    ]
    return quota_pb2.HandoverRequest(
        host=handover.host,
        incarnation=handover.incarnation,
        to_incarnation=handover.to_incarnation,
        team=handover.team,
        order=_encode_order(handover.order),
        level=_at_most(handover.level),
        rate=_at_most(handover.rate),
        burst=_at_most(handover.burst),
        leases=leases,
    )


def decode_handover(message: quota_pb2.HandoverRequest) -> Handover:
    """Handover of a message."""
    return Handover(
        HostId(message.host),
        Incarnation(message.incarnation),
        Incarnation(message.to_incarnation),
        TeamId(message.team),
        _decode_order(message.order),
        message.level,
        message.rate,
        message.burst,
        tuple(
            HandedLease(
                HostId(lease.host),
                Incarnation(lease.incarnation),
                lease.lease,
                lease.rate,
                lease.capacity,
                lease.milliseconds / MILLISECONDS,
            )
            for lease in message.leases
        ),
    )


def _encode_order(order: BundleOrder) -> quota_pb2.BundleOrder:
    return quota_pb2.BundleOrder(version=order[0], digest=bytes.fromhex(order[1]))


def _decode_order(message: quota_pb2.BundleOrder) -> BundleOrder:
    return message.version, message.digest.hex()


def _encode_team(ask: TeamAsk, zone: ZoneName) -> quota_pb2.TeamAsk:
    holdings = [
        quota_pb2.Holding(
            lease=holding.lease,
            level=_at_least(holding.level),
            rate=_at_most(holding.rate),
            capacity=_at_most(holding.capacity),
            source="" if holding.source == zone else holding.source,
        )
        for holding in ask.holdings
    ]
    return quota_pb2.TeamAsk(
        team=ask.team, demand=ask.demand, want=ask.want, holdings=holdings
    )


def _decode_team(message: quota_pb2.TeamAsk, zone: ZoneName) -> TeamAsk:
    holdings = tuple(
        Holding(
            holding.lease,
            holding.level,
            holding.rate,
            holding.capacity,
            ZoneName(holding.source) or zone,
        )
        for holding in message.holdings
    )
    return TeamAsk(TeamId(message.team), message.demand, message.want, holdings)


def _encode_answer(answer: TeamAnswer, zone: ZoneName) -> quota_pb2.TeamAnswer:
    grants = [
        quota_pb2.Grant(
            lease=grant.lease,
            amount=_at_most(grant.amount),
            rate=_at_most(grant.rate),
            capacity=_at_most(grant.capacity),
            milliseconds=int(grant.seconds * MILLISECONDS),
            source="" if grant.source == zone else grant.source,
        )
        for grant in answer.grants
    ]
    wait = int(answer.wait * MILLISECONDS)
    return quota_pb2.TeamAnswer(
        team=answer.team, grants=grants, wait_ms=wait, settled=answer.settled
    )


def _decode_answer(message: quota_pb2.TeamAnswer, zone: ZoneName) -> TeamAnswer:
    grants = tuple(
        Grant(
            grant.lease,
            grant.amount,
            grant.rate,
            grant.capacity,
            grant.milliseconds / MILLISECONDS,
            ZoneName(grant.source) or zone,
        )
        for grant in message.grants
    )
    wait = message.wait_ms / MILLISECONDS
    return TeamAnswer(TeamId(message.team), grants, wait, message.settled)


def _at_most(value: float) -> float:
    """Nearest single-precision number that is no greater: none is made by rounding."""
    near = np.float32(value)
    if float(near) > value:
        near = np.nextafter(near, np.float32(-np.inf))
    return float(near)


def _at_least(value: float) -> float:
    """Nearest single-precision number that is no smaller: a holding is not hidden."""
    near = np.float32(value)
    if float(near) < value:
        near = np.nextafter(near, np.float32(np.inf))
    return float(near)
