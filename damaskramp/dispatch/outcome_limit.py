"""Adaptive limit on the new requests of one priority at a backend server.

This protects against a service deep in the call graph that fails or is gone, so that
hardly any request of the services above can succeed. The services above still have free
slots and would continue to start requests that must fail. The limit follows the
outcomes of the requests: it decreases while most of them end badly, and increases again
while they end well and the limit is reached. For less important requests it decreases
at a smaller share of bad outcomes, so that the important requests keep the remaining
capacity of the services below.
"""

from dataclasses import dataclass

__all__ = ["OutcomeLimit", "OutcomeLimitSettings"]


@dataclass(frozen=True, slots=True)
class OutcomeLimitSettings:
    """Settings for the steps of an outcome limit.

    Attributes
    ----------
    urgent_bad_share, bad_share : float
        Share of bad outcomes above which the limit decreases, for priority 0 and for
        the other priorities. While fewer fail, occupied slots at the services above
        cost less than requests refused needlessly: benchmarks.relay_overload serves
        half as much with shares of 0.3 and 0.12.
    decrease_factor, increase_factor : float
        Factors of one step down and of one step up; a limit of 8 reaches 250 in five
        steps.
    min_limit : int
        Smallest limit; it is large enough to detect a recovery soon.
    step_seconds, step_requests : float, int
        Shortest time of a step, and smallest number of requests that end within it.
    """

    urgent_bad_share: float = 0.9
    bad_share: float = 0.7
    decrease_factor: float = 0.75
    increase_factor: float = 2.0
    min_limit: int = 8
    step_seconds: float = 0.1
    step_requests: int = 8


class OutcomeLimit:
    """Limit on the requests of one priority at one server.

    Parameters
    ----------
    ceiling : int
        Initial and largest limit.

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
        """Largest number of requests that may wait or run."""
        return int(self._value)

    def admits(self, held: int) -> bool:
        """Whether one more request may wait or run, if `held` requests do so now."""
        if held < self.value:
            return True
        self._reached = True
        return False

    def record_end(self, bad: bool, held: int, now: float) -> None:
        """Record the end of a request.

        Parameters
        ----------
        bad : bool
            Whether the request failed or took too much of the time to its latency
            target.
        held : int
            Number of requests that wait or run at the time, this one included.
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
