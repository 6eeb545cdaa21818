"""Refusals of a shared rate, by fleet size and distribution of arrivals over hosts.

Run with ``python -m benchmarks.shared_rate``. The benchmark uses a virtual clock;
messages take no time and none is lost. Each row shows the number of hosts, the team's
rate and its demand as a fraction of that rate. For each distribution of arrivals follow
the share of requests that one bucket for the whole fleet would have admitted but the
fleet did not, and messages to lenders per request.
"""

import random

from damaskramp.dispatch.tests.test_shared_rate import admitted, fleet
from damaskramp.fleet import Team

SPAN_SECONDS = 20.0
RATES = (5.0, 20.0, 100.0, 300.0)
ASKED = (0.7, 0.95, 2.0)


def _arrival_weights(size, zones):
    """Return the weights of the hosts for each distribution of arrivals."""
    uneven = random.Random(5)
    return {
        "even": [1.0] * size,
        "uneven": [uneven.lognormvariate(0.0, 0.7) for _ in range(size)],
        "one zone": ([3.0] + [1.0] * (zones - 1)) * (size // zones),
        "one host": [10.0] + [1.0] * (size - 1),
    }


def _simulate(hosts, weights, team, asked):
    """Return the share missing against one bucket, and messages per request."""
    rates = fleet(team, hosts)
    source = random.Random(1)
    now = previous = 0.0
    level = team.burst
    requests = expected = actual = 0
    loans = []
    while (now := now + source.expovariate(team.rate * asked)) < SPAN_SECONDS:
        level = min(team.burst, level + (now - previous) * team.rate)
        previous = now
        would_admit = level >= 1.0
        level -= would_admit
        (host, _), *_ = source.choices(hosts, weights)
        requests += 1
        expected += would_admit
        actual += admitted(rates, team, host, hosts, now, loans)
    return 1.0 - actual / expected, len(loans) / requests


def main():
    """Print a row for each fleet size, rate and demand."""
    for size, zones in ((12, 3), (80, 4)):
        hosts = [(f"h{n}", f"z{n % zones}") for n in range(size)]
        for rate in RATES:
            team = Team("team", frozenset(), None, rate, rate)
            for asked in ASKED:
                found = []
                for name, weights in _arrival_weights(size, zones).items():
                    missing, messages = _simulate(hosts, weights, team, asked)
                    found.append(f"{name} {100 * missing:4.1f} % {messages:4.2f}")
                print(f"{size:3} {rate:5.0f}/s x {asked:4.2f}: {', '.join(found)}")


if __name__ == "__main__":
    main()
