"""Observed balancing: a failing backend server receives only trial calls."""

from collections import Counter

from damaskramp.balancing import Attempt, AttemptResult, ObservedBalancer
from damaskramp.config import BalancingSettings
from damaskramp.core import HostId, ServiceName, VirtualTimers, ZoneName
from damaskramp.membership import Member

CALLS = 200
CALL_SECONDS = 0.01
FAILING_HOST = "desk-2"


def main() -> str:
    """Call three backend servers, one of which fails every call."""
    timers = VirtualTimers(start=100.0)
    zone = ZoneName("perth-north")
    own = HostId("gate-1")
    balancer = ObservedBalancer(BalancingSettings(seed=1), timers, own, zone)
    members = [
        Member(HostId(f"desk-{n}"), zone, f"10.0.0.{n}:7000", ServiceName("desk"))
        for n in (1, 2, 3)
    ]
    calls = Counter()
    for _ in range(CALLS):
        host = balancer.choose(members, avoid=()).host
        calls[host] += 1
        balancer.started(host)
        timers.advance(CALL_SECONDS)
        failed = host == FAILING_HOST
        result = AttemptResult.FAILED if failed else AttemptResult.ANSWERED
        balancer.finished(Attempt(host, result, CALL_SECONDS))
    ejected = ", ".join(sorted(balancer.ejected))
    return f"ejected: {ejected}; calls to it: {calls[FAILING_HOST]} of {CALLS}"


if __name__ == "__main__":
    print(main())
