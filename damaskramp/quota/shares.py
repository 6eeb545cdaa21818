"""Shares of the zones in a team's rate and burst, and when a share may rise.

A share that falls takes effect at once. A share that rises waits until every other
zone has confirmed exactly the same bundle, and a zone confirms only once the leases
that it granted keep to its new share. Waiting, however long, does not replace the
confirmation: a zone that is cut off applies the bundle that it has for as long as
the cut lasts. Confirmation of a later bundle does not count either, because the
other zone may hold a share in that bundle that this zone does not know yet.
"""

from dataclasses import dataclass

from damaskramp.bundle import BundleView, Team
from damaskramp.core import TeamId, ZoneName
from damaskramp.quota.messages import BundleOrder

__all__ = ["Allotment", "ShareLedger", "allot"]


DIGEST_DIGITS = 16


@dataclass(frozen=True, slots=True)
class Allotment:
    """Part of a team's limits.

    Attributes
    ----------
    rate : float
        Requests a second.
    burst : float
        Whole permits.
    """

    rate: float = 0.0
    burst: float = 0.0

    def minimum(self, other: "Allotment") -> "Allotment":
        """Return the smaller rate and the smaller burst of both."""
        return Allotment(min(self.rate, other.rate), min(self.burst, other.burst))


def allot(view: BundleView, team: Team, zone: ZoneName) -> Allotment:
    """Return the part of a team's limits that a bundle allots to a zone.

    Bursts are whole permits: what is left after rounding down goes to the zones
    with the largest remainders. A zone without a whole permit could admit nothing,
    so its rate goes to the other zones, and it borrows from them.
    """
    contents = view.contents
    shares = {name: contents.zone_share(team, name) for name in contents.bundle.zones}
    bursts = _allot_whole_permits(team.burst, shares)
    if zone not in bursts or bursts[zone] == 0:
        return Allotment()
    total_share = sum(share for name, share in shares.items() if bursts[name] > 0)
    return Allotment(team.rate * shares[zone] / total_share, float(bursts[zone]))


def bundle_order(view: BundleView) -> BundleOrder:
    """Return version and first digits of the digest, which tell bundles apart."""
    version, digest = view.signed.order
    return version, digest[:DIGEST_DIGITS]


def _allot_whole_permits(
    total: int, shares: dict[ZoneName, float]
) -> dict[ZoneName, int]:
    exact = {name: total * share for name, share in shares.items()}
    whole = {name: int(value + 1e-9) for name, value in exact.items()}
    left = total - sum(whole.values())
    by_remainder = sorted(exact, key=lambda name: (whole[name] - exact[name], name))
    for name in [n for n in by_remainder if shares[n] > 0][:left]:
        whole[name] += 1
    return whole


class ShareLedger:
    """Shares that this zone may use, as bundles change.

    A node that was not the owner also keeps to the smaller of the old and the new
    share, until it owns the team and has received the confirmations itself.

    Parameters
    ----------
    zone : ZoneName
        This zone.
    settle_seconds : float
        Age from which a bundle is trusted by a node that knows no earlier one.
    """

    def __init__(self, zone: ZoneName, settle_seconds: float) -> None:
        self._zone = zone
        self._settle_seconds = settle_seconds
        self._view: BundleView | None = None
        self._since = float("-inf")
        self._effective: dict[TeamId, Allotment] = {}
        self._confirmed: dict[TeamId, set[ZoneName]] = {}

    @property
    def view(self) -> BundleView | None:
        """Bundle in force."""
        return self._view

    @property
    def order(self) -> BundleOrder:
        """Version and digest digits of the bundle in force."""
        return bundle_order(self._view) if self._view else (0, "")

    @property
    def since(self) -> float:
        """Monotonic time at which the bundle came into force on this node."""
        return self._since

    def adopt(self, view: BundleView | None, now: float, wall_now: float) -> None:
        """Adopt a new bundle."""
        if view is None or bundle_order(view) == self.order:
            self._view = view or self._view
            return
        previous, self._view = self._view, view
        self._since = now
        self._confirmed = {}
        effective = {}
        for team in view.contents.teams:
            stated = allot(view, team, self._zone)
            effective[team.name] = self._initial_share(team, previous, stated, wall_now)
        self._effective = effective

    def effective(self, team: TeamId) -> Allotment:
        """Return the share from which leases may be issued now."""
        return self._effective.get(team, Allotment())

    def restrict(self, team: TeamId, limit: Allotment) -> None:
        """Limit a share to that of a former owner until the other zones confirm."""
        self._effective[team] = self.effective(team).minimum(limit)

    def settled(self, team: TeamId) -> bool:
        """Return whether the share is the one that the bundle in force states."""
        return team in self._effective and self.effective(team) == self._stated_share(
            team
        )

    def confirm(self, team: TeamId, zone: ZoneName, order: BundleOrder) -> bool:
        """Record that a zone keeps to its share; return True if this share rose."""
        if order != self.order or self.settled(team) or team not in self._effective:
            return False
        confirmed = self._confirmed.setdefault(team, set())
        confirmed.add(zone)
        others = set(self._view.contents.bundle.zones) - {self._zone}
        if not others <= confirmed:
            return False
        self._effective[team] = self._stated_share(team)
        return True

    def _stated_share(self, team: TeamId) -> Allotment:
        entry = self._view.team(team)
        return allot(self._view, entry, self._zone) if entry else Allotment()

    def _initial_share(
        self,
        team: Team,
        previous: BundleView | None,
        stated: Allotment,
        wall_now: float,
    ) -> Allotment:
        if self._view.contents.bundle.zones == (self._zone,):
            return stated
        if previous is None:
            age = wall_now - self._view.contents.bundle.issued.timestamp()
            return stated if age >= self._settle_seconds else Allotment()
        # A team that is new in this bundle starts with no share here. It had none in
        # the bundles that this node knows, but a bundle that this node skipped may
        # have given it a share in some zone.
        return stated.minimum(self.effective(team.name))
