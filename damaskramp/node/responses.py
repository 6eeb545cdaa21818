"""HTTP responses for the replies to callers."""

import math
from http import HTTPStatus

import orjson

from damaskramp.core import STATUS_BY_REASON, Outcome, Reason, RequestId
from damaskramp.http import HttpResponse
from damaskramp.node.calls import Reply
from damaskramp.node.fields import (
    OUTCOME,
    REASON,
    REQUEST_ID,
    RETRY_AFTER,
    end_to_end,
    strip_private,
)

__all__ = ["refuse_unreadable", "to_http"]

TOO_LARGE_STATUSES = frozenset({413, 431})


def to_http(reply: Reply, request_id: RequestId | None = None) -> HttpResponse:
    """Return the HTTP response for a reply.

    An answer keeps the backend server's status, header fields and body. Any other
    reply becomes a small JSON document with a stable code.
    """
    node_headers = [(OUTCOME, reply.outcome.value.encode())]
    if request_id:
        node_headers.append((REQUEST_ID, request_id.encode()))
    if reply.outcome is Outcome.ANSWER:
        headers = strip_private(end_to_end(reply.headers)) + tuple(node_headers)
        return HttpResponse(reply.status, headers, reply.body, reply.tail)
    node_headers.append((REASON, reply.reason.value.encode()))
    node_headers.append((b"content-type", b"application/json"))
    if reply.retry_after > 0:
        node_headers.append((RETRY_AFTER, b"%d" % math.ceil(reply.retry_after)))
    if STATUS_BY_REASON[reply.reason] == 401:
        node_headers.append((b"www-authenticate", b"Bearer"))
    return HttpResponse(
        STATUS_BY_REASON[reply.reason], tuple(node_headers), _encode_body(reply)
    )


def refuse_unreadable(status: int, detail: str) -> HttpResponse:
    """Return a response for an unreadable request, with the HTTP server's status."""
    reason = Reason.TOO_LARGE if status in TOO_LARGE_STATUSES else Reason.BAD_REQUEST
    reason = Reason.OVERLOADED if status == HTTPStatus.SERVICE_UNAVAILABLE else reason
    response = to_http(Reply.not_run(reason, detail=detail))
    return HttpResponse(status, response.headers, response.body)


def _encode_body(reply: Reply) -> bytes:
    document = {"outcome": reply.outcome.value, "code": reply.reason.value}
    if reply.detail:
        document["detail"] = reply.detail
    if reply.retry_after > 0:
        document["retry_after_seconds"] = round(reply.retry_after, 3)
    return orjson.dumps(document)
