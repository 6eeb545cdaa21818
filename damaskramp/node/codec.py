"""Conversion between calls or replies and their protobuf messages."""

from collections.abc import AsyncIterator

from damaskramp.admission import Load
from damaskramp.core import (
    BundleVersion,
    HostId,
    Incarnation,
    KeyDigest,
    Outcome,
    Reason,
    RequestId,
    ServiceName,
    TeamId,
    ZoneName,
)
from damaskramp.http import Headers, HttpRequest
from damaskramp.node.calls import Call, CallContext, HomeIdentity, Reply
from damaskramp.wire import peer_pb2

__all__ = ["decode_call", "decode_head", "encode_call", "encode_head"]

OUTCOMES = {
    Outcome.ANSWER: peer_pb2.OUTCOME_ANSWER,
    Outcome.NOT_RUN: peer_pb2.OUTCOME_NOT_RUN,
    Outcome.UNKNOWN: peer_pb2.OUTCOME_UNKNOWN,
    Outcome.IN_PROGRESS: peer_pb2.OUTCOME_IN_PROGRESS,
}
OUTCOMES_DECODED = {code: outcome for outcome, code in OUTCOMES.items()}


def encode_call(call: Call, now: float) -> peer_pb2.ExecuteRequest:
    """Encode a call; its deadline is sent as remaining time.

    The receiver may have another clock. `now` is the monotonic time in seconds.
    """
    context = call.context
    remaining = max(0, int((context.deadline - now) * 1000))
    return peer_pb2.ExecuteRequest(
        context=peer_pb2.CallContext(
            request_id=context.request_id,
            team=context.team,
            key_digest=bytes.fromhex(context.key_digest),
            service=context.service,
            route=context.route,
            priority=context.priority,
            idempotent=context.idempotent,
            remaining_ms=remaining,
            retries_left=context.retries_left,
            depth=context.depth,
            bundle_version=context.bundle_version,
            entry_host=context.entry_host,
            entry_zone=context.entry_zone,
            attempt=context.attempt,
            deaths=context.deaths,
            claim=context.claim,
            home_host=context.home.host,
            home_incarnation=context.home.incarnation,
            home_zone=context.home.zone,
        ),
        method=call.request.method,
        target=call.request.target,
        headers=_encode_headers(call.request.headers),
        body=call.request.body,
    )


def decode_call(message: peer_pb2.ExecuteRequest, now: float) -> Call:
    """Decode a call, with its deadline on this host's clock.

    `now` is the monotonic time in seconds.
    """
    context = message.context
    request = HttpRequest(
        message.method,
        message.target,
        _decode_headers(message.headers),
        message.body,
    )
    return Call(
        CallContext(
            request_id=RequestId(context.request_id),
            team=TeamId(context.team),
            key_digest=KeyDigest(context.key_digest.hex()),
            service=ServiceName(context.service),
            route=context.route,
            priority=context.priority,
            idempotent=context.idempotent,
            deadline=now + context.remaining_ms / 1000,
            retries_left=context.retries_left,
            depth=context.depth,
            bundle_version=BundleVersion(context.bundle_version),
            entry_host=HostId(context.entry_host),
            entry_zone=ZoneName(context.entry_zone),
            attempt=context.attempt,
            deaths=context.deaths,
            claim=context.claim,
            home=HomeIdentity(
                HostId(context.home_host),
                Incarnation(context.home_incarnation),
                ZoneName(context.home_zone),
            ),
        ),
        request,
    )


def encode_head(reply: Reply) -> peer_pb2.ExecuteReply:
    """Encode the first message of a reply."""
    head = peer_pb2.ReplyHead(
        outcome=OUTCOMES[reply.outcome],
        reason=reply.reason.value,
        status=reply.status,
        headers=_encode_headers(reply.headers),
        body=reply.body,
        more=reply.tail is not None,
        retries_left=reply.retries_left,
        retry_after_ms=int(reply.retry_after * 1000),
        death_ms=reply.death_ms,
    )
    if reply.load is not None:
        head.load.in_flight = reply.load.in_flight
        head.load.limit = reply.load.limit
        head.load.queued = reply.load.queued
        head.load.shed_level = reply.load.shed_level
        head.load.leaving = reply.load.leaving
    return peer_pb2.ExecuteReply(head=head)


def decode_head(
    head: peer_pb2.ReplyHead, tail: AsyncIterator[bytes] | None = None
) -> Reply:
    """Decode the first message of a reply.

    An outcome that this version doesn't know is decoded as unknown.
    """
    load = None
    if head.HasField("load"):
        load = Load(
            head.load.in_flight,
            head.load.limit,
            head.load.queued,
            head.load.shed_level,
            head.load.leaving,
        )
    return Reply(
        outcome=OUTCOMES_DECODED.get(head.outcome, Outcome.UNKNOWN),
        reason=_decode_reason(head.reason),
        status=head.status,
        headers=_decode_headers(head.headers),
        body=head.body,
        tail=tail,
        retries_left=head.retries_left,
        retry_after=head.retry_after_ms / 1000,
        load=load,
        death_ms=head.death_ms,
    )


def _decode_reason(value: str) -> Reason:
    try:
        return Reason(value)
    except ValueError:
        return Reason.NONE


def _encode_headers(headers: Headers) -> list[peer_pb2.Header]:
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _decode_headers(headers: list[peer_pb2.Header]) -> Headers:
    return tuple((header.name, header.value) for header in headers)
