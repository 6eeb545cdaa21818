"""Client for callers, which sends requests under request ids and retries them."""

from damaskramp.client.caller import Caller, CallerSettings, HttpTransport, Transport
from damaskramp.client.results import CallResult, read_result

__all__ = [
    "CallResult",
    "Caller",
    "CallerSettings",
    "HttpTransport",
    "Transport",
    "read_result",
]
