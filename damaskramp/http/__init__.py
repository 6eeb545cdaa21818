"""HTTP/1.1 server for callers and client for backend servers, based on h11."""

from damaskramp.http.client import HttpClient, TransportError, TransportErrorKind
from damaskramp.http.closing import close_lingering, discard_on_close
from damaskramp.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    is_status,
    split_target,
)
from damaskramp.http.server import Handler, HttpServer, HttpServerSettings

__all__ = [
    "Handler",
    "Headers",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "HttpServerSettings",
    "IncompleteResponseError",
    "TransportError",
    "TransportErrorKind",
    "close_lingering",
    "discard_on_close",
    "is_status",
    "split_target",
]
