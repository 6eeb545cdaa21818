"""Conversion between the messages of lenders and borrowers and their protobuf form."""

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

MILLISECONDS_PER_SECOND = 1000


def encode_ask(ask: Ask) -> quota_pb2.AskRequest:
    """Encode an ask."""
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
    """Decode an ask."""
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
    """Encode an answer."""
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
    """Decode an answer."""
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
    """Encode a handover."""
    leases = [
        quota_pb2.HandedLease(
            host=lease.host,
            incarnation=lease.incarnation,
            lease=lease.lease,
            rate=_round_up(lease.rate),
            capacity=_round_up(lease.capacity),
            milliseconds=math.ceil(lease.seconds * MILLISECONDS_PER_SECOND),
        )
        for lease in handover.leases
    ]
    return quota_pb2.HandoverRequest(
        host=handover.host,
        incarnation=handover.incarnation,
        to_incarnation=handover.to_incarnation,
        team=handover.team,
        order=_encode_order(handover.order),
        level=_round_down(handover.level),
        rate=_round_down(handover.rate),
        burst=_round_down(handover.burst),
        leases=leases,
    )


def decode_handover(message: quota_pb2.HandoverRequest) -> Handover:
    """Decode a handover."""
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
                lease.milliseconds / MILLISECONDS_PER_SECOND,
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
            level=_round_up(holding.level),
            rate=_round_down(holding.rate),
            capacity=_round_down(holding.capacity),
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
            amount=_round_down(grant.amount),
            rate=_round_down(grant.rate),
            capacity=_round_down(grant.capacity),
            milliseconds=int(grant.seconds * MILLISECONDS_PER_SECOND),
            source="" if grant.source == zone else grant.source,
        )
        for grant in answer.grants
    ]
    wait = int(answer.wait * MILLISECONDS_PER_SECOND)
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
            grant.milliseconds / MILLISECONDS_PER_SECOND,
            ZoneName(grant.source) or zone,
        )
        for grant in message.grants
    )
    wait = message.wait_ms / MILLISECONDS_PER_SECOND
    return TeamAnswer(TeamId(message.team), grants, wait, message.settled)


def _round_down(value: float) -> float:
    """Round down to single precision, so that rounding creates no permits."""
    rounded = np.float32(value)
    if float(rounded) > value:
        rounded = np.nextafter(rounded, np.float32(-np.inf))
    return float(rounded)


def _round_up(value: float) -> float:
    """Round up to single precision, so that rounding hides no part of a holding."""
    rounded = np.float32(value)
    if float(rounded) < value:
        rounded = np.nextafter(rounded, np.float32(np.inf))
    return float(rounded)
