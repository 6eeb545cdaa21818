"""Hosts that the rate of a team is divided among.

Every host computes the same share hosts from the list of hosts. All hosts of a zone are
share hosts if the burst is large enough, otherwise those with the highest scores for
the team. When hosts join or leave, only the scores that decide are computed again: a
host that joins may replace the lowest of the share hosts of its zone, and one that
leaves changes nothing unless it is a share host itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskramp.core.ids import TeamId, ZoneName
from damaskramp.core.rendezvous import rendezvous_score
from damaskramp.fleet.model import Team

__all__ = ["ShareHosts"]


@dataclass(frozen=True, slots=True)
class _Change:
    """Hosts that have joined and left a zone."""

    joined: list[str]
    left: set[str]


NO_CHANGE = _Change([], set())


class ShareHosts:
    """Share hosts of all teams for the latest list of hosts.

    Parameters
    ----------
    min_burst_per_host : float
        Least number of permits of the burst that each share host should have.

    Examples
    --------
    >>> share_hosts = ShareHosts(4.0)
    >>> share_hosts.update([("a1", "a"), ("b1", "b"), ("b2", "b")])
    >>> len(share_hosts.of(Team("clubs", frozenset(), None, rate=2.0, burst=2.0)))
    2
    """

    def __init__(self, min_burst_per_host: float) -> None:
        self._min_burst_per_host = min_burst_per_host
        self._members: dict[ZoneName, list[str]] = {}
        self._changes: dict[ZoneName, _Change] = {}
        self._update_number = 0
        self._all: list[str] = []
        self._largest_zone = 0
        self._chosen: dict[TeamId, tuple[int, dict[ZoneName, list[str]]]] = {}

    def update(self, hosts: Iterable[tuple[str, ZoneName]]) -> None:
        """Apply a list of hosts."""
        members: dict[ZoneName, list[str]] = {}
        for host, zone in hosts:
            members.setdefault(zone, []).append(host)
        self._changes = {}
        for zone, names in members.items():
            before = self._members.get(zone, [])
            if names != before:
                known, now = set(before), set(names)
                self._changes[zone] = _Change(
                    [name for name in names if name not in known], known - now
                )
        self._members = members
        self._update_number += 1
        self._all = sorted(name for names in members.values() for name in names)
        self._largest_zone = max(map(len, members.values()), default=0)

    def retain(self, teams: Iterable[TeamId]) -> None:
        """Forget all other teams."""
        self._chosen = {
            name: self._chosen[name] for name in teams if name in self._chosen
        }

    def of(self, team: Team) -> list[str]:
        """Share hosts of a team; the list is not to be changed."""
        wanted = int(max(team.burst, team.rate) / self._min_burst_per_host)
        per_zone = max(1, wanted // max(1, len(self._members)))
        if per_zone >= self._largest_zone:
            self._chosen.pop(team.name, None)
            return self._all
        number, before = self._chosen.get(team.name, (-1, {}))
        if number < self._update_number - 1:
            before = {}
        # Of this very update, the hosts that have joined are among the chosen already.
        changes = self._changes if number != self._update_number else {}
        chosen = {
            zone: _choose(
                team.name,
                names,
                per_zone,
                before.get(zone),
                changes.get(zone, NO_CHANGE),
            )
            for zone, names in self._members.items()
        }
        self._chosen[team.name] = (self._update_number, chosen)
        return sorted(name for names in chosen.values() for name in names)


def _choose(
    team: TeamId,
    members: list[str],
    count: int,
    before: list[str] | None,
    change: _Change,
) -> list[str]:
    """Choose the members of a zone with the highest scores.

    Parameters
    ----------
    before : list of str or None
        Choice among the members before the change; None if there is none.
    """
    if count >= len(members):
        return members
    candidates = members
    if before is not None and len(before) == count and change.left.isdisjoint(before):
        if not change.joined:
            return before
        candidates = before + change.joined
    ordered = sorted(candidates, key=lambda host: rendezvous_score(host, team))
    return ordered[-count:]
