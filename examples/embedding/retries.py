"""Retry budgets: attempts are at most first attempts times one plus the ratio."""

from numpy.random import default_rng

from damaskramp.config import RetrySettings
from damaskramp.core import TeamId
from damaskramp.retries import Backoff, Retryability, RetryBudgets, RetryLoop, Step

REQUESTS = 1000
RATIO = 0.1
MAX_RETRIES = 2
REMAINING_SECONDS = 5.0


def main() -> str:
    """Send requests of which every attempt fails; count the attempts."""
    settings = RetrySettings()
    budgets = RetryBudgets(settings)
    backoff = Backoff(settings, default_rng(1))
    team = TeamId("clubs")
    attempts = 0
    for _ in range(REQUESTS):
        granted = budgets.grant(team, RATIO, MAX_RETRIES)
        loop = RetryLoop(settings, backoff, granted)
        step = Step.RETRY
        while step is Step.RETRY:
            attempts += 1
            decision = loop.after(Retryability.RETRIABLE, loop.left, REMAINING_SECONDS)
            step = decision.step
    return f"{REQUESTS} requests, {attempts} attempts"


if __name__ == "__main__":
    print(main())
