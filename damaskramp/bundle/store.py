"""Which bundle is in force: the greatest verified one, never a smaller one."""

from enum import Enum

from damaskramp.bundle.signed import SignedBundle
from damaskramp.bundle.view import BundleView
from damaskramp.core import KeyDigest

__all__ = ["Adoption", "BundleStore"]


class Adoption(Enum):
    """What became of an offered bundle."""

    ADOPTED = "adopted"
    SAME = "same"
    OLDER = "older"
    CONFLICT_WON = "conflict-won"
    CONFLICT_LOST = "conflict-lost"


class BundleStore:
    """Holder of the bundle in force and of every withdrawal seen.

    Two bundles of one version are a conflict of operators. The greater digest
    wins, alike on every node.
    """

    def __init__(self) -> None:
        self._view: BundleView | None = None

    @property
    def view(self) -> BundleView | None:
        """Bundle in force."""
        return self._view

    @property
    def withdrawn(self) -> frozenset[KeyDigest]:
        """Withdrawn keys of every bundle seen."""
        return self._view.withdrawn if self._view else frozenset()

    def offer(self, signed: SignedBundle) -> Adoption:
        """Take a verified bundle into force where it is greater."""
        adoption = self._judge(signed)
        if adoption in (Adoption.ADOPTED, Adoption.CONFLICT_WON):
            self._view = BundleView(signed, self.withdrawn)
        elif adoption in (Adoption.OLDER, Adoption.CONFLICT_LOST):
            self._learn_withdrawals(signed)
        return adoption

    def _judge(self, signed: SignedBundle) -> Adoption:
        if self._view is None:
            return Adoption.ADOPTED
        current = self._view.signed
        if signed.order == current.order:
            return Adoption.SAME
        if signed.version == current.version:
            won = signed.order > current.order
            return Adoption.CONFLICT_WON if won else Adoption.CONFLICT_LOST
        return Adoption.ADOPTED if signed.order > current.order else Adoption.OLDER

    def _learn_withdrawals(self, signed: SignedBundle) -> None:
        """A withdrawal that operators signed holds even in a bundle that lost."""
        news = frozenset(signed.bundle.withdrawn_keys) - self.withdrawn
        if news:
            self._view = BundleView(self._view.signed, self.withdrawn | news)
