"""Log of single decisions, limited in rate and written without blocking.

Omitted lines are counted, and the next line reports their number.
"""

import logging
import os
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

from damaskramp.core import Counters

__all__ = ["DecisionLog", "NonBlockingHandler"]

LOGGER = logging.getLogger("damaskramp.decisions")

SAMPLES_PER_SECOND = 1.0
"""Served requests that each node logs: enough to see the usual path of a request."""


class NonBlockingHandler(logging.Handler):
    """Logging handler that writes JSON lines to a file descriptor without blocking.

    Lines that the descriptor does not accept at once are lost.
    """

    def __init__(self, descriptor: int, counters: Counters) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._counters = counters
        self._unwritten = b""
        os.set_blocking(descriptor, False)
        fields = "%(asctime)s %(levelname)s %(name)s %(message)s"
        self.setFormatter(JsonFormatter(fields))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the unwritten rest of the previous line."""
        data = self._unwritten + self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # A full or closed pipe loses lines, not requests.
            self._counters.add("log_lines_lost")
            return
        self._unwritten = data[written:]


class DecisionLog:
    """Log of decisions with a rate limit.

    Refusals and failures share one limit. Served requests are sampled and have a small
    limit of their own, so that neither kind crowds the other out.

    Parameters
    ----------
    lines_per_second : float
        Limit on the lines about refusals and failures; with 0 none is written.
    """

    def __init__(
        self, lines_per_second: float, clock: Callable[[], float], counters: Counters
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._line_bucket = _TokenBucket(lines_per_second, clock())
        samples = min(SAMPLES_PER_SECOND, lines_per_second)
        self._sample_bucket = _TokenBucket(samples, clock())
        self._omitted_lines = 0

    def wants_line(self) -> bool:
        """Return whether a line may be written now; if not, count it as omitted."""
        if self._line_bucket.acquire(self._clock()):
            return True
        self._omitted_lines += 1
        self._counters.add("log_lines_left_out")
        return False

    def wants_sample(self) -> bool:
        """Return whether a served request may be logged now."""
        return self._sample_bucket.acquire(self._clock())

    def write(self, event: str, **fields: object) -> None:
        """Write a line, with the number of lines omitted before it."""
        if self._omitted_lines:
            fields["lines_left_out"] = self._omitted_lines
            self._omitted_lines = 0
        LOGGER.info(event, extra=fields)


class _TokenBucket:
    """Token bucket whose burst is one second's worth of its rate."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate
        self._updated_at = now

    def acquire(self, now: float) -> bool:
        self._level = min(
            self._rate, self._level + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
