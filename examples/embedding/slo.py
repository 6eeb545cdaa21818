"""Service-level indicators: bad events in sliding windows, with bounded memory."""

from damaskramp.core import VirtualTimers
from damaskramp.slo import EventHistory, SeriesKey

KEY = SeriesKey("registry", "clubs", "ballots")
GOOD_MINUTES = 60
BAD_MINUTES = 5
EVENTS_PER_MINUTE = 60


def main() -> str:
    """Record an hour of good events, then minutes in which a tenth are bad."""
    timers = VirtualTimers()
    history = EventHistory(timers)
    for minute in range(GOOD_MINUTES + BAD_MINUTES):
        for number in range(EVENTS_PER_MINUTE):
            bad = minute >= GOOD_MINUTES and number % 10 == 0
            history.add(KEY, good=not bad)
            timers.advance(60 / EVENTS_PER_MINUTE)
    shares = []
    for count in history.windows(KEY):
        share = count.bad / (count.good + count.bad)
        shares.append(f"{count.window_seconds} s {share:.1%}")
    return ", ".join(shares)


if __name__ == "__main__":
    print(main())
