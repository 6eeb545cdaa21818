"""Request ids, and the outcomes that a node can report without asking the home."""

from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from damaskramp.bundle import BundleView, key_digest
from damaskramp.core import Outcome, Reason, RequestId, TeamId
from damaskramp.dedup import IssuedId, OwnId, RequestIdIssuer, parse_request_id
from damaskramp.http import HttpRequest, HttpResponse
from damaskramp.node.callers import Caller
from damaskramp.node.calls import Reply
from damaskramp.node.fields import (
    FIRST_ATTEMPT,
    HOME_ZONE,
    IDEMPOTENCY_KEY,
    NEXT_REQUEST_ID,
    OUTCOME,
    REQUEST_ID,
    presented_keys,
)
from damaskramp.node.responses import to_http

__all__ = [
    "ISSUE_TARGET",
    "Identity",
    "IssueEndpoint",
    "identify_request",
    "soften",
    "with_next_id",
]

ISSUE_TARGET = "/damaskramp/request-id"


@dataclass(frozen=True, slots=True)
class Identity:
    """Id of a request.

    Attributes
    ----------
    scope : str
        Namespace of the id; equal ids of different scopes are distinct.
    stated : bool
        Whether the caller sent the id, so that earlier attempts may exist.
    first_attempt : bool
        Whether no earlier attempt can exist.
    """

    request_id: RequestId
    scope: str
    stated: bool
    first_attempt: bool


def identify_request(
    request: HttpRequest, caller: Caller, id_issuer: RequestIdIssuer
) -> Result[Identity, Reply]:
    """Return the id that a request states, or a new one homed at this node."""
    scope = _scope(caller)
    stated_ids = request.values(IDEMPOTENCY_KEY)
    if not stated_ids:
        return Ok(Identity(id_issuer.issue(scope), scope, False, True))
    if len(stated_ids) > 1:
        return _refuse("idempotency-key must stand once")
    parsed = _stated_id(stated_ids[0])
    if parsed.is_error():
        return _refuse(f"idempotency-key: {parsed.error}")
    if not caller.team and not isinstance(parsed.ok, IssuedId):
        return _refuse("idempotency-key of a caller's own needs a key")
    return Ok(Identity(parsed.ok.text, scope, True, _is_first_attempt(request)))


def soften(request: HttpRequest, reply: Reply) -> Reply:
    """Return a refusal, with an unknown outcome if a stated id may have run before.

    The refusal comes from a component that does not know the history of the id.
    """
    if reply.outcome is not Outcome.NOT_RUN or _is_first_attempt(request):
        return reply
    stated_ids = request.values(IDEMPOTENCY_KEY)
    if len(stated_ids) != 1 or _stated_id(stated_ids[0]).is_error():
        # Every node refuses a malformed id, so it has run nowhere.
        return reply
    return replace(reply, outcome=Outcome.UNKNOWN)


def with_next_id(response: HttpResponse, next_id: RequestId, zone: str) -> HttpResponse:
    """Return the response with an id for the caller's next request."""
    fields = ((NEXT_REQUEST_ID, next_id.encode()), (HOME_ZONE, zone.encode()))
    return replace(response, headers=response.headers + fields)


class IssueEndpoint:
    """Endpoint that issues request ids to callers with a key.

    Parameters
    ----------
    id_issuer : RequestIdIssuer
        Issuer of request ids homed at this node.
    zone : str
        Zone of this node.
    """

    def __init__(self, id_issuer: RequestIdIssuer, zone: str) -> None:
        self._id_issuer = id_issuer
        self._zone = zone

    def handle(self, request: HttpRequest, view: BundleView | None) -> HttpResponse:
        """Answer a request for an id."""
        team = _identify_team(request, view)
        if team.is_error():
            return to_http(team.error)
        fields = (
            (OUTCOME, Outcome.ANSWER.value.encode()),
            (REQUEST_ID, self._id_issuer.issue(team.ok).encode()),
            (HOME_ZONE, self._zone.encode()),
        )
        return HttpResponse(204, fields)


def _identify_team(
    request: HttpRequest, view: BundleView | None
) -> Result[TeamId, Reply]:
    if view is None:
        return Error(Reply.not_run(Reason.NO_BUNDLE, 1.0))
    if request.method != "POST":
        return Error(Reply.not_run(Reason.NO_ROUTE))
    keys = presented_keys(request)
    if len(keys) != 1:
        reason = Reason.BAD_REQUEST if keys else Reason.KEY_MISSING
        return Error(Reply.not_run(reason, detail="one key is needed"))
    digest = key_digest(keys[0])
    team = view.team_of(digest)
    if team is not None:
        return Ok(team)
    withdrawn = digest in view.withdrawn
    return Error(
        Reply.not_run(Reason.KEY_WITHDRAWN if withdrawn else Reason.KEY_UNKNOWN)
    )


def _scope(caller: Caller) -> str:
    """Return the scope of a caller's ids.

    Ids of the calls that a backend server makes are kept separate from the ids that
    its team uses itself.
    """
    if caller.parent is None:
        return caller.team
    return f"{caller.team}/{caller.parent.context.service}"


def _stated_id(value: bytes) -> Result[IssuedId | OwnId, str]:
    return parse_request_id(value.decode("latin-1").strip('"'))


def _is_first_attempt(request: HttpRequest) -> bool:
    return request.value(FIRST_ATTEMPT) == b"true"


def _refuse(detail: str) -> Result[Identity, Reply]:
    return Error(Reply.not_run(Reason.BAD_REQUEST, detail=detail))
