"""Leased rates: two hosts use permits that one owner grants from one rate."""

from datetime import UTC, datetime

from numpy.random import default_rng

from damaskramp.bundle import Bundle, BundleView, SigningKey, sign_bundle
from damaskramp.core import (
    HostId,
    Incarnation,
    Section,
    ServiceName,
    TeamId,
    VirtualTimers,
    ZoneName,
)
from damaskramp.membership import Member, MemberTable
from damaskramp.ownership import ListedOwnership
from damaskramp.quota import Ask, QuotaOwner, QuotaSettings, ShareLedger, TeamAsk

ZONE = ZoneName("perth-north")
TEAM = TeamId("clubs")
RATE = 100.0
BURST = 50
SECONDS = 10
ASKS_PER_SECOND = 10
WANTED_PERMITS = 40.0


def main() -> str:
    """Let two borrowers request more than the rate; compare permits with the limit."""
    timers = VirtualTimers(start=100.0)
    settings = QuotaSettings(settle_seconds=0.0)
    shares = ShareLedger(ZONE, settings.settle_seconds)
    shares.adopt(_bundle(), timers.now, timers.wall_now)
    owner = _owner(settings, timers, shares)
    owner.refresh_ownership()
    timers.advance(settings.held_seconds(settings.lease_seconds))
    permits = 0.0
    for number in range(1, SECONDS * ASKS_PER_SECOND + 1):
        timers.advance(1 / ASKS_PER_SECOND)
        for host in ("gate-1", "gate-2"):
            want = TeamAsk(TEAM, demand=0.0, want=WANTED_PERMITS)
            order = shares.order
            ask = Ask(HostId(host), Incarnation(1), ZONE, number, order, (want,))
            for team in owner.answer(ask).teams:
                permits += sum(grant.amount for grant in team.grants)
    wanted = 2 * SECONDS * ASKS_PER_SECOND * WANTED_PERMITS
    max_permits = RATE * SECONDS + BURST
    return f"{permits:.0f} permits of {wanted:.0f} wanted, at most {max_permits:.0f}"


def _owner(
    settings: QuotaSettings, timers: VirtualTimers, shares: ShareLedger
) -> QuotaOwner:
    host, incarnation = HostId("gate-1"), Incarnation(1)
    own = Member(host, ZONE, "10.0.0.1:7000", ServiceName(""), incarnation=incarnation)
    members = Section("members", MemberTable([own]))
    ownership = ListedOwnership(timers, host, ZONE, members)
    who = (host, incarnation, ZONE)
    return QuotaOwner(settings, timers, *who, ownership, shares, default_rng(1))


def _bundle() -> BundleView:
    head = {
        "version": 1,
        "issued": datetime(2020, 1, 1, tzinfo=UTC),
        "zones": [ZONE],
        "classes": ["reads"],
    }
    teams = [{"name": TEAM, "rate": RATE, "burst": BURST}]
    bundle = Bundle.model_validate({"bundle": head, "teams": teams})
    return BundleView(sign_bundle(bundle, SigningKey(bytes(32))))


if __name__ == "__main__":
    print(main())
