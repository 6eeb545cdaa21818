"""Service-level indicators of the requests that enter at this node."""

import dataclasses

from damaskramp.bundle import BundleView
from damaskramp.core import Section, TimerService
from damaskramp.node.calls import CallContext, Reply
from damaskramp.slo import EventHistory, Judgement, SeriesKey, judge

__all__ = ["ObjectiveMonitor"]


class ObjectiveMonitor:
    """Monitor that judges requests by the bundle's objectives and counts them.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    bundle : Section of BundleView or None
        Bundle in force.
    """

    def __init__(
        self, timers: TimerService, bundle: Section[BundleView | None]
    ) -> None:
        self._bundle = bundle
        self._history = EventHistory(timers)
        self._latencies: dict[tuple[str, str], float] = {}
        bundle.subscribe(self._update_latencies)

    @property
    def history(self) -> EventHistory:
        """Counts of good and bad requests."""
        return self._history

    def observe(self, context: CallContext, reply: Reply, seconds: float) -> None:
        """Judge and count one request.

        Parameters
        ----------
        context : CallContext
            Context of the request.
        reply : Reply
            Reply that its caller got.
        seconds : float
            Time from arrival to answer.
        """
        view = self._bundle.value
        if view is None:
            return
        classes = view.contents.bundle.classes
        rank = context.priority
        priority = classes[rank] if rank < len(classes) else str(rank)
        latency = self._latency(context.service, priority)
        if latency is None:
            return
        judgement = judge(reply.outcome, reply.reason, reply.status, seconds, latency)
        if judgement is not Judgement.EXCLUDED:
            key = SeriesKey(context.service, context.team or "none", priority)
            self._history.add(key, judgement is Judgement.GOOD)

    def document(self) -> dict:
        """JSON document with the goals and counts that ``damaskramp-burn`` reads."""
        view = self._bundle.value
        goals = view.contents.objectives if view else ()
        series = [
            {"key": dataclasses.asdict(key), "counts": self._counts(key)}
            for key in self._history.keys
        ]
        return {
            "version": view.version if view else 0,
            "goals": [goal.model_dump(mode="json") for goal in goals],
            "series": series,
        }

    def _counts(self, key: SeriesKey) -> list[dict]:
        return [dataclasses.asdict(count) for count in self._history.windows(key)]

    def _latency(self, service: str, priority: str) -> float | None:
        specific = self._latencies.get((service, priority))
        return specific if specific is not None else self._latencies.get((service, ""))

    def _update_latencies(self, view: BundleView | None) -> None:
        goals = view.contents.objectives if view else ()
        self._latencies = {
            (goal.service, goal.priority): goal.latency_seconds for goal in goals
        }
