"""HTTP/1.1 by h11: a server for callers and a client for backend servers."""

from damaskramp.http.client import HttpClient, TransportError, TransportErrorKind
from damaskramp.http.closing import close_lingering
from damaskramp.http.messages import (
    BrokenAnswerError,
    Headers,
    HttpRequest,
    HttpResponse,
    split_target,
)
from damaskramp.http.server import Handler, HttpServer, HttpServerSettings

__all__ = [
    "BrokenAnswerError",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "HttpServerSettings",
    "TransportError",
    "TransportErrorKind",
    "close_lingering",
    "split_target",
]
