"""Identification of the caller of a request by its key or context token."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from damaskramp.bundle import BundleView, Route, key_digest
from damaskramp.core import KeyDigest, Reason, TeamId
from damaskramp.http import HttpRequest
from damaskramp.node.calls import Reply
from damaskramp.node.contexts import ContextTable, RunningContext
from damaskramp.node.fields import (
    CONTEXT,
    holds_misplaced,
    presented_keys,
    words_outside_key_fields,
)

__all__ = ["Caller", "identify"]


@dataclass(frozen=True, slots=True)
class Caller:
    """Caller of a request.

    Attributes
    ----------
    team : TeamId
        Team of the caller; empty for a caller without a key on an open route.
    parent : RunningContext or None
        Running call that makes this one; None for a call from outside the fleet.
    """

    team: TeamId
    key_digest: KeyDigest
    parent: RunningContext | None = None


def identify(
    request: HttpRequest, route: Route, view: BundleView, contexts: ContextTable
) -> Result[Caller, Reply]:
    """Identify the caller of a request.

    Returns
    -------
    Result
        The caller, or the refusal to return to it.
    """
    keys = presented_keys(request)
    refusal = _refuse_misplaced_key(request, keys, view)
    if refusal is not None:
        return Error(refusal)
    token = request.value(CONTEXT)
    if token is not None:
        return _identify_by_token(token, contexts)
    if len(keys) > 1:
        return _refuse(Reason.BAD_REQUEST, "more than one key")
    if not keys:
        if route.open:
            return Ok(Caller(TeamId(""), KeyDigest("")))
        return _refuse(Reason.KEY_MISSING, "this route needs a key")
    return _identify_by_key(key_digest(keys[0]), route, view)


def _refuse(reason: Reason, detail: str) -> Result[Caller, Reply]:
    return Error(Reply.not_run(reason, detail=detail))


def _identify_by_token(token: bytes, contexts: ContextTable) -> Result[Caller, Reply]:
    parent = contexts.find(token.decode("latin-1"))
    if parent is None:
        return _refuse(Reason.CONTEXT_UNKNOWN, "no running call has this token")
    context = parent.context
    return Ok(Caller(context.team, context.key_digest, parent))


def _identify_by_key(
    digest: KeyDigest, route: Route, view: BundleView
) -> Result[Caller, Reply]:
    team = view.team_of(digest)
    if team is not None:
        return Ok(Caller(team, digest))
    if route.open:
        return Ok(Caller(TeamId(""), KeyDigest("")))
    if digest in view.withdrawn:
        return _refuse(Reason.KEY_WITHDRAWN, "this key has been withdrawn")
    return _refuse(Reason.KEY_UNKNOWN, "no team has this key")


def _refuse_misplaced_key(
    request: HttpRequest, keys: list[bytes], view: BundleView
) -> Reply | None:
    """Return a refusal if a key is outside its header field, else None.

    A key outside its field would reach the backend server.
    """
    repeats_presented_key = any(key and holds_misplaced(request, key) for key in keys)
    is_misplaced = repeats_presented_key or any(
        view.is_key(key_digest(word)) for word in words_outside_key_fields(request)
    )
    if not is_misplaced:
        return None
    detail = "a key stands outside its header field"
    return Reply.not_run(Reason.KEY_MISPLACED, detail=detail)
