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


class NonBlockingHandler(logging.Handler):
    """Writes JSON lines to a file descriptor; loses what it doesn't take at once."""

    def __init__(self, descriptor: int, counters: Counters) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._counters = counters
        self._rest = b""
        os.set_blocking(descriptor, False)
        fields = "%(asctime)s %(levelname)s %(name)s %(message)s"
        self.setFormatter(JsonFormatter(fields))

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the rest of the line before it."""
        data = self._rest + self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # A full or closed pipe loses lines, not requests.
            self._counters.add("log_lines_lost")
            return
        self._rest = data[written:]


class DecisionLog:
    """Lines on decisions, at most so many a second.

    Parameters
    ----------
    lines_per_second : float
        Bound on the lines; 0 writes none.
    """

    def __init__(
        self, lines_per_second: float, clock: Callable[[], float], counters: Counters
    ) -> None:
        self._rate = lines_per_second
        self._clock = clock
        self._counters = counters
        self._level = lines_per_second
        self._then = clock()
        self._left_out = 0

    def wants_line(self) -> bool:
        """Whether a line may be written now; counts it as left out if not."""
        now = self._clock()
        self._level = min(self._rate, self._level + (now - self._then) * self._rate)
        self._then = now
        if self._level < 1.0:
            self._left_out += 1
            self._counters.add("log_lines_left_out")
            return False
        self._level -= 1.0
        return True

    def write(self, event: str, **fields: object) -> None:
        """Write a line."""
        if self._left_out:
            fields["lines_left_out"] = self._left_out
            self._left_out = 0
        LOGGER.info(event, extra=fields)
