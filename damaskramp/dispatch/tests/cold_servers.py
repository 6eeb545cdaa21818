"""Cold and warm servers, and the count of the requests that they read."""

from damaskramp.dispatch import (
    ColdServer,
    HealthAnswer,
    WarmupSettings,
)
from damaskramp.fleet import BackendServer, Revision, ServerId, ServiceWarmup

RATE = 5.5
WARMUP = ServiceWarmup(RATE, 3.0, "/health")
SETTINGS = WarmupSettings(1.5, 8.0)


def entry(started=1, name="i-1", warmup=3.0):
    return BackendServer(
        ServerId(name),
        "svc",
        "10.0.0.1:80",
        "z",
        8,
        False,
        warmup,
        started,
        Revision(1),
    )


def most_in_second(times):
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def cold_server(now=0.0, warmup=WARMUP, settings=SETTINGS):
    server = ColdServer(settings, now)
    server.configure(warmup)
    return server


def warm_server(now=10.0):
    """Server that a health check has found warm, long after the node's start."""
    server = cold_server(now=now - 10.0)
    server.record_health(HealthAnswer(ServerId("i-1"), 0.0), now - 5.0, now - 5.0)
    return server
