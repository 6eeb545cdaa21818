"""Request in the form sent to the backend server, written once by the entry node."""

import xxhash

from damaskramp.core import ServiceName, TeamId
from damaskramp.fleet import ServerId
from damaskramp.relay.caller_request import CallerRequest
from damaskramp.relay.headers import HeaderNames, without_fields
from damaskramp.relay.messages import FRAGMENT_BYTES

__all__ = ["OutgoingHeaders", "OutgoingRequest"]

BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
"""Methods whose requests need no Content-Length if they have no body."""


class OutgoingHeaders:
    """Header fields that this node sets on every request.

    Parameters
    ----------
    service : ServiceName
        Service of this host, which the requests come from.
    """

    def __init__(self, names: HeaderNames, service: ServiceName) -> None:
        self.names = names
        self.service = service.encode()


class OutgoingRequest:
    """Head and fingerprint of one request.

    The fingerprint is a hash of team, calling service, method, target and body.

    Parameters
    ----------
    team : TeamId or None
        Team of the caller's key; None if the request has no key.
    """

    __slots__ = ("_head", "fingerprint")

    def __init__(
        self, request: CallerRequest, headers: OutgoingHeaders, team: TeamId | None
    ) -> None:
        names = headers.names
        fields = request.fields
        if request.connection_options:
            fields = without_fields(fields, request.connection_options)
        parts = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target), fields]
        parts.append(b"%b: %b\r\n" % (names.calling_service, headers.service))
        team_name = team.encode() if team is not None else b""
        if team_name:
            parts.append(b"%b: %b\r\n" % (names.team, team_name))
        if request.body or request.method not in BODILESS_METHODS:
            parts.append(b"Content-Length: %d\r\n" % len(request.body))
        parts.append(names.expected_server + b": ")
        self._head = b"".join(parts)
        fingerprint_parts = (
            team_name,
            headers.service,
            request.method,
            request.target,
        )
        self.fingerprint = _fingerprint(b"\0".join(fingerprint_parts), request.body)

    def head_for(self, server: ServerId) -> bytes:
        """Build the head for a server, without the deadline and the blank line."""
        return b"%b%b\r\n" % (self._head, server.encode())


def _fingerprint(fields: bytes, body: bytes | bytearray) -> int:
    """Hash the fields and the body, without a copy of a large body."""
    if len(body) <= FRAGMENT_BYTES:
        return xxhash.xxh3_64_intdigest(b"%b\0%b" % (fields, body))
    digest = xxhash.xxh3_64(fields + b"\0")
    digest.update(body)
    return digest.intdigest()
