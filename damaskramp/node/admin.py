"""Administration endpoint of the node: metrics, status and health."""

from collections.abc import Callable

import orjson
from aioprometheus import render

from damaskramp.http import HttpRequest, HttpResponse, split_target
from damaskramp.node.telemetry import Telemetry

__all__ = ["Admin"]

JSON_HEADERS = ((b"content-type", b"application/json"),)
TEXT_HEADERS = ((b"content-type", b"text/plain; charset=utf-8"),)


class Admin:
    """Handler of ``/metrics``, ``/status``, ``/slo`` and ``/healthz``.

    Parameters
    ----------
    telemetry : Telemetry
        Metrics to render.
    status : callable
        Function that returns the status document.
    objectives : callable
        Function that returns the document of service-level indicators.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        status: Callable[[], dict],
        objectives: Callable[[], dict],
    ) -> None:
        self._telemetry = telemetry
        self._status = status
        self._objectives = objectives

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path, _ = split_target(request.target)
        if request.method != "GET":
            return HttpResponse(405, (*TEXT_HEADERS, (b"allow", b"GET")), b"only GET\n")
        if path == "/metrics":
            return self._metrics(request)
        if path == "/status":
            return HttpResponse(200, JSON_HEADERS, orjson.dumps(self._status()))
        if path == "/slo":
            return HttpResponse(200, JSON_HEADERS, orjson.dumps(self._objectives()))
        if path == "/healthz":
            serving = self._status()["state"] == "serving"
            return HttpResponse(200 if serving else 503, TEXT_HEADERS, b"")
        return HttpResponse(
            404, TEXT_HEADERS, b"try /metrics, /status, /slo or /healthz\n"
        )

    def _metrics(self, request: HttpRequest) -> HttpResponse:
        accepts = [value.decode("latin-1") for value in request.values(b"accept")]
        content, headers = render(self._telemetry.registry, accepts)
        fields = tuple(
            (name.lower().encode(), value.encode()) for name, value in headers.items()
        )
        return HttpResponse(200, fields, content)
