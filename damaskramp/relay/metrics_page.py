"""Counters and gauges in the text exposition format."""

from collections.abc import Mapping

from damaskramp.core import Counters

__all__ = ["metrics_page"]


def metrics_page(counters: Counters, gauges: Mapping[str, float]) -> bytes:
    """Render counters, histograms and gauges in the text exposition format.

    The library is imported at the first request, which makes the start faster.
    """
    from aioprometheus import Counter, Gauge, Registry, render

    registry = Registry()
    by_name: dict[str, Counter] = {}
    for (name, reason), amount in counters.values.items():
        counter = by_name.get(name)
        if counter is None:
            counter = by_name[name] = Counter(
                f"damaskramp_{name}_total", name.replace("_", " "), registry=registry
            )
        counter.add({"reason": reason} if reason else {}, amount)
    for name, value in gauges.items():
        gauge = Gauge(f"damaskramp_{name}", name.replace("_", " "), registry=registry)
        gauge.set({}, value)
    for name, (buckets, total) in counters.times.items():
        gauge = Gauge(
            f"damaskramp_{name}_bucket", name.replace("_", " "), registry=registry
        )
        reached = 0
        bounds = [*map(str, Counters.BOUNDS), "+Inf"]
        for bound, amount in zip(bounds, buckets, strict=True):
            reached += amount
            gauge.set({"le": bound}, reached)
        for part, value in (("sum", total), ("count", float(reached))):
            plain = Gauge(
                f"damaskramp_{name}_{part}", name.replace("_", " "), registry=registry
            )
            plain.set({}, value)
    return render(registry, ["text/plain"])[0]
