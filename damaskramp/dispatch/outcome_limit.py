"""How many new requests of one priority a backend server may hold at once.

Load this answers: a service deep in the call graph that fails or is gone, so that
hardly any request above it can end well. The services above have free slots all the
while, and would go on to start requests in vain. Here the outcomes of the requests
themselves set the bound: it falls while most end badly, and rises again while they end
well and it is reached. Less important requests give way at a smaller share of bad ends,
so that the important ones keep the room below.
"""

from dataclasses import dataclass

__all__ = ["OutcomeLimit", "OutcomeLimitSettings"]


@dataclass(frozen=True, slots=True)
class OutcomeLimitSettings:
    """When the bound moves.

    Attributes
    ----------
    urgent_bad_share, bad_share : float
        Share of bad ends above which the bound falls, for priority 0 and for others.
        While less than that fails, slots above are cheaper than requests refused in
        vain: benchmarks.relay_overload serves half as much with shares of 0.3 and 0.12.
    fall, rise : float
        Factors of one step down and of one step up: a bound of 8 reaches 250 in five
        steps.
    least : int
        Smallest bound: enough to notice soon that things are well again.
    step_seconds, step_requests : float, int
        A step is taken after this time, once so many requests have ended.
    """

    urgent_bad_share: float = 0.9
    bad_share: float = 0.7
    decrease_factor: float = 0.75
    increase_factor: float = 2.0
    min_limit: int = 8
    step_seconds: float = 0.1
    step_requests: int = 8


class OutcomeLimit:
    """Bound for the requests of one priority at one server.

    Examples
    --------
    >>> limit = OutcomeLimit(OutcomeLimitSettings(), priority=2, ceiling=100, now=0.0)
    >>> for _ in range(10):
    ...     limit.record_end(bad=True, held=40, now=0.2)
    >>> limit.value
    30
    """

    def __init__(
        self, settings: OutcomeLimitSettings, priority: int, ceiling: int, now: float
    ) -> None:
        self._settings = settings
        urgent = priority == 0
        self._bad_share = settings.urgent_bad_share if urgent else settings.bad_share
        self._ceiling = ceiling
        self._value = float(ceiling)
        self._step_started = now
        self._ends = 0
        self._bad = 0
        self._reached = False

    @property
    def value(self) -> int:
        """Most requests held."""
        return int(self._value)

    def admits(self, held: int) -> bool:
        """Whether one more request may be held."""
        if held < self.value:
            return True
        self._reached = True
        return False

    def record_end(self, bad: bool, held: int, now: float) -> None:
        """Note the end of a request.

        Parameters
        ----------
        bad : bool
            Whether it failed or came after its latency target.
        held : int
            Requests held at the time, this one included.
        """
        self._ends += 1
        self._bad += bad
        settings = self._settings
        step_over = now - self._step_started >= settings.step_seconds
        if not step_over or self._ends < settings.step_requests:
            return
        if self._bad > self._bad_share * self._ends:
            held = min(self._value, max(held, settings.min_limit))
            self._value = max(
                float(settings.min_limit), held * settings.decrease_factor
            )
        elif self._reached:
            self._value = min(
                float(self._ceiling), self._value * settings.increase_factor + 1
            )
        self._step_started = now
        self._ends = self._bad = 0
        self._reached = False
