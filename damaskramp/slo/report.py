"""Burn reports as a table, as JSON, and as a self-contained HTML page."""

import dataclasses
import io
from collections.abc import Sequence

import jinja2
import orjson

from damaskramp.operations import format_table
from damaskramp.slo.burn import BudgetBurn
from damaskramp.slo.history import WINDOWS_SECONDS

__all__ = ["to_json", "to_page", "to_table", "window_name"]

WINDOW_NAMES = {300: "5 min", 1800: "30 min", 3600: "1 h", 21600: "6 h", 259200: "3 d"}
HEAD = ("service", "class", "team", "goal", *WINDOW_NAMES.values(), "events/h")
MAX_PLOTTED_ROWS = 20

PAGE = jinja2.Environment(autoescape=True).from_string(
    """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Error budgets</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 2em; max-width: 70em }
table { border-collapse: collapse } td, th { padding: .2em .7em; text-align: left }
td.n { text-align: right; font-variant-numeric: tabular-nums }
tr.page { background: #fdd } tr.ticket { background: #ffd }
</style>
<h1>Error budgets</h1>
<p>{{ reached }}. A burn rate of 1 spends the budget exactly over its window.</p>
{% if plot %}{{ plot | safe }}{% endif %}
<table><tr>{% for name in head %}<th>{{ name }}</th>{% endfor %}<th>verdict</th></tr>
{% for row, burn, verdict in rows -%}
<tr class="{{ burn.alert }}">{% for cell in row %}<td>{{ cell }}</td>{% endfor %}
<td>{{ verdict }}</td></tr>
{% endfor %}</table></html>
"""
)


def window_name(seconds: int) -> str:
    """Return the short name of a window."""
    return WINDOW_NAMES[seconds]


def to_table(burns: Sequence[BudgetBurn], reached: str) -> str:
    """Return a text table, followed by a verdict for each budget with an alert."""
    lines = [format_table(HEAD, [_row(burn) for burn in burns]), reached]
    lines += [
        f"{burn.key.service} {burn.key.priority} {burn.key.team}: {_verdict(burn)}"
        for burn in burns
        if burn.alert
    ]
    if not any(burn.alert for burn in burns):
        lines.append("no error budget burns too fast")
    return "\n".join(lines)


def to_json(burns: Sequence[BudgetBurn], reached: str) -> str:
    """Return the complete report as JSON."""
    document = {
        "reached": reached,
        "budgets": [dataclasses.asdict(burn) for burn in burns],
    }
    options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(document, option=options).decode()


def to_page(burns: Sequence[BudgetBurn], reached: str) -> str:
    """Return an HTML page with a plot and without external references."""
    rows = [(_row(burn), burn, _verdict(burn)) for burn in burns]
    return PAGE.render(head=HEAD, rows=rows, reached=reached, plot=_plot(burns))


def _row(burn: BudgetBurn) -> tuple[object, ...]:
    rates = [_rate_text(burn, window) for window in WINDOWS_SECONDS]
    goal = f"{burn.goal.good_ratio:.4g} in {burn.goal.latency_seconds:g} s"
    key = burn.key
    events = burn.events.get(3600, 0)
    return (key.service, key.priority, key.team, goal, *rates, events)


def _rate_text(burn: BudgetBurn, window: int) -> str:
    text = f"{burn.rates.get(window, 0.0):.2f}"
    covered = burn.covered.get(window, 0.0)
    return text if covered > 0.99 else f"{text} ({covered:.0%})"


def _verdict(burn: BudgetBurn) -> str:
    if burn.exhausted_in_days is None:
        return "no budget spent in the last hour"
    text = (
        f"a whole budget lasts {burn.exhausted_in_days:.1f} d at the last hour's rate"
    )
    return f"{burn.alert}: {text}" if burn.alert else text


def _plot(burns: Sequence[BudgetBurn]) -> str:
    """Return an SVG of the burn rates; empty without budgets or without matplotlib."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return ""
    shown = list(burns[:MAX_PLOTTED_ROWS])
    if not shown:
        return ""
    figure = Figure(figsize=(9, 1 + 0.35 * len(shown)), layout="constrained")
    axes = figure.subplots()
    names = [f"{b.key.service} {b.key.priority} {b.key.team}" for b in shown]
    height = 0.8 / len(WINDOW_NAMES)
    for position, (window, name) in enumerate(WINDOW_NAMES.items()):
        offsets = [row + position * height for row in range(len(shown))]
        rates = [burn.rates.get(window, 0.0) for burn in shown]
        axes.barh(offsets, rates, height=height, label=name)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.set_yticks([row + 0.4 for row in range(len(shown))], names)
    axes.invert_yaxis()
    axes.set_xlabel("burn rate")
    axes.legend(title="window")
    sink = io.StringIO()
    figure.savefig(sink, format="svg", metadata={"Date": None, "Creator": None})
    text = sink.getvalue()
    return text[text.index("<svg") :]
