"""Names of header fields, and the rules by which fields are passed on."""

from urllib.parse import parse_qsl, unquote_to_bytes

from damaskramp.http import Headers, HttpRequest, split_target

__all__ = [
    "API_KEY",
    "AUTHORIZATION",
    "CONTEXT",
    "FIRST_ATTEMPT",
    "HOME_ZONE",
    "IDEMPOTENCY_KEY",
    "NEXT_REQUEST_ID",
    "OUTCOME",
    "PRIORITY",
    "REASON",
    "REQUEST_ID",
    "RETRY_AFTER",
    "TEAM",
    "TIMEOUT_MS",
    "end_to_end",
    "holds_misplaced",
    "presented_keys",
    "strip_private",
    "words_outside_key_fields",
]

AUTHORIZATION = b"authorization"
API_KEY = b"api-key"
CONTEXT = b"damaskramp-context"
FIRST_ATTEMPT = b"damaskramp-first-attempt"
HOME_ZONE = b"damaskramp-home-zone"
NEXT_REQUEST_ID = b"damaskramp-next-request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
OUTCOME = b"damaskramp-outcome"
PRIORITY = b"damaskramp-priority"
REASON = b"damaskramp-reason"
REQUEST_ID = b"damaskramp-request-id"
RETRY_AFTER = b"retry-after"
TEAM = b"damaskramp-team"
TIMEOUT_MS = b"damaskramp-timeout-ms"

SEPARATORS = bytes.maketrans(b",;=\"'", b"     ")
PRIVATE_PREFIX = b"damaskramp-"
KEY_FIELDS = frozenset({AUTHORIZATION, API_KEY, b"proxy-authorization"})
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def presented_keys(request: HttpRequest) -> list[bytes]:
    """Keys presented in the header fields for keys.

    Examples
    --------
    >>> headers = ((b"authorization", b"Bearer k1"), (b"api-key", b"k2"))
    >>> presented_keys(HttpRequest("GET", "/", headers))
    [b'k1', b'k2']
    """
    keys = []
    for value in request.values(AUTHORIZATION):
        scheme, _, rest = value.strip().partition(b" ")
        keys.append(rest.strip() if scheme.lower() == b"bearer" else value.strip())
    keys += [value.strip() for value in request.values(API_KEY)]
    return keys


def holds_misplaced(request: HttpRequest, key: bytes) -> bool:
    """Whether a key occurs in the body, the target or a field not meant for keys."""
    if key in request.body or key in unquote_to_bytes(request.target):
        return True
    return any(
        key in value or key in name
        for name, value in request.headers
        if name not in KEY_FIELDS
    )


def words_outside_key_fields(request: HttpRequest) -> set[bytes]:
    """Words of the target and of fields not meant for keys.

    A caller may have put a key there by mistake.

    Examples
    --------
    >>> request = HttpRequest("GET", "/a%62/c?d=e", ((b"cookie", b"f=g; h"),))
    >>> sorted(words_outside_key_fields(request))
    [b'ab', b'c', b'd', b'e', b'f', b'f=g;', b'g', b'h']
    """
    path, query = split_target(request.target)
    words = {unquote_to_bytes(part) for part in path.split("/") if part}
    for name, value in parse_qsl(query, keep_blank_values=True):
        words |= {name.encode(), value.encode()}
    for name, value in request.headers:
        if name not in KEY_FIELDS:
            words |= set(value.split())
            words |= set(value.translate(SEPARATORS).split())
    return words


def end_to_end(headers: Headers) -> Headers:
    """Fields to pass on, which are neither hop-by-hop nor named by Connection."""
    named = {
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    )


def strip_private(headers: Headers) -> Headers:
    """Drop the fields for keys and the fields that only this system may set."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in KEY_FIELDS and not name.startswith(PRIVATE_PREFIX)
    )
