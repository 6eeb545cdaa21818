"""What a team within its rate is refused, by size of fleet and by where it asks.

Run with ``python -m benchmarks.shared_rate``. A virtual clock; messages take no time
and none is lost. Each row: hosts, rate of the team, what it asks as a part of that, and
for each way of arriving: how many fewer requests are admitted than one bucket for the
whole fleet would admit, as a part of those, and messages to lenders for each request.
"""

import random

from damaskramp.dispatch.tests.test_shared_rate import admitted, fleet
from damaskramp.fleet import Team

SPAN_SECONDS = 20.0
RATES = (5.0, 20.0, 100.0, 300.0)
ASKED = (0.7, 0.95, 2.0)


def _ways(size, zones):
    """Weights of the hosts for each way of arriving."""
    uneven = random.Random(5)
    return {
        "even": [1.0] * size,
        "uneven": [uneven.lognormvariate(0.0, 0.7) for _ in range(size)],
        "one zone": ([3.0] + [1.0] * (zones - 1)) * (size // zones),
        "one host": [10.0] + [1.0] * (size - 1),
    }


def _play(hosts, weights, team, asked):
    """Share that is missing against one bucket, and messages for each request."""
    rates = fleet(team, hosts)
    source = random.Random(1)
    now = then = 0.0
    level = team.burst
    requests = owed = taken = 0
    loans = []
    while (now := now + source.expovariate(team.rate * asked)) < SPAN_SECONDS:
        level = min(team.burst, level + (now - then) * team.rate)
        then = now
        would_admit = level >= 1.0
        level -= would_admit
        (host, _), *_ = source.choices(hosts, weights)
        requests += 1
        owed += would_admit
        taken += admitted(rates, team, host, hosts, now, loans)
    return 1.0 - taken / owed, len(loans) / requests


def main():
    """Print a row for each size, rate and demand."""
    for size, zones in ((12, 3), (80, 4)):
        hosts = [(f"h{n}", f"z{n % zones}") for n in range(size)]
        for rate in RATES:
            team = Team("team", frozenset(), None, rate, rate)
            for asked in ASKED:
                found = []
                for name, weights in _ways(size, zones).items():
                    missing, messages = _play(hosts, weights, team, asked)
                    found.append(f"{name} {100 * missing:4.1f} % {messages:4.2f}")
                print(f"{size:3} {rate:5.0f}/s x {asked:4.2f}: {', '.join(found)}")


if __name__ == "__main__":
    main()
