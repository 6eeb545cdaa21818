"""Which bundle is held and which is in force.

The greatest verified bundle is held and handed on. It takes force at once, or, in
zones that a rollout leaves for later, when its time has come. Neither ever goes
back, and a withdrawal that was seen holds at once.
"""

from enum import Enum

from damaskramp.bundle.signed import SignedBundle
from damaskramp.bundle.view import BundleView
from damaskramp.core import KeyDigest, ZoneName

__all__ = ["Adoption", "BundleStore"]


class Adoption(Enum):
    """What became of an offered bundle."""

    ADOPTED = "adopted"
    STAGED = "staged"
    SAME = "same"
    OLDER = "older"
    CONFLICT_WON = "conflict-won"
    CONFLICT_LOST = "conflict-lost"


class BundleStore:
    """Holder of the greatest bundle, of the one in force, and of all withdrawals.

    Two bundles of one version are a conflict of operators. The greater digest
    wins, alike on every node.

    Parameters
    ----------
    zone : ZoneName
        Zone of this node, for rollouts.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._latest: SignedBundle | None = None
        self._view: BundleView | None = None
        self._due = 0.0

    @property
    def latest(self) -> SignedBundle | None:
        """Greatest bundle seen."""
        return self._latest

    @property
    def view(self) -> BundleView | None:
        """Bundle in force."""
        return self._view

    @property
    def withdrawn(self) -> frozenset[KeyDigest]:
        """Withdrawn keys of every bundle seen."""
        return self._view.withdrawn if self._view else frozenset()

    @property
    def staged(self) -> bool:
        """Whether the greatest bundle waits to take force."""
        return self._view is not None and self._view.signed is not self._latest

    def offer(self, signed: SignedBundle, now: float) -> Adoption:
        """Take a verified bundle where it is greater than the one held.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        adoption = self._judge(signed)
        if adoption in (Adoption.ADOPTED, Adoption.CONFLICT_WON):
            self._latest = signed
            self._due = now + self._delay(signed)
            self.advance(now)
            if self.staged:
                adoption = Adoption.STAGED
        if self._view.signed is not signed:
            self._learn_withdrawals(signed)
        return adoption

    def advance(self, now: float) -> bool:
        """Put a staged bundle into force where its time has come."""
        if self._latest is None or now < self._due:
            return False
        if self._view is not None and self._view.signed is self._latest:
            return False
        self._view = BundleView(self._latest, self.withdrawn)
        return True

    def _delay(self, signed: SignedBundle) -> float:
        """Time for which this zone waits; a node without a bundle never does."""
        head = signed.bundle.bundle
        early = not head.roll_first or self._zone in head.roll_first
        return 0.0 if early or self._view is None else head.roll_seconds

    def _judge(self, signed: SignedBundle) -> Adoption:
        current = self._latest
        if current is None:
            return Adoption.ADOPTED
        if signed.order == current.order:
            return Adoption.SAME
        if signed.version == current.version:
            won = signed.order > current.order
            return Adoption.CONFLICT_WON if won else Adoption.CONFLICT_LOST
        return Adoption.ADOPTED if signed.order > current.order else Adoption.OLDER

    def _learn_withdrawals(self, signed: SignedBundle) -> None:
        """A withdrawal that operators signed holds whatever becomes of its bundle."""
        news = frozenset(signed.bundle.withdrawn_keys) - self.withdrawn
        if news:
            self._view = BundleView(self._view.signed, self.withdrawn | news)
