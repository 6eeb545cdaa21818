"""Metrics of the node."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from damaskramp.core import Section
from damaskramp.node.calls import CallContext, Reply

__all__ = ["Telemetry"]

LATENCY_BUCKETS_SECONDS = [
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
]


class Telemetry:
    """Metrics of one node, in their own registry.

    Parameters
    ----------
    classes : Section of tuple of str
        Names of the priority classes in force, by rank.
    """

    def __init__(self, classes: Section[tuple[str, ...]]) -> None:
        self._classes = classes
        self._registry = Registry()
        self._requests = self._counter(
            "damaskramp_requests_total",
            "Requests from outside and from the backend server, by what was told.",
        )
        self._executions = self._counter(
            "damaskramp_executions_total",
            "Calls handed to the backend server of this host, by what became of them.",
        )
        self._refusals = self._counter(
            "damaskramp_refusals_total", "Requests refused before they had a route."
        )
        self._events = self._counter(
            "damaskramp_events_total", "Changes of state and other events, by name."
        )
        self._seconds = Histogram(
            "damaskramp_request_seconds",
            "Time from a request's arrival to its answer.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._values = Gauge(
            "damaskramp_value", "Current values, by name.", registry=self._registry
        )

    @property
    def registry(self) -> Registry:
        """Registry of all metrics, for rendering."""
        return self._registry

    def answered(self, context: CallContext, reply: Reply, seconds: float) -> None:
        """Count the reply that a caller got, and its time in seconds."""
        labels = self._labels(context)
        self._seconds.observe(labels, seconds)
        self._requests.inc({**labels, **_outcome_labels(reply)})

    def executed(self, context: CallContext, reply: Reply) -> None:
        """Count a call to this host's backend server, by its outcome."""
        self._executions.inc({**self._labels(context), **_outcome_labels(reply)})

    def refused(self, reply: Reply) -> None:
        """Count a request that was refused before it was routed."""
        self._refusals.inc({"reason": reply.reason.value})

    def event(self, name: str) -> None:
        """Count an event."""
        self._events.inc({"event": name})

    def value(self, name: str, value: float) -> None:
        """Set the gauge with this name."""
        self._values.set({"name": name}, value)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _labels(self, context: CallContext) -> dict[str, str]:
        classes = self._classes.value
        rank = context.priority
        return {
            "service": context.service,
            "team": context.team or "none",
            "priority": classes[rank] if rank < len(classes) else str(rank),
            "origin": "inside" if context.depth else "outside",
        }


def _outcome_labels(reply: Reply) -> dict[str, str]:
    return {
        "outcome": reply.outcome.value,
        "reason": reply.reason.value,
        "status": str(reply.status),
    }
