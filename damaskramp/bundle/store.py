"""Store of the latest bundle and of the bundle in force.

The store keeps the greatest verified bundle, which the node also distributes. This
bundle takes force at once or, in zones that a rollout serves later, after the rollout
delay. Neither the latest bundle nor the one in force is ever replaced by a smaller
one, and the withdrawal of a key takes effect as soon as the node sees it.
"""

from enum import Enum

from damaskramp.bundle.signed import SignedBundle
from damaskramp.bundle.view import BundleView
from damaskramp.core import KeyDigest, ZoneName

__all__ = ["Adoption", "BundleStore"]


class Adoption(Enum):
    """Result of offering a bundle to the store."""

    ADOPTED = "adopted"
    STAGED = "staged"
    SAME = "same"
    OLDER = "older"
    CONFLICT_WON = "conflict-won"
    CONFLICT_LOST = "conflict-lost"


class BundleStore:
    """Store of the greatest bundle, of the bundle in force, and of all withdrawals.

    Two different bundles with the same version are a conflict between operators. The
    bundle with the greater digest takes precedence, so every node chooses the same.

    Parameters
    ----------
    zone : ZoneName
        Zone of this node, which determines its place in rollouts.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._latest: SignedBundle | None = None
        self._view: BundleView | None = None
        self._activation_time = 0.0

    @property
    def latest(self) -> SignedBundle | None:
        """Greatest bundle seen, or None."""
        return self._latest

    @property
    def view(self) -> BundleView | None:
        """Bundle in force, or None."""
        return self._view

    @property
    def withdrawn(self) -> frozenset[KeyDigest]:
        """Withdrawn keys of all bundles seen."""
        return self._view.withdrawn if self._view else frozenset()

    @property
    def staged(self) -> bool:
        """Whether the greatest bundle is not yet in force."""
        return self._view is not None and self._view.signed is not self._latest

    def offer(self, signed: SignedBundle, now: float) -> Adoption:
        """Adopt a verified bundle if it is greater than the latest one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        adoption = self._compare_to_latest(signed)
        if adoption in (Adoption.ADOPTED, Adoption.CONFLICT_WON):
            self._latest = signed
            self._activation_time = now + self._rollout_delay(signed)
            self.advance(now)
            if self.staged:
                adoption = Adoption.STAGED
        if self._view.signed is not signed:
            self._apply_withdrawals(signed)
        return adoption

    def advance(self, now: float) -> bool:
        """Put a staged bundle into force once its activation time has come.

        The result tells whether the bundle in force has changed.
        """
        if self._latest is None or now < self._activation_time:
            return False
        if self._view is not None and self._view.signed is self._latest:
            return False
        self._view = BundleView(self._latest, self.withdrawn)
        return True

    def _rollout_delay(self, signed: SignedBundle) -> float:
        """Return the delay of this zone in seconds, 0 for a node without a bundle."""
        head = signed.bundle.bundle
        early = not head.roll_first or self._zone in head.roll_first
        return 0.0 if early or self._view is None else head.roll_seconds

    def _compare_to_latest(self, signed: SignedBundle) -> Adoption:
        current = self._latest
        if current is None:
            return Adoption.ADOPTED
        if signed.order == current.order:
            return Adoption.SAME
        if signed.version == current.version:
            won = signed.order > current.order
            return Adoption.CONFLICT_WON if won else Adoption.CONFLICT_LOST
        return Adoption.ADOPTED if signed.order > current.order else Adoption.OLDER

    def _apply_withdrawals(self, signed: SignedBundle) -> None:
        """Apply the withdrawals of a bundle, even of one that is not adopted.

        Operators signed the withdrawals, so they hold whatever becomes of the bundle.
        """
        new_withdrawals = frozenset(signed.bundle.withdrawn_keys) - self.withdrawn
        if new_withdrawals:
            self._view = BundleView(self._view.signed, self.withdrawn | new_withdrawals)
