"""Permit of a call, parked while the call waits for another service."""

from abc import ABC, abstractmethod

from damaskramp.admission.admission import Permit, Sample

__all__ = ["AdaptivePermit", "PermitOwner"]


class PermitOwner(ABC):
    """Where permits go back to."""

    @abstractmethod
    def park(self) -> None:
        """Note that a running call waits for another service."""

    @abstractmethod
    def resume(self) -> None:
        """Note that a call no longer waits for another service."""

    @abstractmethod
    def leave(self, sample: Sample | None, window: int | None) -> None:
        """Count one call as ended, and learn from it."""


class AdaptivePermit(Permit):
    """Permit that can be parked.

    Parameters
    ----------
    owner : PermitOwner
        Where it goes back to.
    window : int or None
        Window of the limiter in which it was given at saturation.
    """

    def __init__(self, owner: PermitOwner, window: int | None) -> None:
        self._owner = owner
        self._window = window
        self._nested = 0
        self._released = False

    def park(self) -> None:
        """Note that the call waits for a call to another service."""
        self._nested += 1
        if self._nested == 1 and not self._released:
            self._owner.park()

    def resume(self) -> None:
        """Note that the call no longer waits for another service."""
        self._nested -= 1
        if self._nested == 0 and not self._released:
            self._owner.resume()

    def release(self, sample: Sample | None) -> None:
        """Give the right back."""
        if self._nested:
            self._owner.resume()
        self._released = True
        self._owner.leave(sample, self._window)
