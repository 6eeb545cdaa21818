"""Header names and paths that the platform defines."""

from damaskramp.relay.headers import HeaderNames

__all__ = ["PLATFORM_HEADERS", "READINESS_PATH"]

PLATFORM_HEADERS = HeaderNames(
    request_id=b"X-Request-Id",
    deadline_ms=b"X-Timeout-Ms",
    key=b"Authorization",
    key_scheme=b"Token ",
    team=b"X-Tenant",
    calling_service=b"X-Caller-Service",
    expected_server=b"X-Expected-Instance",
    not_executed=b"X-Not-Executed",
    load=b"X-Server-Load",
    signature=b"X-Response-Signature",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    server_id=b"X-Instance-Id",
    warmup_ms=b"X-Warmup-Ms",
)

READINESS_PATH = b"/v1/ready"
