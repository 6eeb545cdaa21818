"""Lines on single decisions: bounded in number, written without waiting.

What is left out is counted, and told with the next line that is written.
"""

import logging
import os
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

from damaskramp.core import Counters

__all__ = ["DecisionLog", "NonBlockingHandler"]

LOGGER = logging.getLogger("damaskramp.decisions")

SAMPLES_PER_SECOND = 1.0
"""Served requests told by each node: enough to see the usual way of a request."""


class NonBlockingHandler(logging.Handler):
    """Writes JSON lines to a file descriptor; loses what it doesn't take at once."""

    def __init__(self, descriptor: int, counters: Counters) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._counters = counters
        self._unwritten = b""
        os.set_blocking(descriptor, False)
        fields = "%(asctime)s %(levelname)s %(name)s %(message)s"
        self.setFormatter(JsonFormatter(fields))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the rest of the line before it."""
        data = self._unwritten + self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # A full or closed pipe loses lines, not requests.
            self._counters.add("log_lines_lost")
            return
        self._unwritten = data[written:]


class DecisionLog:
    """Lines on decisions, at most so many a second.

    Refusals and failures share one bound; served requests have a small one of their
    own, as a sample, so that neither crowds the other out.

    Parameters
    ----------
    lines_per_second : float
        Bound on the lines about refusals and failures; 0 writes none.
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
        """Whether a line may be written now; counts it as left out if not."""
        if self._line_bucket.acquire(self._clock()):
            return True
        self._omitted_lines += 1
        self._counters.add("log_lines_left_out")
        return False

    def wants_sample(self) -> bool:
        """Whether a served request may be written now."""
        return self._sample_bucket.acquire(self._clock())

    def write(self, event: str, **fields: object) -> None:
        """Write a line."""
        if self._omitted_lines:
            fields["lines_left_out"] = self._omitted_lines
            self._omitted_lines = 0
        LOGGER.info(event, extra=fields)


class _TokenBucket:
    """Events up to a rate, with a second's worth at once."""

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
